//! Relays responses: short ones are buffered whole, long ones are streamed.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use quillhatch_types::Timestamp;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::body::{read_up_to, Body, BodyError, PartialBody, ReadBody};
use crate::clock::Clock;
use crate::gate::Slot;
use crate::headers::remove_hop_by_hop_headers;
use crate::pool::ConnectionLease;

/// The maximum size of a response body that is buffered whole before any of it is relayed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// How long a late stream waits for the next bytes of its source.
const MAX_SOURCE_SILENCE: Duration = Duration::from_millis(200);
/// How long a late stream waits for its reader to accept bytes.
const MAX_READER_STALL: Duration = Duration::from_secs(5);
/// The interval at which a late stream is checked.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time from which a streamed response is late. A late one goes on only while its bytes arrive and are read.
#[derive(Clone, Debug)]
pub struct StreamLimit {
    /// The clock that measures it.
    pub clock: Clock,
    /// The time.
    pub late_at: Timestamp,
}

/// Relays a response: buffered if it is short, else streamed. The connection is returned to its pool after a complete
/// response, and `slot` is released when the response has ended. A stream that is late by `limit` is aborted once its
/// source falls silent or its reader stalls, so that it holds neither for longer.
///
/// # Errors
///
/// Returns why a short response ended early.
pub async fn relay_response(
    response: Response<Incoming>,
    lease: ConnectionLease,
    slot: Option<Slot>,
    limit: StreamLimit,
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
            Ok(Response::from_parts(parts, Body::streamed(StreamedBody::new(rest, lease, slot, limit))))
        }
    }
}

/// A streamed response that has not ended, with what it holds until then.
struct OpenStream {
    body: Pin<Box<PartialBody>>,
    remaining: Option<u64>,
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
}

/// The state of a streamed response, which its timer shares.
struct StreamState {
    /// `None` once the response has ended or was aborted.
    stream: RefCell<Option<OpenStream>>,
    is_aborted: Cell<bool>,
    clock: Clock,
    /// Since when the reader waits for bytes of the source, if it does.
    awaiting_source_since: Cell<Option<Timestamp>>,
    /// When the reader last took bytes.
    last_taken: Cell<Timestamp>,
    /// Wakes the task that waits for the next bytes.
    waker: RefCell<Option<Waker>>,
}

impl StreamState {
    /// Drops the connection and the slot, and ends the response early.
    fn abort(&self) {
        if self.stream.take().is_none() {
            return;
        }
        self.is_aborted.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether the source has fallen silent, or the reader takes no bytes.
    fn is_stuck(&self) -> bool {
        let now = self.clock.now();
        match self.awaiting_source_since.get() {
            Some(since) => now.since(since) >= MAX_SOURCE_SILENCE,
            None => now.since(self.last_taken.get()) >= MAX_READER_STALL,
        }
    }

    /// Aborts the response once it is late and stuck.
    async fn abort_when_stuck(&self, late_at: Timestamp) {
        let _ = self.clock.timeout_at(late_at, std::future::pending::<()>()).await;
        while !self.is_stuck() {
            sleep(LATE_CHECK_INTERVAL).await;
        }
        self.abort();
    }

    /// Polls the next frame. A body of known length ends with its last byte, without a further poll.
    fn poll_frame(&self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut open = self.stream.borrow_mut();
        let Some(stream) = open.as_mut() else {
            return Poll::Ready(self.is_aborted.get().then(|| Err("the response did not end in time".into())));
        };
        let polled = stream.body.as_mut().poll_frame(context);
        if polled.is_ready() {
            self.awaiting_source_since.set(None);
            self.last_taken.set(self.clock.now());
        }
        let is_complete = match &polled {
            Poll::Pending => {
                let since = self.awaiting_source_since.get().unwrap_or_else(|| self.clock.now());
                self.awaiting_source_since.set(Some(since));
                *self.waker.borrow_mut() = Some(context.waker().clone());
                return polled;
            }
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                stream.remaining = stream.remaining.map(|remaining| remaining.saturating_sub(length));
                stream.remaining == Some(0)
            }
            Poll::Ready(Some(Err(_))) => {
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
struct StreamedBody {
    state: Rc<StreamState>,
    length: SizeHint,
    timer: AbortHandle,
}

impl StreamedBody {
    fn new(body: PartialBody, lease: ConnectionLease, slot: Option<Slot>, limit: StreamLimit) -> Self {
        let length = body.size_hint();
        let stream = OpenStream { body: Box::pin(body), remaining: length.exact(), lease, slot };
        let StreamLimit { clock, late_at } = limit;
        let state = Rc::new(StreamState {
            stream: RefCell::new(Some(stream)),
            is_aborted: Cell::new(false),
            awaiting_source_since: Cell::new(None),
            last_taken: Cell::new(clock.now()),
            clock,
            waker: RefCell::default(),
        });
        // A task of its own: a body is not polled while the peer that receives it accepts no bytes.
        let timed = Rc::clone(&state);
        let timer = tokio::task::spawn_local(async move { timed.abort_when_stuck(late_at).await });
        StreamedBody { state, length, timer: timer.abort_handle() }
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
