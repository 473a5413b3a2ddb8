//! Relays responses: short ones are buffered whole, long ones are streamed.

use hyper::header::CONTENT_LENGTH;
use hyper::Response;

use crate::body::{read_up_to, Body, ReadBody};
use crate::gate::Slot;
use crate::headers::remove_hop_by_hop_headers;
use crate::peer_io::PeerBody;
use crate::pool::ConnectionLease;
use crate::stream::{RelayedCall, StreamedBody};

/// The maximum size of a response body that is buffered whole before any of it is relayed, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Relays a response: buffered if it is short, else streamed. The connection is returned to its pool after a complete
/// response, and `slot` is released when the response has ended. A stream that does not end in
/// time is aborted ([`StreamedBody`]), so that it holds neither for longer.
///
/// # Errors
///
/// Returns why a short response ended early.
pub async fn relay_response(
    response: Response<PeerBody>,
    lease: ConnectionLease,
    slot: Option<Slot>,
    call: RelayedCall,
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
            Ok(Response::from_parts(parts, Body::Relayed(StreamedBody::new(rest, lease, slot, call))))
        }
    }
}
