//! Requests that crash targets, at the gate: refused, or let in one at a time.

use std::rc::Rc;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestSignature, Verdict};
use quillhatch_types::Timestamp;
use tokio::sync::MutexGuard;

use super::Failure;
use crate::hop::Outcome;
use crate::node::Node;

/// Lets a request in unless it crashes targets. One that may do so waits until no other such request is at the target; what is returned is
/// held until its run is over.
pub(super) async fn let_in<'a>(
    node: &'a Rc<Node>,
    signature: &RequestSignature,
    deadline: Timestamp,
) -> Result<Option<MutexGuard<'a, ()>>, Failure> {
    if !node.has(Mechanism::Quarantine) || !runs_alone(node, signature)? {
        return Ok(None);
    }
    let wait = node.clock.timeout_at(deadline, node.suspect_turn.lock()).await;
    let Ok(turn) = wait else {
        return Err(Failure::new(Outcome::Full, "another request that may crash the target runs"));
    };
    // The one before it may have shown more.
    runs_alone(node, signature)?;
    Ok(Some(turn))
}

fn runs_alone(node: &Node, signature: &RequestSignature) -> Result<bool, Failure> {
    match node.quarantine.borrow().verdict(signature, node.now()) {
        Verdict::Runs => Ok(false),
        Verdict::RunsAlone => Ok(true),
        Verdict::Refused(left) => Err(Failure {
            outcome: Outcome::Quarantined,
            why: format!("signature {}, for {} s", signature.narrow, left.as_secs()),
            retry_after: Some(left),
        }),
    }
}
