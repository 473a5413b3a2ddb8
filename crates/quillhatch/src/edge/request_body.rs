//! Receives the body of a caller's request. A body up to a size limit is buffered in memory so that retries can send it
//! again; a larger body is streamed.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::StatusCode;
use quillhatch_types::{hash, Digest, Refusal, RefusalReason};

use super::request::{body_too_large, RequestDescription};
use super::RequestLimits;
use crate::http::body::{buffer_body, incoming, limited, BodyError, BufferedBody, ByteStream, OversizeFlag};
use crate::http::headers::content_length;
use crate::http::problem::Rejection;

/// The body of a request that is sent to gates.
pub struct RequestBody {
    source: Source,
    /// The length announced by `Content-Length`, if any.
    pub length: Option<u64>,
    /// Set when the body was truncated because it is larger than allowed.
    pub oversize: OversizeFlag,
}

enum Source {
    Buffered(Bytes),
    /// `None` after an attempt has taken the stream.
    Streamed(Mutex<Option<ByteStream>>),
}

impl RequestBody {
    /// Whether the body is buffered, so that it can be sent again.
    pub fn replayable(&self) -> bool {
        matches!(self.source, Source::Buffered(_))
    }

    /// Returns the body for one attempt; `None` if it is streamed and an earlier attempt took it.
    pub fn take(&self) -> Option<reqwest::Body> {
        match &self.source {
            Source::Buffered(bytes) => Some(reqwest::Body::from(bytes.clone())),
            Source::Streamed(stream) => {
                let stream = stream.lock().unwrap_or_else(PoisonError::into_inner).take();
                stream.map(reqwest::Body::wrap_stream)
            }
        }
    }

    /// The digest of method, path and body, which distinguishes a retry from a different request under the same key;
    /// `None` if the body is streamed.
    pub fn digest(&self, method: &str, path: &str) -> Option<Digest> {
        match &self.source {
            Source::Buffered(bytes) => {
                let head = format!("{method}\n{path}\n");
                Some(hash::digest(&[head.as_bytes(), bytes].concat()))
            }
            Source::Streamed(_) => None,
        }
    }
}

/// Receives the body of the request with the given head.
///
/// # Errors
///
/// Returns the rejection of a request whose body is too large, is incomplete, or does not arrive before the deadline.
pub async fn receive(
    request: &RequestDescription,
    body: Incoming,
    headers: &HeaderMap,
    limits: &RequestLimits,
) -> Result<RequestBody, Rejection> {
    let length = content_length(headers);
    let oversize = OversizeFlag::default();
    if body.is_end_stream() {
        return Ok(RequestBody { source: Source::Buffered(Bytes::new()), length, oversize });
    }
    let stream = limited(incoming(body), limits.body_bytes, oversize.clone());
    let too_large_to_buffer = length.is_some_and(|length| length > limits.retry_buffer_bytes);
    if too_large_to_buffer && request.key.is_none() {
        return Ok(RequestBody { source: Source::Streamed(Mutex::new(Some(stream))), length, oversize });
    }
    let source = receive_source(request, stream, limits).await?;
    Ok(RequestBody { source, length, oversize })
}

async fn receive_source(
    request: &RequestDescription,
    stream: ByteStream,
    limits: &RequestLimits,
) -> Result<Source, Rejection> {
    let max_wait = request.remaining.unwrap_or(request.class_deadline);
    let reading = tokio::time::timeout(max_wait, buffer_body(stream, limits.retry_buffer_bytes)).await;
    let beginning = reading.map_err(|_| Rejection::from(Refusal::not_run(RefusalReason::DeadlinePassed)))?;
    match beginning {
        Ok(BufferedBody::Complete(bytes)) => Ok(Source::Buffered(bytes)),
        // A keyed request needs the digest of its whole body, and at most `retry_buffer_bytes` are buffered.
        Ok(BufferedBody::OverLimit(_)) if request.key.is_some() => Err(keyed_too_large(limits.retry_buffer_bytes)),
        Ok(BufferedBody::OverLimit(stream)) => Ok(Source::Streamed(Mutex::new(Some(stream)))),
        Err(BodyError::TooLarge) => Err(body_too_large(limits.body_bytes.unwrap_or_default())),
        Err(BodyError::Upstream) => Err(Rejection::bad_request("the body of the request broke off")),
    }
}

fn keyed_too_large(limit: u64) -> Rejection {
    let detail = format!("the body of a request with a key may have at most {limit} bytes");
    Rejection::not_run(StatusCode::PAYLOAD_TOO_LARGE, RefusalReason::BadRequest, detail)
}
