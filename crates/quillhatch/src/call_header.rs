//! The authenticated header with which an edge sends an attempt's context to a gate.
//!
//! The value is `1.<key number>.<incarnation>.<context>.<tag>`, with the last two parts in base64url. The tag covers
//! the receiver's address and incarnation, the method and path of the request and the context, so that the header of
//! one request can't be used for another request or at another gate.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use derive_more::{Display, Error};
use hyper::header::HeaderValue;
use quillhatch_calls::wire;
use quillhatch_messages::{FleetKeys, KeyId};
use quillhatch_types::{CallContext, Feedback, Incarnation, NodeId};

#[cfg(test)]
mod tests;

/// The version of the header's format.
const VERSION: &str = "1";

/// The maximum length of an accepted header value, in bytes.
const MAX_HEADER_BYTES: usize = 4 * 1024;

/// Why a gate does not accept the header of an attempt.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallHeaderError {
    /// The header is absent.
    #[display("the header is absent")]
    Absent,
    /// The header is too long or has an invalid format.
    #[display("the header is malformed")]
    Malformed,
    /// The tag was created with a key that this node does not accept.
    #[display("the fleet key is not accepted")]
    UnknownKey,
    /// The tag does not match: the sender does not have the key, or the header was made for another request or gate.
    #[display("the authentication tag does not match")]
    WrongTag,
    /// The header is for another incarnation of this node.
    #[display("the header is for another run of this node")]
    WrongRun,
}

impl CallHeaderError {
    /// All errors.
    pub const ALL: [Self; 5] = [Self::Absent, Self::Malformed, Self::UnknownKey, Self::WrongTag, Self::WrongRun];

    /// The code of the error that nodes exchange and metrics use.
    pub fn code(self) -> &'static str {
        match self {
            CallHeaderError::Absent => "absent",
            CallHeaderError::Malformed => "malformed",
            CallHeaderError::UnknownKey => "unknown-key",
            CallHeaderError::WrongTag => "wrong-tag",
            CallHeaderError::WrongRun => "wrong-run",
        }
    }
}

/// The data that the tag covers in addition to the context.
#[derive(Clone, Copy, Debug)]
pub struct SignedRequest<'a> {
    /// The gate's node; incarnation zero addresses any incarnation.
    pub receiver: NodeId,
    /// The method of the request.
    pub method: &'a str,
    /// The path and query of the request.
    pub path: &'a str,
}

impl SignedRequest<'_> {
    fn signed_bytes(&self, context: &[u8]) -> Vec<u8> {
        let head = format!(
            "quillhatch-call/{VERSION}\n{}\n{}\n{}\n{}\n",
            self.receiver.address, self.receiver.incarnation, self.method, self.path
        );
        [head.as_bytes(), context].concat()
    }
}

/// Creates the signed header value for an attempt with `context`; `None` if it is not a valid header value.
pub fn sign_context(keys: &FleetKeys, request: SignedRequest<'_>, context: &CallContext) -> Option<HeaderValue> {
    let context = wire::encode_context(context);
    let tag = keys.sign(&request.signed_bytes(&context));
    let text = format!(
        "{VERSION}.{}.{}.{}.{}",
        keys.sending_key_id(),
        request.receiver.incarnation,
        URL_SAFE_NO_PAD.encode(context),
        URL_SAFE_NO_PAD.encode(tag)
    );
    HeaderValue::from_str(&text).ok()
}

/// Verifies the header value of an attempt received by `request.receiver` and returns its context.
///
/// # Errors
///
/// Returns why the header is not accepted.
pub fn verify_context(
    keys: &FleetKeys,
    request: SignedRequest<'_>,
    value: Option<&HeaderValue>,
) -> Result<CallContext, CallHeaderError> {
    let value = value.ok_or(CallHeaderError::Absent)?;
    if value.len() > MAX_HEADER_BYTES {
        return Err(CallHeaderError::Malformed);
    }
    let parts = HeaderParts::parse(value).ok_or(CallHeaderError::Malformed)?;
    let addressed = NodeId { incarnation: parts.incarnation, ..request.receiver };
    let signed = SignedRequest { receiver: addressed, ..request }.signed_bytes(&parts.context);
    match keys.verify(parts.key, &signed, &parts.tag) {
        None => return Err(CallHeaderError::UnknownKey),
        Some(false) => return Err(CallHeaderError::WrongTag),
        Some(true) => {}
    }
    let any_incarnation = parts.incarnation == Incarnation(0);
    if !any_incarnation && parts.incarnation != request.receiver.incarnation {
        return Err(CallHeaderError::WrongRun);
    }
    wire::decode_context(&parts.context).map_err(|_| CallHeaderError::Malformed)
}

struct HeaderParts {
    key: KeyId,
    incarnation: Incarnation,
    context: Vec<u8>,
    tag: Vec<u8>,
}

impl HeaderParts {
    fn parse(value: &HeaderValue) -> Option<Self> {
        let mut words = value.to_str().ok()?.split('.');
        let mut next = || words.next();
        if next()? != VERSION {
            return None;
        }
        let key = KeyId(next()?.parse().ok()?);
        let incarnation = Incarnation(u64::from_str_radix(next()?, 16).ok()?);
        let context = URL_SAFE_NO_PAD.decode(next()?).ok()?;
        let tag = URL_SAFE_NO_PAD.decode(next()?).ok()?;
        next().is_none().then_some(HeaderParts { key, incarnation, context, tag })
    }
}

/// Creates the value of the header with which a gate sends `feedback`.
pub fn encode_feedback(feedback: &Feedback) -> Option<HeaderValue> {
    HeaderValue::from_str(&URL_SAFE_NO_PAD.encode(wire::encode_feedback(feedback))).ok()
}

/// Reads the feedback from a header value; `None` if it is invalid.
pub fn decode_feedback(value: &HeaderValue) -> Option<Feedback> {
    if value.len() > MAX_HEADER_BYTES {
        return None;
    }
    let bytes = URL_SAFE_NO_PAD.decode(value.as_bytes()).ok()?;
    wire::decode_feedback(&bytes).ok()
}
