//! A server connection that detects that its peer has closed it even while pipelined requests are pending.
//!
//! While hyper serves a request and has bytes of the next one in its buffer, it does not read, so it would not notice
//! that the connection was closed. This type reads ahead into a bounded buffer of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use hyper::http::request::Parts;
use hyper::rt::ReadBufCursor;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::pipeline::{parse_next_request, NextRequest};

/// The maximum number of bytes that are read ahead.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// The maximum number of bytes of a response that hyper holds before it writes them to the socket.
const MAX_UNSENT_BYTES: usize = 512 * 1024;

/// How far the bytes that were read ahead have been split into requests.
#[derive(Default)]
struct SplitState {
    /// Whether the bytes are passed to hyper as they arrive, without splitting.
    is_off: bool,
    /// Whether a request was found whose length is ambiguous.
    is_ambiguous: bool,
    /// The number of bytes at the front of the buffer that belong to requests that were found and that hyper has not
    /// read yet.
    found: usize,
    /// The lengths of those requests that hyper has not started to read.
    lengths: VecDeque<usize>,
    /// The number of bytes at the front that hyper may read: the rest of one request.
    released: usize,
}

struct Shared {
    stream: RefCell<TcpStream>,
    split: RefCell<SplitState>,
    read_ahead: RefCell<Vec<u8>>,
    closed: Cell<bool>,
    last_read: Cell<Instant>,
    /// When the first byte of the request arrived that has not been found completely.
    partial_since: Cell<Instant>,
    last_write: Cell<Instant>,
    /// Since when bytes that hyper has to write wait for the socket, if they do.
    write_blocked_since: Cell<Option<Instant>>,
    /// How long they have waited before, in total.
    write_blocked_before: Cell<Duration>,
    /// Whether the connection is to be reset instead of closed.
    is_reset: Cell<bool>,
    /// Wakes the task that serves the connection.
    waker: RefCell<Option<Waker>>,
}

/// A server connection. One clone is passed to hyper, another one reads ahead and watches for the end of the
/// connection.
#[derive(Clone)]
pub struct CallerIo(Rc<Shared>);

impl CallerIo {
    /// Wraps a connection. With `splits_requests`, hyper reads one request at a time, and
    /// [`CallerIo::next_pipelined_request`] returns the pipelined ones.
    pub fn new(stream: TcpStream, splits_requests: bool) -> Self {
        CallerIo(Rc::new(Shared {
            stream: RefCell::new(stream),
            split: RefCell::new(SplitState { is_off: !splits_requests, ..SplitState::default() }),
            read_ahead: RefCell::default(),
            closed: Cell::new(false),
            last_read: Cell::new(Instant::now()),
            partial_since: Cell::new(Instant::now()),
            last_write: Cell::new(Instant::now()),
            write_blocked_since: Cell::new(None),
            write_blocked_before: Cell::default(),
            is_reset: Cell::new(false),
            waker: RefCell::default(),
        }))
    }

    /// The next request that was read ahead and has not been returned before.
    pub fn next_pipelined_request(&self) -> Option<Box<Parts>> {
        let mut split = self.0.split.borrow_mut();
        let read_ahead = self.0.read_ahead.borrow();
        let rest = &read_ahead[split.found..];
        if split.is_off || rest.is_empty() {
            return None;
        }
        match parse_next_request(rest) {
            NextRequest::WithoutBody(length, parts) => {
                split.found += length;
                split.lengths.push_back(length);
                Some(parts)
            }
            NextRequest::Incomplete if rest.len() < MAX_READ_AHEAD_BYTES / 2 => None,
            NextRequest::Incomplete | NextRequest::Unsupported => {
                split.is_off = true;
                None
            }
            NextRequest::Ambiguous => {
                split.is_off = true;
                split.is_ambiguous = true;
                None
            }
        }
    }

    /// Whether a request was found whose length is ambiguous. Nothing that follows it can be trusted.
    pub fn is_ambiguous(&self) -> bool {
        self.0.split.borrow().is_ambiguous
    }

    /// The number of bytes at the front of the buffer that hyper may read now.
    fn available(&self) -> usize {
        let read_ahead = self.0.read_ahead.borrow().len();
        let mut split = self.0.split.borrow_mut();
        if split.is_off && split.lengths.is_empty() && split.released == 0 {
            return read_ahead;
        }
        if split.released == 0 {
            split.released = split.lengths.pop_front().unwrap_or(0);
        }
        split.released
    }

    /// Records that hyper has read `count` bytes.
    fn consume(&self, count: usize) {
        let mut split = self.0.split.borrow_mut();
        split.released = split.released.saturating_sub(count);
        split.found = split.found.saturating_sub(count);
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        let now = Instant::now();
        let shared = &self.0;
        if polled.is_pending() {
            shared.write_blocked_since.set(shared.write_blocked_since.get().or(Some(now)));
            return;
        }
        shared.write_blocked_before.set(self.write_blocked());
        shared.write_blocked_since.set(None);
        if matches!(polled, Poll::Ready(Ok(_))) {
            shared.last_write.set(now);
        }
    }

