//! Streamed responses, and the limits that end them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use quillhatch_mesh::stream_monitor::{StreamFault, StreamMonitor, MAX_REST_TIME, MAX_UNKNOWN_REST_BYTES};
use quillhatch_mesh::targets::TargetId;
use quillhatch_types::Timestamp;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::body::{BodyError, PartialBody};
use crate::caller_io::CallerIo;
use crate::calls_in_progress::CallTicket;
use crate::counters::Counters;
use crate::gate::Slot;
use crate::logging::JsonText;
use crate::node::Node;
use crate::peer_io::PeerBody;
use crate::pool::ConnectionLease;

/// The interval at which a stream is checked once it may be aborted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The total number of bytes of all responses that may be read ahead of their readers.
const MAX_READ_AHEAD_BYTES: u64 = 32 * 1024 * 1024;

/// The times from which a streamed response is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimes {
    /// From when its source has finished its work, if the source has a deadline. Not later than `late_at`.
    pub work_ends_at: Option<Timestamp>,
    /// From when it is late.
    pub late_at: Timestamp,
}

/// What the relay of a response needs to know of its call.
pub struct RelayedCall {
    /// The node that relays it.
    pub node: Rc<Node>,
    /// The id of its request.
    pub id: String,
    /// The times from which a streamed response is limited.
    pub times: StreamTimes,
    /// What the edge measures of the call. `None` at the gate.
    pub measured: Option<MeasuredCall>,
}

/// A call whose target and duration the edge measures.
pub struct MeasuredCall {
    /// Its route.
    pub route: Arc<str>,
    /// The target that responds.
    pub target: TargetId,
    /// When it arrived.
    pub arrived: Timestamp,
}

/// The memory for bytes that are read ahead of their readers, shared by all responses of a node.
#[derive(Clone, Debug)]
pub struct ReadAheadBudget(Arc<Semaphore>);

impl Default for ReadAheadBudget {
    fn default() -> Self {
        ReadAheadBudget(Arc::new(Semaphore::new(MAX_READ_AHEAD_BYTES as usize)))
    }
}

impl ReadAheadBudget {
    /// Reserves the memory for one response. `None` if too little of it is free for some time.
    async fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let reserving = Arc::clone(&self.0).acquire_many_owned(MAX_UNKNOWN_REST_BYTES as u32);
        timeout(MAX_REST_TIME, reserving).await.ok()?.ok()
    }
}

/// The connection to the source of a response that has not ended, with what it holds until then.
struct OpenSource {
    body: Pin<Box<PartialBody<PeerBody>>>,
    remaining: Option<u64>,
    lease: ConnectionLease,
    slot: Option<Slot>,
}

impl OpenSource {
    /// Polls the next data. A body of known length ends with its last byte, without a further poll.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Some(frame) = ready!(self.body.as_mut().poll_frame(context)) else { return Poll::Ready(None) };
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => {
                    self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
                    return Poll::Ready(Some(Ok(data)));
                }
                // Trailers are not relayed.
                Ok(Err(_)) => {}
                Err(error) => return Poll::Ready(Some(Err(error))),
            }
        }
    }

    /// Releases the connection and the slot after a complete response.
    fn complete(self) {
        self.lease.release();
        if let Some(slot) = self.slot {
            slot.complete();
        }
    }

    /// Records that the response has ended early.
    fn connection_lost(self) {
        if let Some(slot) = self.slot {
            slot.response_lost();
        }
    }

    /// Ends the response early because of `fault`.
    fn abort(self, fault: StreamFault) {
        if let Some(slot) = self.slot.filter(|_| fault.is_of_source()) {
            slot.response_unfinished();
        }
    }
}

/// How a stream has ended.
#[derive(Clone, Debug, Display)]
enum StreamEnd {
    /// All bytes of the response have arrived.
    #[display("complete")]
    Complete,
    /// The connection to the source was lost.
    #[display("{_0}")]
    Lost(String),
    /// It was aborted.
    #[display("{_0}")]
    Aborted(StreamFault),
}

