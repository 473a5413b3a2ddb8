//! Detects that the local target has ended, and which calls were running then.
//!
//! A single lost connection does not show that the target has ended: the response may be lost while the target lives.
//! So after a call has lost its connection the other running calls are checked, and if none of them is left, the target
//! is asked for its identity.

use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestSignature, TargetEnd};
use quillhatch_mesh::targets::TargetId;
use tokio::time::sleep;

use crate::node::Node;
use crate::present_target::{self, Identity};

/// The delay after a lost connection before the other running calls are checked. All connections of a target that ends
/// are lost at the same moment; this is some dozens of round trips on one machine.
const LOSS_SETTLE_TIME: Duration = Duration::from_millis(15);

/// Checks whether the target has ended, after a call has lost its connection.
pub(super) fn probe_target(node: &Rc<Node>) {
    if !node.is_probing_target.replace(true) {
        tokio::task::spawn_local(probe_after_loss(Rc::clone(node)));
    }
}

async fn probe_after_loss(node: Rc<Node>) {
    sleep(LOSS_SETTLE_TIME).await;
    node.is_probing_target.set(false);
    if node.runs.borrow().has_survivors() {
        node.runs.borrow_mut().target_lives();
    }
    if !node.runs.borrow().has_lost() {
        return;
    }
    match present_target::ask(&node).await {
        Identity::Known(id) => present_target::learn(&node, &id),
        Identity::Refused => {
            present_target::out_of_reach(&node);
            let end = node.runs.borrow_mut().target_ended();
            if let Some(end) = end {
                target_ended(&node, &end);
            }
        }
        // Undecided until the target's identity is known again.
        Identity::Unknown => present_target::out_of_reach(&node),
    }
}

/// Handles a response of the local target that shows its identity.
pub fn target_identified(node: &Rc<Node>, id: &str) {
    let end = node.runs.borrow_mut().identified(id);
    if let Some(end) = end {
        target_ended(node, &end);
    }
}

/// Handles a restart of the local target under the same identity `id`: the calls that lost their connections were
/// running when it ended.
pub fn target_restarted(node: &Rc<Node>, id: &TargetId) {
    let end = node.runs.borrow_mut().restarted(id, node.now());
    if let Some(end) = end {
        target_ended(node, &end);
    }
}

/// Logs the end of a target and makes the calls that were running suspects of the quarantine.
fn target_ended(node: &Node, end: &TargetEnd) {
    log_end(node, end);
    if node.has(Mechanism::Quarantine) {
        let suspects = node.quarantine.borrow_mut().target_ended(end, node.now());
        node.quarantine_outbox.suspect(suspects);
    }
}

/// Clears requests of this signature in the quarantine, since the target has answered one.
pub(super) fn request_completed(node: &Node, signature: &RequestSignature) {
    if !node.has(Mechanism::Quarantine) {
        return;
    }
    let cleared = node.quarantine.borrow_mut().completed(signature, node.now());
    for key in &cleared {
        node.log(&format!("\"event\":\"request-cleared\",\"signature\":\"{key}\""));
    }
    node.quarantine_outbox.clear(cleared);
}

/// The maximum number of signatures in one log line.
const MAX_LOGGED_SIGNATURES: usize = 20;

fn log_end(node: &Node, end: &TargetEnd) {
    let named = end.signatures.iter().take(MAX_LOGGED_SIGNATURES);
    let named: Vec<String> = named.map(|signature| format!("\"{}\"", signature.narrow)).collect();
    let (target, count, named) = (&end.target, end.signatures.len(), named.join(","));
    node.log(&format!(
        "\"event\":\"target-ended\",\"target\":\"{target}\",\"running\":{count},\"signatures\":[{named}]"
    ));
}