    /// The total time in which bytes that hyper had to write waited for the socket, since the caller accepted none.
    pub fn write_blocked(&self) -> Duration {
        let since = self.0.write_blocked_since.get();
        self.0.write_blocked_before.get() + since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Whether a request has arrived in part. hyper does not get it before its head is complete.
    pub fn has_partial_request(&self) -> bool {
        let split = self.0.split.borrow();
        !split.is_off && self.0.read_ahead.borrow().len() > split.found
    }

    /// How long the rest of a request that has arrived in part has been missing, not counting the time of the response
    /// before it.
    pub fn partial_for(&self) -> Duration {
        self.0.partial_since.get().max(self.0.last_write.get()).elapsed()
    }

    /// Writes bytes if the connection accepts them without waiting. hyper must have nothing to write
    /// ([`CallerIo::has_written_all`]) and no response in progress.
    pub fn try_write_response(&self, bytes: &[u8]) {
        // If the socket buffer is full, the response is dropped.
        let _ = self.0.stream.borrow().try_write(bytes);
    }

    /// Whether the socket has accepted all bytes that hyper had to write.
    pub fn has_written_all(&self) -> bool {
        self.0.write_blocked_since.get().is_none()
    }

    /// Whether bytes that hyper has to write have waited for the socket for longer than `timeout`, during which the caller
    /// has read nothing.
    pub fn has_stalled_write(&self, timeout: Duration) -> bool {
        self.0.write_blocked_since.get().is_some() && Instant::now().duration_since(self.0.last_write.get()) > timeout
    }

    /// The time of the last read or write of any bytes.
    pub fn last_activity(&self) -> Instant {
        self.0.last_read.get().max(self.0.last_write.get())
    }

    /// The time of the last write of any bytes.
    pub fn last_write(&self) -> Instant {
        self.0.last_write.get()
    }

    /// Reads ahead. Ready once the caller has closed the connection.
    pub fn poll_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        let shared = &self.0;
        store_waker(&mut shared.waker.borrow_mut(), context.waker());
        let mut storage = [0_u8; 4096];
        loop {
            if shared.closed.get() {
                return Poll::Ready(());
            }
            if shared.read_ahead.borrow().len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut buffer = ReadBuf::new(&mut storage);
            match Pin::new(&mut *shared.stream.borrow_mut()).poll_read(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    shared.last_read.set(Instant::now());
                    if !self.has_partial_request() {
                        shared.partial_since.set(Instant::now());
                    }
                    shared.read_ahead.borrow_mut().extend_from_slice(buffer.filled());
                }
                Poll::Ready(_) => shared.closed.set(true),
            }
        }
    }
}

impl CallerIo {
    /// Ends the connection in the middle of a response of which hyper was given `written` bytes, and discards those that the
    /// caller has not received. Only if all bytes that the kernel still holds belong to this response: those of an earlier
    /// one must arrive. Otherwise does nothing.
    pub fn reset_in_response(&self, written: u64) {
        let stream = self.0.stream.borrow();
        let socket = SockRef::from(&*stream);
        let is_safe = socket.send_buffer_size().is_ok_and(|held| written > (held + MAX_UNSENT_BYTES) as u64);
        if !is_safe || socket.set_linger(Some(Duration::ZERO)).is_err() {
            return;
        }
        self.0.is_reset.set(true);
        self.0.closed.set(true);
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }

    /// Whether the connection is to be reset instead of closed.
    pub fn is_reset(&self) -> bool {
        self.0.is_reset.get()
    }

    /// Tells the caller that no more bytes follow.
    pub async fn shut_down(&self) {
        // An error means that the connection has ended already.
        let _ = std::future::poll_fn(|context| Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(context)).await;
    }

    /// Discards all bytes that arrive. Ready once the caller has closed the connection.
    pub fn poll_discard(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            self.0.read_ahead.borrow_mut().clear();
            self.0.split.borrow_mut().is_off = true;
            let polled = self.poll_closed(context);
            if polled.is_ready() || self.0.read_ahead.borrow().is_empty() {
                return polled;
            }
        }
    }
}

/// Stores the waker of a task, without cloning it again while it stays the same.
fn store_waker(stored: &mut Option<Waker>, waker: &Waker) {
    match stored {
        Some(stored) => stored.clone_from(waker),
        None => *stored = Some(waker.clone()),
    }
}

impl hyper::rt::Read for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut available = self.available();
        if available == 0 {
            let polled = self.poll_closed(context);
            available = self.available();
            if available == 0 {
                return polled.map(Ok);
            }
        }
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        let count = available.min(buffer.remaining());
        buffer.put_slice(&read_ahead[..count]);
        read_ahead.drain(..count);
        drop(read_ahead);
        self.consume(count);
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for CallerIo {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(context, slices);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(context)
    }
}
