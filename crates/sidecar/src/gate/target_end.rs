//! Whether the target has ended, and under which calls.
//!
//! A call that breaks off shows nothing by itself: its answer may be lost while the target lives. So once one has broken off, the others are
//! looked at, and if none is left the target is asked.

use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::quarantine::{RequestSignature, TargetCrash};
use quillhatch_mesh::targets::TargetId;
use tokio::time::sleep;

use crate::node::Node;
use crate::present_target::{self, Identity};

/// How long the other connections of a target that has ended may take to break off. They do at the same moment; this is some dozens of
/// round trips on one machine.
const ALL_BREAK_WITHIN: Duration = Duration::from_millis(15);

/// Finds out whether the target has ended, after a call has broken off.
pub(super) fn probe(node: &Rc<Node>) {
    if !node.is_probing_target.replace(true) {
        tokio::task::spawn_local(probe_after_break(Rc::clone(node)));
    }
}

async fn probe_after_break(node: Rc<Node>) {
    sleep(ALL_BREAK_WITHIN).await;
    node.is_probing_target.set(false);
    if node.runs.borrow().has_survivors() {
        node.runs.borrow_mut().target_alive();
    }
    if !node.runs.borrow().has_interrupted() {
        return;
    }
    match present_target::ask(&node).await {
        Identity::Known(id) => present_target::learn(&node, &id),
        Identity::Refused => {
            present_target::out_of_reach(&node);
            let end = node.runs.borrow_mut().target_crashed();
            if let Some(end) = end {
                ended(&node, &end);
            }
        }
        // Decided when the target's identity is known next.
        Identity::Unknown => present_target::out_of_reach(&node),
    }
}

/// The identity of the target beside this node is known.
pub fn identified(node: &Rc<Node>, id: &str) {
    let end = node.runs.borrow_mut().target_identified(id);
    if let Some(end) = end {
        ended(node, &end);
    }
}

/// The target beside this node has started again under its identity `id`: the calls that broke off were running when it ended.
pub fn target_restarted(node: &Rc<Node>, id: &TargetId) {
    let end = node.runs.borrow_mut().target_restarted(id, node.now());
    if let Some(end) = end {
        ended(node, &end);
    }
}

fn ended(node: &Node, end: &TargetCrash) {
    log_end(node, end);
    if node.has(Mechanism::Quarantine) {
        let suspects = node.quarantine.borrow_mut().record_crash(end, node.now());
        node.quarantine_outbox.suspect(suspects);
    }
}

/// The target has answered a request of this signature.
pub(super) fn survived(node: &Node, signature: &RequestSignature) {
    if !node.has(Mechanism::Quarantine) {
        return;
    }
    let cleared = node.quarantine.borrow_mut().record_completion(signature, node.now());
    for key in &cleared {
        node.log(&format!("\"event\":\"request-cleared\",\"signature\":\"{key}\""));
    }
    node.quarantine_outbox.clear(cleared);
}

/// The most signatures that one line names.
const MOST_LOGGED: usize = 20;

fn log_end(node: &Node, end: &TargetCrash) {
    let named = end.signatures.iter().take(MOST_LOGGED);
    let named: Vec<String> = named.map(|signature| format!("\"{}\"", signature.narrow)).collect();
    let (target, count, named) = (&end.target, end.signatures.len(), named.join(","));
    node.log(&format!(
        "\"event\":\"target-ended\",\"target\":\"{target}\",\"running\":{count},\"signatures\":[{named}]"
    ));
}
