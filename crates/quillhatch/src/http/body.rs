//! Bodies that pass through without being held in memory, and break off visibly.
//!
//! A body that ends with an error makes the server abort the connection: the reader sees a chunked body without its
//! terminator, or fewer bytes than the length announced, and never a body that looks whole.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::stream::{self, BoxStream, StreamExt, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::{Frame, Incoming};

/// Why a body ended before it was whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The source of the body broke off.
    #[display("the source of the body broke off")]
    Upstream,
    /// The body is larger than allowed.
    #[display("the body is larger than allowed")]
    TooLarge,
}

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// The bytes of a body as they arrive.
pub type ByteStream = BoxStream<'static, Result<Bytes, BodyError>>;

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that passes on `stream`.
pub fn streamed(stream: ByteStream) -> AnswerBody {
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// The bytes of a request's body as they arrive; trailers are left out.
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

/// Tells whether a body was cut because it was larger than allowed.
#[derive(Clone, Debug, Default)]
pub struct OversizeFlag(Arc<AtomicBool>);

impl OversizeFlag {
    /// Whether the body was cut.
    pub fn exceeded(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn exceed(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// The same bytes, cut with an error after `limit` bytes.
pub fn limited(body: ByteStream, limit: Option<u64>, verdict: OversizeFlag) -> ByteStream {
    let Some(limit) = limit else {
        return body;
    };
    let mut left = limit;
    body.map(move |chunk| {
        let chunk = chunk?;
        let size = chunk.len() as u64;
        if size > left {
            verdict.exceed();
            return Err(BodyError::TooLarge);
        }
        left -= size;
        Ok(chunk)
    })
    .boxed()
}

/// What reading the beginning of a body gave.
pub enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// More than fits; all of it, from the first byte on, is in the stream.
    OverLimit(ByteStream),
}

/// Reads up to `limit` bytes of `body` into memory.
///
/// # Errors
///
/// Returns an error if the body broke off.
pub async fn buffer_body(mut body: ByteStream, limit: u64) -> Result<BufferedBody, BodyError> {
    let mut held: Vec<Bytes> = Vec::new();
    let mut size = 0;
    while let Some(chunk) = body.next().await {
        let chunk = chunk?;
        size += chunk.len() as u64;
        held.push(chunk);
        if size > limit {
            let held = stream::iter(held.into_iter().map(Ok));
            return Ok(BufferedBody::OverLimit(held.chain(body).boxed()));
        }
    }
    Ok(BufferedBody::Complete(held.concat().into()))
}
