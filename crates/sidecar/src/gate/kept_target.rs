//! Asks the target beside this node whether it is leaving while it has no registration.
//!
//! A registration ends when its target leaves, and also when the target's machine can't get at the store. The target itself tells which, and
//! its node closes the gate for calls of nodes that still keep it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::targets::TargetId;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::local_target::{self, HealthResponse, Identity};
use crate::node::Node;

/// How often the target is asked: several times within the shortest bound on drains.
const ASKED_EACH: Duration = Duration::from_millis(300);

/// What the target beside this node tells while it has no registration.
#[derive(Default)]
pub struct KeptTargetState {
    /// The target, if it has told that it is leaving.
    pub leaving: RefCell<Option<TargetId>>,
    /// Wakes whoever asks the target once it has no registration.
    pub registration_ended: Notify,
}

/// Watches over the target until the process ends.
pub async fn watch_kept_target(node: Rc<Node>) {
    loop {
        if local_target::retained_target(&node).is_none() {
            node.retained_target.registration_ended.notified().await;
            continue;
        }
        let HealthResponse { identity, is_draining } = local_target::query_health(&node).await;
        if let Identity::Known(id) = identity {
            local_target::record_identity(&node, &id);
            note(&node, is_draining);
        }
        sleep(ASKED_EACH).await;
    }
}

/// Takes note of what the target has told. One that takes itself for well again is called again.
fn note(node: &Rc<Node>, is_leaving: bool) {
    let leaving = local_target::retained_target(node).filter(|_| is_leaving);
    if *node.retained_target.leaving.borrow() == leaving {
        return;
    }
    node.log(&format!("\"event\":\"target-leaving\",\"leaving\":{is_leaving}"));
    *node.retained_target.leaving.borrow_mut() = leaving;
    local_target::update_gate(node);
}
