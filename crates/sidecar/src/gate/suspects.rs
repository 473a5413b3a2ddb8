//! Requests that crash targets, at the gate.

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestSignature, Verdict};

use super::Failure;
use crate::hop::Outcome;
use crate::node::Node;

/// Refuses a request that crashes targets.
pub(super) fn check(node: &Node, signature: &RequestSignature) -> Result<(), Failure> {
    if !node.has(Mechanism::Quarantine) {
        return Ok(());
    }
    match node.quarantine.borrow().verdict(signature, node.now()) {
        Verdict::Runs => Ok(()),
        Verdict::Refused(left) => Err(Failure {
            outcome: Outcome::Quarantined,
            why: format!("signature {}, for {} s", signature.narrow, left.as_secs()),
            retry_after: Some(left),
        }),
    }
}