/// The state of a streamed response, which its timer shares.
struct StreamState {
    call: RelayedCall,
    /// `None` once all that it sends has arrived, or the response has ended early.
    source: RefCell<Option<OpenSource>>,
    monitor: RefCell<StreamMonitor>,
    /// Whether the timer reads the source, ahead of the reader.
    reads_ahead: Cell<bool>,
    /// What was read ahead.
    ahead: RefCell<VecDeque<Bytes>>,
    /// The memory of what was read ahead.
    memory: RefCell<Option<OwnedSemaphorePermit>>,
    /// How the source has ended, if it has.
    end: RefCell<Option<StreamEnd>>,
    /// The number of bytes that were passed on.
    passed: Cell<u64>,
    /// The connection on which the response is sent, once that has begun.
    reader: RefCell<Option<CallerIo>>,
    started: Instant,
    /// Wakes the task that waits for the next bytes.
    waker: RefCell<Option<Waker>>,
}

impl StreamState {
    /// The time of the monotonic clock, which stops while the machine is suspended.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    /// The total time in which the reader has accepted no bytes.
    fn reader_blocked(&self) -> Duration {
        self.reader.borrow().as_ref().map_or(Duration::ZERO, CallerIo::write_blocked)
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Ends the source with this result.
    fn end(&self, end: StreamEnd) {
        let source = self.source.take();
        match &end {
            StreamEnd::Complete => source.into_iter().for_each(OpenSource::complete),
            StreamEnd::Lost(_) => {
                if let Some(MeasuredCall { target, .. }) = &self.call.measured {
                    let node = &self.call.node;
                    node.load_balancer.borrow_mut().record_lost_response(target, node.now());
                }
                source.into_iter().for_each(OpenSource::connection_lost);
            }
            StreamEnd::Aborted(fault) => source.into_iter().for_each(|source| source.abort(*fault)),
        }
        *self.end.borrow_mut() = Some(end);
        self.wake_reader();
    }

    /// Drops the connection and the slot, and ends the response early.
    fn abort(&self, fault: StreamFault) {
        if fault.is_of_source() {
            self.reset_reader();
        }
        self.ahead.borrow_mut().clear();
        self.end(StreamEnd::Aborted(fault));
        let RelayedCall { node, id, times, .. } = &self.call;
        Counters::increment(&node.counters.aborted_streams);
        node.log_failure(|| {
            let late = node.now().since(times.late_at).as_millis();
            format!("\"event\":\"stream-aborted\",\"id\":{},\"why\":\"{fault}\",\"late_ms\":{late}", JsonText(id))
        });
    }

    /// Discards what the reader of a response that ends early has not received of it.
    fn reset_reader(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.reset_in_response(self.passed.get());
        }
    }

