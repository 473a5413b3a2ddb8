//! Relays responses: short ones are buffered whole, long ones are streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;

use crate::body::{read_up_to, Body, BodyError, PartialBody, ReadBody};
use crate::gate::Slot;
use crate::headers::remove_hop_by_hop_headers;
use crate::pool::ConnectionLease;

/// The maximum size of a response body that is buffered whole before any of it is relayed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Relays a response: buffered if it is short, else streamed. The connection is returned to its pool after a complete
/// response.
///
/// # Errors
///
/// Returns why a short response ended early.
pub async fn relay_response(response: Response<Incoming>, lease: ConnectionLease) -> Result<Response<Body>, String> {
    relay_response_with_slot(response, lease, None).await
}

/// As [`relay_response`], with a slot that is released when the response has ended.
///
/// # Errors
///
/// Returns why a short response ended early.
pub async fn relay_response_with_slot(
    response: Response<Incoming>,
    lease: ConnectionLease,
    slot: Option<Slot>,
) -> Result<Response<Body>, String> {
    let (mut parts, incoming) = response.into_parts();
    let length = parts.headers.get(CONTENT_LENGTH).cloned();
    remove_hop_by_hop_headers(&mut parts.headers);
    let read = match read_up_to(incoming, MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(read) => read,
        Err(error) => {
            if let Some(slot) = slot {
                slot.connection_lost();
            }
            return Err(error.to_string());
        }
    };
    match read {
        ReadBody::Complete(bytes) => {
            if bytes.is_empty() {
                if let Some(length) = length {
                    parts.headers.insert(CONTENT_LENGTH, length);
                }
            }
            lease.release();
            if let Some(slot) = slot {
                slot.complete();
            }
            Ok(Response::from_parts(parts, Body::Buffered(bytes)))
        }
        ReadBody::Partial(rest) => {
            let remaining = rest.size_hint().exact();
            let streamed = StreamedBody { body: Box::pin(rest), remaining, resources: Some((lease, slot)) };
            Ok(Response::from_parts(parts, Body::streamed(streamed)))
        }
    }
}

/// The body of a streamed response, which holds its connection and its slot until it has ended.
struct StreamedBody {
    body: Pin<Box<PartialBody>>,
    remaining: Option<u64>,
    resources: Option<(ConnectionLease, Option<Slot>)>,
}

impl StreamedBody {
    /// Records a polled frame, and releases the connection and the slot at the end of the body. A body of known length
    /// ends with its last byte, without a further poll.
    fn record_frame(&mut self, polled: &Poll<Option<Result<Frame<Bytes>, BodyError>>>) {
        let is_over = match polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) => {
                if let Some((_, Some(slot))) = self.resources.take() {
                    slot.connection_lost();
                }
                false
            }
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(length));
                self.remaining == Some(0)
            }
            _ => false,
        };
        if !is_over {
            return;
        }
        if let Some((lease, slot)) = self.resources.take() {
            lease.release();
            if let Some(slot) = slot {
                slot.complete();
            }
        }
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = this.body.as_mut().poll_frame(context);
        this.record_frame(&polled);
        polled
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled for, so that the connection is released.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
