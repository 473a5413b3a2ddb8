//! Bodies of requests and responses, buffered in memory or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::caller_io::CallerIo;
use crate::stream::StreamedBody;

/// Why a body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

type Stream = Pin<Box<dyn HttpBody<Data = Bytes, Error = BodyError>>>;

/// An outgoing body.
pub enum Body {
    /// The whole body.
    Buffered(Bytes),
    /// A body that is sent while it is read.
    Streamed(Stream),
    /// The body of a response that is relayed while it is read.
    Relayed(StreamedBody),
}

impl Body {
    /// A body of no bytes.
    pub fn empty() -> Self {
        Body::Buffered(Bytes::new())
    }

    /// A body that sends what `stream` yields.
    pub fn streamed(stream: impl HttpBody<Data = Bytes, Error = BodyError> + 'static) -> Self {
        Body::Streamed(Box::pin(stream))
    }

    /// Prepares it to be sent on `connection`. `guard` is kept until it has been sent or dropped.
    pub fn sent_on<G: 'static>(self, connection: &CallerIo, guard: G) -> Self {
        let stream = match self {
            // A buffered body is passed on in one piece.
            Body::Buffered(bytes) => return Body::Buffered(bytes),
            Body::Streamed(stream) => stream,
            Body::Relayed(relayed) => {
                relayed.set_reader(connection.clone());
                Box::pin(relayed)
            }
        };
        Body::Streamed(Box::pin(GuardedBody { stream, _guard: guard }))
    }

    /// A copy of the body, if it is buffered.
    pub fn clone_if_buffered(&self) -> Option<Body> {
        match self {
            Body::Buffered(bytes) => Some(Body::Buffered(bytes.clone())),
            Body::Streamed(_) | Body::Relayed(_) => None,
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
            Body::Relayed(relayed) => Pin::new(relayed).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(bytes) => bytes.is_empty(),
            Body::Streamed(stream) => stream.is_end_stream(),
            Body::Relayed(relayed) => relayed.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Streamed(stream) => stream.size_hint(),
            Body::Relayed(relayed) => relayed.size_hint(),
        }
    }
}

/// A streamed body that owns a value, which is dropped with it.
struct GuardedBody<G> {
    stream: Stream,
    _guard: G,
}

// The stream is pinned by its own box, and the guard is never pinned.
impl<G> Unpin for GuardedBody<G> {}

impl<G> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.get_mut().stream.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.stream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.stream.size_hint()
    }
}

/// A body of which the first bytes were already read.
pub struct PartialBody<B> {
    start: Bytes,
    rest: B,
    exact: Option<u64>,
}

impl<B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin> HttpBody for PartialBody<B> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if !this.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.start)))));
        }
        Pin::new(&mut this.rest).poll_frame(context).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.exact {
            Some(exact) => SizeHint::with_exact(exact),
            None => SizeHint::default(),
        }
    }
}

/// A body that was read up to a limit.
pub enum ReadBody<B> {
    /// The whole body.
    Complete(Bytes),
    /// A body that exceeds the limit.
    Partial(PartialBody<B>),
}

impl<B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin + 'static> ReadBody<B> {
    /// Converts it to an outgoing body.
    pub fn into_body(self) -> Body {
        match self {
            ReadBody::Complete(bytes) => Body::Buffered(bytes),
            ReadBody::Partial(partial) => Body::streamed(partial),
        }
    }
}

/// Reads a body whole if it has at most `limit` bytes. Of a longer one, only its beginning is read, or nothing if its
/// length is known in advance.
///
/// # Errors
///
/// Returns an error if the body ends early.
pub async fn read_up_to<B>(mut incoming: B, limit: usize) -> Result<ReadBody<B>, BodyError>
where
    B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let exact = incoming.size_hint().exact();
    if exact.is_some_and(|length| length > limit as u64) {
        return Ok(ReadBody::Partial(PartialBody { start: Bytes::new(), rest: incoming, exact }));
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
            let start = if collected.is_empty() { first } else { collected.freeze() };
            return Ok(ReadBody::Partial(PartialBody { start, rest: incoming, exact }));
        }
    }
    Ok(ReadBody::Complete(if collected.is_empty() { first } else { collected.freeze() }))
}

/// Reads a body whole.
///
/// # Errors
///
/// Returns an error if the body ends early or has more than `limit` bytes.
pub async fn read_whole<B>(incoming: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
{
    match read_up_to(incoming, limit).await? {
        ReadBody::Complete(bytes) => Ok(bytes),
        ReadBody::Partial(_) => Err(format!("the body is longer than {limit} bytes").into()),
    }
}
