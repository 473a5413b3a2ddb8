//! The client side of a connection: hyper's I/O traits for a Tokio stream, and a limit on bytes that bring a response no
//! further.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that a peer sends before the head of its response is complete, or between two frames of
/// its body: more than hyper accepts for a head.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 512 * 1024;

/// The number of bytes that a peer may still send before its response makes progress. hyper limits the size of a head,
/// but neither the number of interim responses nor the digits of a chunk's size.
#[derive(Clone, Debug)]
pub struct ProgressLimit(Rc<Cell<usize>>);

impl Default for ProgressLimit {
    fn default() -> Self {
        ProgressLimit(Rc::new(Cell::new(MAX_BYTES_WITHOUT_PROGRESS)))
    }
}

impl ProgressLimit {
    /// Records that the response has made progress, or that another request is sent.
    pub fn reset(&self) {
        self.0.set(MAX_BYTES_WITHOUT_PROGRESS);
    }

    /// Counts bytes that were read.
    fn count(&self, length: usize) -> io::Result<()> {
        let left = self.0.get().checked_sub(length);
        self.0.set(left.unwrap_or(0));
        left.map(|_| ()).ok_or_else(|| io::Error::other("the response makes no progress"))
    }
}

/// A connection to a peer.
pub struct PeerIo {
    stream: TcpStream,
    limit: ProgressLimit,
}

impl PeerIo {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream, limit: ProgressLimit) -> Self {
        PeerIo { stream, limit }
    }
}

impl hyper::rt::Read for PeerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut storage = [0_u8; 8192];
        let length = cursor.remaining().min(storage.len());
        let mut buffer = ReadBuf::new(&mut storage[..length]);
        match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
            Poll::Ready(Ok(())) => {
                cursor.put_slice(buffer.filled());
                Poll::Ready(self.limit.count(buffer.filled().len()))
            }
            other => other,
        }
    }
}

impl hyper::rt::Write for PeerIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a peer's response.
pub struct PeerBody {
    incoming: Incoming,
    limit: ProgressLimit,
}

impl PeerBody {
    /// The body `incoming` that arrives on a connection with this limit.
    pub fn new(incoming: Incoming, limit: ProgressLimit) -> Self {
        PeerBody { incoming, limit }
    }
}

impl HttpBody for PeerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if polled.is_ready() {
            self.limit.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
