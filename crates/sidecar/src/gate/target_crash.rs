//! Detects crashes of the local target, and which calls were running then.
//!
//! A single lost connection does not show that the target has crashed: the response may be lost while the target lives.
//! So after a call has lost its connection the other running calls are checked, and if none of them is left, the target
//! is queried for its identity.

use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestSignature, TargetCrash};
use quillhatch_mesh::targets::TargetId;
use tokio::time::sleep;

use crate::local_target::{self, Identity};
use crate::logging::JsonText;
use crate::node::Node;

/// The delay after a lost connection before the other running calls are checked. All connections of a target that
/// crashes are lost at the same moment; this is some dozens of round trips on one machine.
const LOSS_SETTLE_TIME: Duration = Duration::from_millis(15);

/// Checks whether the target has crashed, after a call has lost its connection.
pub(super) fn probe_target(node: &Rc<Node>) {
    if !node.is_probing_target.replace(true) {
        tokio::task::spawn_local(probe_after_loss(Rc::clone(node)));
    }
}

async fn probe_after_loss(node: Rc<Node>) {
    sleep(LOSS_SETTLE_TIME).await;
    node.is_probing_target.set(false);
    if node.run_tracker.borrow().has_survivors() {
        node.run_tracker.borrow_mut().target_alive();
    }
    if !node.run_tracker.borrow().has_interrupted() {
        return;
    }
    match local_target::query_identity(&node).await {
        Identity::Known(id) => local_target::record_identity(&node, id),
        Identity::Refused => {
            local_target::mark_unverified(&node);
            let crash = node.run_tracker.borrow_mut().target_crashed(node.now());
            if let Some(crash) = crash {
                record_crash(&node, &crash);
            }
        }
        // Undecided until the target's identity is known again.
        Identity::Unknown => local_target::mark_unverified(&node),
    }
}

/// Handles a response of the local target that shows its identity.
pub fn target_identified(node: &Rc<Node>, id: &str) {
    let crash = node.run_tracker.borrow_mut().target_identified(id, node.now());
    if let Some(crash) = crash {
        record_crash(node, &crash);
    }
}

/// Handles a restart of the local target under the same identity `id`: the calls that lost their connections were
/// running when it ended.
pub fn target_restarted(node: &Rc<Node>, id: &TargetId) {
    let crash = node.run_tracker.borrow_mut().target_restarted(id, node.now());
    if let Some(crash) = crash {
        record_crash(node, &crash);
    }
}

/// Logs a crash of a target, and records the calls that were running as suspects in the quarantine.
fn record_crash(node: &Node, crash: &TargetCrash) {
    log_crash(node, crash);
    if node.is_enabled(Mechanism::Quarantine) {
        let suspects = node.quarantine.borrow_mut().record_crash(crash, node.now());
        node.quarantine_outbox.queue_suspects(suspects);
    }
}

/// Clears requests of this signature in the quarantine, since the target has completed one.
pub(super) fn request_completed(node: &Node, signature: &RequestSignature) {
    if !node.is_enabled(Mechanism::Quarantine) {
        return;
    }
    let cleared = node.quarantine.borrow_mut().record_completion(signature, node.now());
    for key in &cleared {
        node.log(&format!("\"event\":\"request-cleared\",\"signature\":{}", JsonText(key)));
    }
    node.quarantine_outbox.queue_cleared(cleared);
}

/// The maximum number of signatures in one log line.
const MAX_LOGGED_SIGNATURES: usize = 20;

fn log_crash(node: &Node, crash: &TargetCrash) {
    let named = crash.signatures.iter().take(MAX_LOGGED_SIGNATURES);
    let named: Vec<String> = named.map(|signature| JsonText(signature.narrow).to_string()).collect();
    let (target, count, named) = (&crash.target.id, crash.signatures.len(), named.join(","));
    node.log(&format!(
        "\"event\":\"target-ended\",\"target\":{},\"running\":{count},\"signatures\":[{named}]",
        JsonText(target)
    ));
}
