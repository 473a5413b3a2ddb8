//! Requests that crash targets, at the gate.

use hyper::http::request::Parts;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestParts, RequestSignature, Verdict};
use quillhatch_platform::headers;

use super::Failure;
use crate::body::Body;
use crate::headers::text;
use crate::hop::GateOutcome;
use crate::node::Node;

/// Refuses a request that crashes targets.
pub(super) fn check(node: &Node, signature: &RequestSignature) -> Result<(), Failure> {
    if !node.has(Mechanism::Quarantine) {
        return Ok(());
    }
    match node.quarantine.borrow().verdict(signature, node.now()) {
        Verdict::Runs => Ok(()),
        Verdict::Refused(left) => Err(Failure {
            outcome: GateOutcome::Quarantined,
            why: format!("signature {}, for {} s", signature.narrow, left.as_secs()),
            retry_after: Some(left),
        }),
    }
}

/// What a request asks for. Of a body that is too long to be held, only the beginning is known, which does not count.
pub(super) fn signature_of(parts: &Parts, body: &Body) -> RequestSignature {
    let header = |name| text(&parts.headers, name).unwrap_or_default();
    let body = match body {
        Body::Buffered(bytes) => bytes,
        Body::Streamed(_) => [].as_slice(),
    };
    RequestSignature::of(&RequestParts {
        method: parts.method.as_str(),
        host: header("host"),
        path: parts.uri.path(),
        query: parts.uri.query().unwrap_or_default(),
        body,
        tenant: header(headers::TENANT),
        caller: header(headers::CALLER_SERVICE),
    })
}
