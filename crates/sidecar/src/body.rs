//! Bodies of requests and answers: empty, whole in memory, or passed on as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

/// Why a body ended before it was whole.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

type Stream = Pin<Box<dyn HttpBody<Data = Bytes, Error = BodyError>>>;

/// A body on its way out.
pub enum Body {
    /// All of it.
    Buffered(Bytes),
    /// The rest of it is still to come.
    Streamed(Stream),
}

impl Body {
    /// No bytes at all.
    pub fn empty() -> Self {
        Body::Buffered(Bytes::new())
    }

    /// Passes on what `stream` brings.
    pub fn streamed(stream: impl HttpBody<Data = Bytes, Error = BodyError> + 'static) -> Self {
        Body::Streamed(Box::pin(stream))
    }

    /// The same body once more, if all of it is in memory.
    pub fn clone_if_buffered(&self) -> Option<Body> {
        match self {
            Body::Buffered(bytes) => Some(Body::Buffered(bytes.clone())),
            Body::Streamed(_) => None,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Body::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Body::Streamed(stream) => stream.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(bytes) => bytes.is_empty(),
            Body::Streamed(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Streamed(stream) => stream.size_hint(),
        }
    }
}

/// Bytes that were read already, and the rest of the body that they began.
pub struct PartialBody {
    begun: Bytes,
    rest: Incoming,
    exact: Option<u64>,
}

impl HttpBody for PartialBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if !this.begun.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.begun)))));
        }
        Pin::new(&mut this.rest).poll_frame(context).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.begun.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.exact {
            Some(exact) => SizeHint::with_exact(exact),
            None => SizeHint::default(),
        }
    }
}

/// A body that was read as far as it is kept in memory.
pub enum ReadBody {
    /// All of it.
    Complete(Bytes),
    /// It is longer than that.
    Partial(PartialBody),
}

impl ReadBody {
    /// The body to send on.
    pub fn into_body(self) -> Body {
        match self {
            ReadBody::Complete(bytes) => Body::Buffered(bytes),
            ReadBody::Partial(continued) => Body::streamed(continued),
        }
    }
}

/// Reads a body whole if it has at most `limit` bytes, else its beginning.
///
/// # Errors
///
/// Returns an error if the body breaks off.
pub async fn read_up_to(mut incoming: Incoming, limit: usize) -> Result<ReadBody, BodyError> {
    let exact = incoming.size_hint().exact();
    if exact.is_some_and(|length| length > limit as u64) {
        return Ok(ReadBody::Partial(PartialBody { begun: Bytes::new(), rest: incoming, exact }));
    }
    let mut first = Bytes::new();
    let mut collected = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if first.is_empty() && collected.is_empty() {
            first = data;
        } else {
            collected.extend_from_slice(&std::mem::take(&mut first));
            collected.extend_from_slice(&data);
        }
        if first.len() + collected.len() > limit {
            let begun = if collected.is_empty() { first } else { collected.freeze() };
            return Ok(ReadBody::Partial(PartialBody { begun, rest: incoming, exact }));
        }
    }
    Ok(ReadBody::Complete(if collected.is_empty() { first } else { collected.freeze() }))
}
