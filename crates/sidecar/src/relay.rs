//! Relays responses: short ones are buffered whole, long ones are streamed.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use quillhatch_mesh::stream_monitor::{StreamFault, StreamMonitor};
use quillhatch_types::Timestamp;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::body::{read_up_to, Body, BodyError, PartialBody, ReadBody};
use crate::caller_io::CallerIo;
use crate::counters::Counters;
use crate::gate::Slot;
use crate::headers::remove_hop_by_hop_headers;
use crate::node::Node;
use crate::pool::ConnectionLease;

/// The maximum size of a response body that is buffered whole before any of it is relayed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// The interval at which a stream is checked once it may be aborted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
}

/// Relays a response: buffered if it is short, else streamed. The connection is returned to its pool after a complete
/// response, and `slot` is released when the response has ended. A stream is aborted as [`StreamMonitor`] decides, so that
/// it holds neither for longer.
///
/// # Errors
///
/// Returns why a short response ended early.
pub async fn relay_response(
    response: Response<Incoming>,
    lease: ConnectionLease,
    slot: Option<Slot>,
    call: RelayedCall,
) -> Result<Response<Body>, String> {
    let (mut parts, incoming) = response.into_parts();
    let length = parts.headers.get(CONTENT_LENGTH).cloned();
    remove_hop_by_hop_headers(&mut parts.headers);
    let read = match read_up_to(incoming, MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(read) => read,
        Err(error) => {
            if let Some(slot) = slot {
                slot.connection_lost();
            }
            return Err(error.to_string());
        }
    };
    match read {
        ReadBody::Complete(bytes) => {
            if bytes.is_empty() {
                if let Some(length) = length {
                    parts.headers.insert(CONTENT_LENGTH, length);
                }
            }
            lease.release();
            if let Some(slot) = slot {
                slot.complete();
            }
            Ok(Response::from_parts(parts, Body::Buffered(bytes)))
        }
        ReadBody::Partial(rest) => {
            Ok(Response::from_parts(parts, Body::Relayed(StreamedBody::new(rest, lease, slot, call))))
        }
    }
}

/// A streamed response that has not ended, with what it holds until then.
struct OpenStream {
    body: Pin<Box<PartialBody>>,
    remaining: Option<u64>,
    /// The number of bytes that were passed on.
    passed: u64,
    lease: ConnectionLease,
    slot: Option<Slot>,
}

impl OpenStream {
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
            slot.connection_lost();
        }
    }

    /// Ends the response early because of `fault`.
    fn abort(self, fault: StreamFault) {
        if let Some(slot) = self.slot.filter(|_| fault.is_of_source()) {
            slot.response_unfinished();
        }
    }
}

/// The state of a streamed response, which its timer shares.
struct StreamState {
    /// `None` once the response has ended or was aborted.
    stream: RefCell<Option<OpenStream>>,
    monitor: RefCell<StreamMonitor>,
    /// Why the response was aborted, if it was.
    fault: Cell<Option<StreamFault>>,
    call: RelayedCall,
    /// The connection on which the response is sent, once that has begun.
    reader: RefCell<Option<CallerIo>>,
    started: Instant,
    /// Wakes the task that waits for the next bytes.
    waker: RefCell<Option<Waker>>,
}

impl StreamState {
    /// Drops the connection and the slot, and ends the response early.
    fn abort(&self, fault: StreamFault) {
        let Some(stream) = self.stream.take() else { return };
        if fault.is_of_source() {
            self.reset_reader(stream.passed);
        }
        stream.abort(fault);
        self.fault.set(Some(fault));
        let RelayedCall { node, id, times } = &self.call;
        Counters::increment(&node.counters.aborted_streams);
        node.log_failure(|| {
            let late = node.now().since(times.late_at).as_millis();
            format!("\"event\":\"stream-aborted\",\"id\":{id:?},\"why\":\"{fault}\",\"late_ms\":{late}")
        });
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// The time of the monotonic clock, which stops while the machine is suspended.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    /// The total time in which the reader has accepted no bytes.
    fn reader_blocked(&self) -> Duration {
        self.reader.borrow().as_ref().map_or(Duration::ZERO, CallerIo::write_blocked)
    }

    /// Discards what the reader of a response that ends early has not received of its `passed` bytes.
    fn reset_reader(&self, passed: u64) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.reset_in_response(passed);
        }
    }

    /// Aborts the response once its monitor finds a fault.
    async fn abort_on_fault(&self) {
        let RelayedCall { node, times, .. } = &self.call;
        let until = |time| node.clock.timeout_at(time, std::future::pending::<()>());
        if let Some(work_ends_at) = times.work_ends_at {
            let _ = until(work_ends_at).await;
            let remaining = self.stream.borrow().as_ref().and_then(|stream| stream.remaining);
            self.monitor.borrow_mut().work_ended(remaining, self.reader_blocked(), self.now());
        }
        loop {
            if node.now() >= times.late_at {
                self.monitor.borrow_mut().became_late();
            } else if times.work_ends_at.is_none() {
                let _ = until(times.late_at).await;
                continue;
            }
            let fault = self.monitor.borrow().fault(self.reader_blocked(), self.now());
            if let Some(fault) = fault {
                return self.abort(fault);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Polls the next frame. A body of known length ends with its last byte, without a further poll.
    fn poll_frame(&self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut open = self.stream.borrow_mut();
        let Some(stream) = open.as_mut() else {
            return Poll::Ready(self.fault.get().map(|fault| Err(fault.to_string().into())));
        };
        let now = self.now();
        let polled = stream.body.as_mut().poll_frame(context);
        let is_complete = match &polled {
            Poll::Pending => {
                self.monitor.borrow_mut().source_awaited(now);
                *self.waker.borrow_mut() = Some(context.waker().clone());
                return polled;
            }
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.monitor.borrow_mut().bytes_passed(length, now);
                stream.passed += length;
                stream.remaining = stream.remaining.map(|remaining| remaining.saturating_sub(length));
                stream.remaining == Some(0)
            }
            Poll::Ready(Some(Err(_))) => {
                if self.call.node.now() >= self.call.times.late_at {
                    self.reset_reader(stream.passed);
                }
                open.take().into_iter().for_each(OpenStream::connection_lost);
                return polled;
            }
        };
        if is_complete {
            open.take().into_iter().for_each(OpenStream::complete);
        }
        polled
    }
}

/// The body of a streamed response.
pub struct StreamedBody {
    state: Rc<StreamState>,
    length: SizeHint,
    timer: AbortHandle,
}

impl StreamedBody {
    fn new(body: PartialBody, lease: ConnectionLease, slot: Option<Slot>, call: RelayedCall) -> Self {
        let length = body.size_hint();
        let stream = OpenStream { body: Box::pin(body), remaining: length.exact(), passed: 0, lease, slot };
        let state = Rc::new(StreamState {
            stream: RefCell::new(Some(stream)),
            monitor: RefCell::new(StreamMonitor::new(Timestamp::ZERO)),
            fault: Cell::new(None),
            call,
            reader: RefCell::default(),
            started: Instant::now(),
            waker: RefCell::default(),
        });
        // A task of its own: a body is not polled while the peer that receives it accepts no bytes.
        let timed = Rc::clone(&state);
        let timer = tokio::task::spawn_local(async move { timed.abort_on_fault().await });
        StreamedBody { state, length, timer: timer.abort_handle() }
    }

    /// Tells it the connection on which it is sent.
    pub fn set_reader(&self, reader: CallerIo) {
        *self.state.reader.borrow_mut() = Some(reader);
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.timer.abort();
        self.state.stream.take();
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.state.poll_frame(context)
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