    /// Aborts the response if its source goes on sending after its work, and once it is late.
    async fn supervise(&self) {
        let RelayedCall { node, times, .. } = &self.call;
        let first_limit = times.work_ends_at.unwrap_or(times.late_at);
        let _ = node.clock.timeout_at(first_limit, std::future::pending::<()>()).await;
        if times.work_ends_at.is_some() {
            self.end_work().await;
        }
        while !matches!(*self.end.borrow(), Some(StreamEnd::Aborted(_))) {
            if node.now() >= times.late_at {
                self.monitor.borrow_mut().became_late();
            }
            let fault = self.monitor.borrow().fault(self.reader_blocked(), self.now());
            if let Some(fault) = fault {
                return self.abort(fault);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Limits the rest of a response whose source has finished its work. If its length is unknown, the rest is read ahead
    /// of the reader: what a source had ready arrives at once, however slow the reader is.
    async fn end_work(&self) {
        let Some(remaining) = self.source.borrow().as_ref().map(|source| source.remaining) else { return };
        self.monitor.borrow_mut().work_ended(remaining, self.reader_blocked(), self.now());
        if remaining.is_some() {
            return;
        }
        // Without memory the rest is read as the reader accepts it.
        let Some(mut memory) = self.call.node.read_ahead.reserve().await else { return };
        self.reads_ahead.set(true);
        let end = timeout(MAX_REST_TIME, self.read_rest()).await;
        match end.unwrap_or(StreamEnd::Aborted(StreamFault::SourceEndless)) {
            StreamEnd::Aborted(fault) => self.abort(fault),
            end => {
                self.monitor.borrow_mut().source_ended();
                let unread: usize = self.ahead.borrow().iter().map(Bytes::len).sum();
                drop(memory.split((MAX_UNKNOWN_REST_BYTES as usize).saturating_sub(unread)));
                *self.memory.borrow_mut() = Some(memory);
                self.end(end);
            }
        }
    }

    /// Reads the rest of the response ahead of the reader.
    async fn read_rest(&self) -> StreamEnd {
        let mut length = 0;
        loop {
            let data = std::future::poll_fn(|context| match self.source.borrow_mut().as_mut() {
                Some(source) => source.poll_data(context),
                None => Poll::Ready(None),
            });
            match data.await {
                None => return StreamEnd::Complete,
                Some(Err(error)) => return StreamEnd::Lost(error.to_string()),
                Some(Ok(data)) => {
                    length += data.len() as u64;
                    self.ahead.borrow_mut().push_back(data);
                }
            }
            if length > MAX_UNKNOWN_REST_BYTES {
                return StreamEnd::Aborted(StreamFault::SourceEndless);
            }
            self.wake_reader();
        }
    }

    /// Polls the next data for the reader.
    fn poll_data(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = self.ahead.borrow_mut().pop_front();
        if let Some(data) = next {
            return Poll::Ready(Some(Ok(self.pass(data))));
        }
        match &*self.end.borrow() {
            None => {}
            Some(StreamEnd::Complete) => return Poll::Ready(None),
            Some(end) => return Poll::Ready(Some(Err(end.to_string().into()))),
        }
        if self.reads_ahead.get() {
            *self.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        let (polled, is_complete) = match self.source.borrow_mut().as_mut() {
            Some(source) => (source.poll_data(context), source.remaining == Some(0)),
            None => (Poll::Ready(None), true),
        };
        match polled {
            Poll::Pending => {
                self.monitor.borrow_mut().source_awaited(self.now());
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.end(StreamEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(data))) => {
                if is_complete {
                    self.end(StreamEnd::Complete);
                }
                Poll::Ready(Some(Ok(self.pass(data))))
            }
            Poll::Ready(Some(Err(error))) => {
                if self.call.node.now() >= self.call.times.late_at {
                    self.reset_reader();
                }
                self.end(StreamEnd::Lost(error.to_string()));
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    /// Records how long the call took, if the whole response was passed on.
    fn record_duration(&self) {
        let is_complete = matches!(*self.end.borrow(), Some(StreamEnd::Complete)) && self.ahead.borrow().is_empty();
        let RelayedCall { node, measured, .. } = &self.call;
        if let Some(MeasuredCall { route, arrived, .. }) = measured.as_ref().filter(|_| is_complete) {
            node.edge_durations.borrow_mut().record_streamed(route, node.now().since(*arrived));
        }
    }

    /// Records that data is passed on.
    fn pass(&self, data: Bytes) -> Bytes {
        let length = data.len() as u64;
        self.passed.set(self.passed.get() + length);
        self.monitor.borrow_mut().bytes_passed(length, self.now());
        data
    }
}

/// The body of a streamed response. It is aborted as [`StreamMonitor`] decides.
pub struct StreamedBody {
    state: Rc<StreamState>,
    length: SizeHint,
    timer: AbortHandle,
    _ticket: CallTicket,
}

impl StreamedBody {
    /// Relays `body`, which arrives on the connection `lease` while `slot` is held.
    pub fn new(body: PartialBody<PeerBody>, lease: ConnectionLease, slot: Option<Slot>, call: RelayedCall) -> Self {
        let length = body.size_hint();
        let ticket = call.node.responses.begin(&call.id, call.node.now());
        let source = OpenSource { body: Box::pin(body), remaining: length.exact(), lease, slot };
        let state = Rc::new(StreamState {
            call,
            source: RefCell::new(Some(source)),
            monitor: RefCell::new(StreamMonitor::new(Timestamp::ZERO)),
            reads_ahead: Cell::new(false),
            ahead: RefCell::default(),
            memory: RefCell::default(),
            end: RefCell::default(),
            passed: Cell::new(0),
            reader: RefCell::default(),
            started: Instant::now(),
            waker: RefCell::default(),
        });
        // A task of its own: a body is not polled while the peer that receives it accepts no bytes.
        let timed = Rc::clone(&state);
        let timer = tokio::task::spawn_local(async move { timed.supervise().await });
        StreamedBody { state, length, timer: timer.abort_handle(), _ticket: ticket }
    }

    /// Tells it the connection on which it is sent.
    pub fn set_reader(&self, reader: CallerIo) {
        *self.state.reader.borrow_mut() = Some(reader);
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.timer.abort();
        self.state.record_duration();
        self.state.source.take();
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.state.poll_data(context).map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled for, so that the connection is released.
        false
    }

    fn size_hint(&self) -> SizeHint {
        // hyper asks for the length once, before it polls the body.
        self.length
    }
}
