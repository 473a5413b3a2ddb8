//! A caller's connection that notices the caller's leaving also while requests wait unread behind the current one.
//!
//! hyper reads nothing while a request is answered and bytes of the next one lie in its buffer, so it would not see the end
//! of the connection. This reads ahead into a bounded buffer of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::http::request::Parts;
use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::pipeline::{parse_next_request, NextRequest};

/// The most bytes that are read ahead.
const AHEAD_BYTES: usize = 16 * 1024;

/// How far the bytes that were read ahead are taken apart.
#[derive(Default)]
struct Split {
    /// Whether hyper gets the bytes as they come.
    is_off: bool,
    /// Whether a request was found whose end is open to doubt.
    is_ambiguous: bool,
    /// The bytes at the front that belong to requests that were found, and are not given to hyper yet.
    found: usize,
    /// The lengths of these requests.
    lengths: VecDeque<usize>,
    /// The bytes at the front that hyper may take: the rest of one request.
    released: usize,
}

struct Shared {
    stream: RefCell<TcpStream>,
    split: RefCell<Split>,
    ahead: RefCell<Vec<u8>>,
    ended: Cell<bool>,
    last_read: Cell<Instant>,
}

/// One half is given to hyper, the other watches the connection.
#[derive(Clone)]
pub struct CallerIo(Rc<Shared>);

impl CallerIo {
    /// Takes over a connection; with `splits`, hyper gets one request at a time and [`CallerIo::next_request`] tells of
    /// those that wait.
    pub fn new(stream: TcpStream, splits: bool) -> Self {
        CallerIo(Rc::new(Shared {
            stream: RefCell::new(stream),
            split: RefCell::new(Split { is_off: !splits, ..Split::default() }),
            ahead: RefCell::default(),
            ended: Cell::new(false),
            last_read: Cell::new(Instant::now()),
        }))
    }

    /// The next request that was read ahead and not told of before.
    pub fn next_request(&self) -> Option<Box<Parts>> {
        let mut split = self.0.split.borrow_mut();
        let ahead = self.0.ahead.borrow();
        let rest = &ahead[split.found..];
        if split.is_off || rest.is_empty() {
            return None;
        }
        match parse_next_request(rest) {
            NextRequest::WithoutBody(length, parts) => {
                split.found += length;
                split.lengths.push_back(length);
                Some(parts)
            }
            NextRequest::Incomplete if rest.len() < AHEAD_BYTES / 2 => None,
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

    /// Whether a request was found whose end is open to doubt; nothing behind it can be trusted.
    pub fn is_ambiguous(&self) -> bool {
        self.0.split.borrow().is_ambiguous
    }

    /// How many bytes at the front hyper may take now.
    fn available(&self) -> usize {
        let ahead = self.0.ahead.borrow().len();
        let mut split = self.0.split.borrow_mut();
        if split.is_off && split.lengths.is_empty() && split.released == 0 {
            return ahead;
        }
        if split.released == 0 {
            split.released = split.lengths.pop_front().unwrap_or(0);
        }
        split.released
    }

    fn taken(&self, count: usize) {
        let mut split = self.0.split.borrow_mut();
        split.released = split.released.saturating_sub(count);
        split.found = split.found.saturating_sub(count);
    }

    /// Whether the beginning of a request lies here that hyper does not get before its head is whole.
    pub fn has_begun_request(&self) -> bool {
        let split = self.0.split.borrow();
        !split.is_off && self.0.ahead.borrow().len() > split.found
    }

    /// Writes bytes if the connection takes them at once; hyper must have nothing to write.
    pub fn write_late(&self, bytes: &[u8]) {
        // A caller that takes nothing gets nothing.
        let _ = self.0.stream.borrow().try_write(bytes);
    }

    /// When bytes arrived last.
    pub fn last_read(&self) -> Instant {
        self.0.last_read.get()
    }

    /// Reads ahead; ready once the caller has ended the connection.
    pub fn poll_ended(&self, context: &mut Context<'_>) -> Poll<()> {
        let shared = &self.0;
        let mut space = [0_u8; 4096];
        loop {
            if shared.ended.get() {
                return Poll::Ready(());
            }
            if shared.ahead.borrow().len() >= AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut buffer = ReadBuf::new(&mut space);
            match Pin::new(&mut *shared.stream.borrow_mut()).poll_read(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    shared.last_read.set(Instant::now());
                    shared.ahead.borrow_mut().extend_from_slice(buffer.filled());
                }
                Poll::Ready(_) => shared.ended.set(true),
            }
        }
    }
}

impl CallerIo {
    /// Throws away what still arrives; ready once the caller has ended the connection.
    pub fn poll_discard(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            self.0.ahead.borrow_mut().clear();
            self.0.split.borrow_mut().is_off = true;
            let polled = self.poll_ended(context);
            if polled.is_ready() || self.0.ahead.borrow().is_empty() {
                return polled;
            }
        }
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
            let polled = self.poll_ended(context);
            available = self.available();
            if available == 0 {
                return polled.map(Ok);
            }
        }
        let mut ahead = self.0.ahead.borrow_mut();
        let taken = available.min(buffer.remaining());
        buffer.put_slice(&ahead[..taken]);
        ahead.drain(..taken);
        drop(ahead);
        self.taken(taken);
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for CallerIo {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(context)
    }
}
