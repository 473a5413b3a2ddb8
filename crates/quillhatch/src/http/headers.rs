//! Rules for header fields: which are forwarded, and which only nodes may set.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::{Method, StatusCode};
use quillhatch_types::HeaderField;

/// The prefix of the fields that nodes exchange with each other and with back ends.
pub const INTERNAL_PREFIX: &str = "quillhatch-";

/// The authenticated context of an attempt; sent by an edge to a gate.
pub const CALL: HeaderName = HeaderName::from_static("quillhatch-call");
/// The opaque context that a back end copies to the calls it makes.
pub const CONTEXT: HeaderName = HeaderName::from_static("quillhatch-context");
/// The remaining time for a call, in milliseconds; callers may set it.
pub const DEADLINE: HeaderName = HeaderName::from_static("quillhatch-deadline-ms");
/// The feedback that a gate sends to an edge with an answer.
pub const FEEDBACK: HeaderName = HeaderName::from_static("quillhatch-feedback");
/// A refusal by the gate itself; sent to the edge.
pub const REFUSAL: HeaderName = HeaderName::from_static("quillhatch-refusal");
/// Why a gate does not accept the header of an attempt; sent to the edge.
pub const UNACCEPTED: HeaderName = HeaderName::from_static("quillhatch-unaccepted");
/// Whether a call ran, as far as this is known; sent to callers.
pub const OUTCOME: HeaderName = HeaderName::from_static("outcome");
/// The key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The connection-specific fields (RFC 9110, section 7.6.1), including obsolete ones that clients still send, and
/// `Expect`, which each hop answers itself.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the connection-specific fields, including those that `Connection` lists.
///
/// `Host` and `Content-Length` are retained even if listed, since removing them would change the meaning of the
/// message.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| *name != HOST && *name != CONTENT_LENGTH)
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the fields that only nodes may set.
pub fn remove_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// The size of a header as defined by RFC 9113, section 6.5.2: each field counts 32 bytes in addition to its name and
/// value.
pub fn header_size(headers: &HeaderMap) -> u64 {
    const FIELD_OVERHEAD: usize = 32;
    headers.iter().map(|(name, value)| (name.as_str().len() + value.len() + FIELD_OVERHEAD) as u64).sum()
}

/// The value of `Content-Length`, if present and valid.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// The length of a response's body, if known; zero for responses that have no body, whatever their `Content-Length`
/// (RFC 9112, section 6.3).
pub fn expected_length(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let has_no_body = *method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Some(0);
    }
    content_length(headers)
}

/// Formats a duration as whole milliseconds for a field's value.
pub fn milliseconds(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// The fields of an answer that are recorded for its replay: all with a text value, except `Content-Length`.
pub fn recordable_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| *name != CONTENT_LENGTH)
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(HeaderField { name: name.as_str().to_owned(), value })
        })
        .collect()
}

/// Appends recorded fields; invalid fields are skipped.
pub fn append_recorded_fields(headers: &mut HeaderMap, fields: &[HeaderField]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
