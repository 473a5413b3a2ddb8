//! A caller's connection that notices the caller's leaving also while requests wait unread behind the current one.
//!
//! hyper reads nothing while a request is answered and bytes of the next one lie in its buffer, so it would not see the end
//! of the connection. This reads ahead into a bounded buffer of its own.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read ahead.
const AHEAD_BYTES: usize = 16 * 1024;

struct Shared {
    stream: RefCell<TcpStream>,
    ahead: RefCell<Vec<u8>>,
    ended: Cell<bool>,
    last_read: Cell<Instant>,
}

/// One half is given to hyper, the other watches the connection.
#[derive(Clone)]
pub struct CallerIo(Rc<Shared>);

impl CallerIo {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        CallerIo(Rc::new(Shared {
            stream: RefCell::new(stream),
            ahead: RefCell::default(),
            ended: Cell::new(false),
            last_read: Cell::new(Instant::now()),
        }))
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
        if self.0.ahead.borrow().is_empty() {
            let polled = self.poll_ended(context);
            if self.0.ahead.borrow().is_empty() {
                return polled.map(Ok);
            }
        }
        let mut ahead = self.0.ahead.borrow_mut();
        let taken = ahead.len().min(buffer.remaining());
        buffer.put_slice(&ahead[..taken]);
        ahead.drain(..taken);
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
