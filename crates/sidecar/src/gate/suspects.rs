//! The quarantine check at the gate, for requests that crash targets.

use hyper::http::request::Parts;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestParts, RequestSignature, RunVerdict};
use quillhatch_platform::headers;

use super::Failure;
use crate::body::Body;
use crate::headers::header_text;
use crate::hop::GateOutcome;
use crate::node::Node;

/// Refuses a request whose signature is quarantined because requests like it crash targets.
pub(super) fn check_quarantine(node: &Node, signature: &RequestSignature) -> Result<(), Failure> {
    if !node.is_enabled(Mechanism::Quarantine) {
        return Ok(());
    }
    match node.quarantine.borrow().verdict(signature, node.now()) {
        RunVerdict::Runs => Ok(()),
        RunVerdict::Refused(retry_after) => Err(Failure {
            outcome: GateOutcome::Quarantined,
            why: format!("signature {}, for {} s", signature.narrow, retry_after.as_secs()),
            retry_after: Some(retry_after),
        }),
    }
}

/// The signature of a request. A body that is too long to be buffered does not count: only its beginning is known.
pub(super) fn signature_of(parts: &Parts, body: &Body) -> RequestSignature {
    let header = |name| header_text(&parts.headers, name).unwrap_or_default();
    let body = match body {
        Body::Buffered(bytes) => bytes,
        Body::Streamed(_) | Body::Relayed(_) => [].as_slice(),
    };
    RequestSignature::of(&RequestParts {
        method: parts.method.as_str(),
        host: header("host"),
        path: parts.uri.path(),
        query: parts.uri.query().unwrap_or_default(),
        body,
        tenant: header(headers::TENANT),
        caller_service: header(headers::CALLER_SERVICE),
    })
}
