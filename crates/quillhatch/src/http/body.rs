//! Streaming bodies. They are not buffered in memory, and a reader can detect an incomplete one.
//!
//! A body that ends with an error makes the server abort the connection. The reader then sees a chunked body without
//! its terminator, or fewer bytes than the announced length, and never a body that looks complete.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::stream::{self, BoxStream, StreamExt, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::{Frame, Incoming};

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The source of the body failed before its end.
    #[display("the source of the body failed before its end")]
    Upstream,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    TooLarge,
}

/// The body of a response.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// A stream of the chunks of a body.
pub type ByteStream = BoxStream<'static, Result<Bytes, BodyError>>;

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that streams the chunks of `stream`.
pub fn streamed(stream: ByteStream) -> AnswerBody {
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// Converts the body of a request to a stream of its chunks; trailers are dropped.
pub fn incoming(body: Incoming) -> ByteStream {
    BodyStream::new(body)
        .filter_map(|frame| async move {
            match frame {
                Ok(frame) => frame.into_data().ok().map(Ok),
                Err(_) => Some(Err(BodyError::Upstream)),
            }
        })
        .boxed()
}

/// A shared flag that is set when a body is truncated because it is larger than allowed.
#[derive(Clone, Debug, Default)]
pub struct OversizeFlag(Arc<AtomicBool>);

impl OversizeFlag {
    /// Whether the body was truncated.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Limits `body` to `limit` bytes: the first chunk beyond the limit is replaced by an error, and `oversize` is set.
pub fn limited(body: ByteStream, limit: Option<u64>, oversize: OversizeFlag) -> ByteStream {
    let Some(limit) = limit else {
        return body;
    };
    let mut remaining = limit;
    body.map(move |chunk| {
        let chunk = chunk?;
        let size = chunk.len() as u64;
        if size > remaining {
            oversize.set();
            return Err(BodyError::TooLarge);
        }
        remaining -= size;
        Ok(chunk)
    })
    .boxed()
}

/// The result of buffering a body up to a limit.
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The body is larger than the limit. The stream yields all of it, including the part already read.
    OverLimit(ByteStream),
}

/// Reads `body` into memory if it has at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body fails before it ends or exceeds `limit`.
pub async fn buffer_body(mut body: ByteStream, limit: u64) -> Result<BufferedBody, BodyError> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    while let Some(chunk) = body.next().await {
        let chunk = chunk?;
        size += chunk.len() as u64;
        chunks.push(chunk);
        if size > limit {
            let chunks = stream::iter(chunks.into_iter().map(Ok));
            return Ok(BufferedBody::OverLimit(chunks.chain(body).boxed()));
        }
    }
    Ok(BufferedBody::Complete(chunks.concat().into()))
}
