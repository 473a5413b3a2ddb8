//! Passes answers on: short ones whole, long ones as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;

use crate::body::{read_up_to, Body, BodyError, PartialBody, ReadBody};
use crate::gate::Slot;
use crate::headers::remove_connection_headers;
use crate::pool::ConnectionLease;

/// The largest answer that is read whole before any of it is passed on, in bytes.
const KEPT_ANSWER_BYTES: usize = 64 * 1024;

/// Passes an answer on: whole if it is short, else as it arrives. The connection is kept after a whole answer.
///
/// # Errors
///
/// Returns why a short answer broke off.
pub async fn relay_response(response: Response<Incoming>, lease: ConnectionLease) -> Result<Response<Body>, String> {
    relay_response_with_slot(response, lease, None).await
}

/// As [`relay_response`], with a slot that is given back when the answer has ended.
///
/// # Errors
///
/// Returns why a short answer broke off.
pub async fn relay_response_with_slot(
    response: Response<Incoming>,
    lease: ConnectionLease,
    slot: Option<Slot>,
) -> Result<Response<Body>, String> {
    let (mut parts, incoming) = response.into_parts();
    let length = parts.headers.get(CONTENT_LENGTH).cloned();
    remove_connection_headers(&mut parts.headers);
    let read = match read_up_to(incoming, KEPT_ANSWER_BYTES).await {
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
            let held = Held { body: Box::pin(rest), remaining, holding: Some((lease, slot)) };
            Ok(Response::from_parts(parts, Body::streamed(held)))
        }
    }
}

/// A long answer that holds its connection and its slot until it has ended.
struct Held {
    body: Pin<Box<PartialBody>>,
    remaining: Option<u64>,
    holding: Option<(ConnectionLease, Option<Slot>)>,
}

impl Held {
    /// Takes note of what was passed on; an answer of known length ends without a further call.
    fn note(&mut self, polled: &Poll<Option<Result<Frame<Bytes>, BodyError>>>) {
        let is_over = match polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) => {
                if let Some((_, Some(slot))) = self.holding.take() {
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
        if let Some((lease, slot)) = self.holding.take() {
            lease.release();
            if let Some(slot) = slot {
                slot.complete();
            }
        }
    }
}

impl HttpBody for Held {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = this.body.as_mut().poll_frame(context);
        this.note(&polled);
        polled
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled for, so that the connection is given back.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
