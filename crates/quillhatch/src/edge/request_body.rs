//! Receives the body of a caller's request: held in memory up to a bound, so that it can be sent again, else streamed.

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

/// The body of a request on its way to gates.
pub struct RequestBody {
    source: Source,
    /// The length that the head announced.
    pub length: Option<u64>,
    /// Whether the body was cut because it is too large.
    pub size: OversizeFlag,
}

enum Source {
    Held(Bytes),
    /// Empty once an attempt has taken it.
    Streamed(Mutex<Option<ByteStream>>),
}

impl RequestBody {
    /// Whether the body can be sent again.
    pub fn replayable(&self) -> bool {
        matches!(self.source, Source::Held(_))
    }

    /// The body for one attempt; `None` if it cannot be sent again and was sent before.
    pub fn take(&self) -> Option<reqwest::Body> {
        match &self.source {
            Source::Held(bytes) => Some(reqwest::Body::from(bytes.clone())),
            Source::Streamed(stream) => {
                let stream = stream.lock().unwrap_or_else(PoisonError::into_inner).take();
                stream.map(reqwest::Body::wrap_stream)
            }
        }
    }

    /// The digest of a request with this body, to tell a repeat from another request under the same key.
    pub fn digest(&self, method: &str, path: &str) -> Option<Digest> {
        match &self.source {
            Source::Held(bytes) => {
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
/// Returns the answer to a request whose body is too large, breaks off, or takes longer than the call may.
pub async fn receive(
    request: &RequestDescription,
    body: Incoming,
    headers: &HeaderMap,
    limits: &RequestLimits,
) -> Result<RequestBody, Rejection> {
    let length = content_length(headers);
    let size = OversizeFlag::default();
    if body.is_end_stream() {
        return Ok(RequestBody { source: Source::Held(Bytes::new()), length, size });
    }
    let stream = limited(incoming(body), limits.body_bytes, size.clone());
    let too_large_to_hold = length.is_some_and(|length| length > limits.retry_buffer_bytes);
    if too_large_to_hold && request.key.is_none() {
        return Ok(RequestBody { source: Source::Streamed(Mutex::new(Some(stream))), length, size });
    }
    let source = hold(request, stream, limits).await?;
    Ok(RequestBody { source, length, size })
}

async fn hold(request: &RequestDescription, stream: ByteStream, limits: &RequestLimits) -> Result<Source, Rejection> {
    let patience = request.remaining.unwrap_or(request.class_deadline);
    let reading = tokio::time::timeout(patience, buffer_body(stream, limits.retry_buffer_bytes)).await;
    let beginning = reading.map_err(|_| Rejection::from(Refusal::not_run(RefusalReason::DeadlinePassed)))?;
    match beginning {
        Ok(BufferedBody::Complete(bytes)) => Ok(Source::Held(bytes)),
        // The digest of a keyed request needs the whole body, and nothing is held without a bound.
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
