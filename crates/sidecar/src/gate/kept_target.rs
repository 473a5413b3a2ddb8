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

use crate::node::Node;
use crate::present_target::{self, HealthAnswer, Identity};

/// How often the target is asked: several times within the shortest bound on drains.
const ASKED_EACH: Duration = Duration::from_millis(300);

/// What the target beside this node tells while it has no registration.
#[derive(Default)]
pub struct RetainedTargetState {
    /// The target, if it has told that it is leaving.
    pub draining: RefCell<Option<TargetId>>,
    /// Wakes whoever asks the target once it has no registration.
    pub registration_ended: Notify,
}

/// Watches over the target until the process ends.
pub async fn watch_retained_target(node: Rc<Node>) {
    loop {
        if present_target::kept(&node).is_none() {
            node.kept_target.registration_ended.notified().await;
            continue;
        }
        let HealthAnswer { identity, is_leaving } = present_target::ask_health(&node).await;
        if let Identity::Known(id) = identity {
            present_target::learn(&node, &id);
            note(&node, is_leaving);
        }
        sleep(ASKED_EACH).await;
    }
}

/// Takes note of what the target has told. One that takes itself for well again is called again.
fn note(node: &Rc<Node>, is_leaving: bool) {
    let leaving = present_target::kept(node).filter(|_| is_leaving);
    if *node.kept_target.draining.borrow() == leaving {
        return;
    }
    node.log(&format!("\"event\":\"target-leaving\",\"leaving\":{is_leaving}"));
    *node.kept_target.draining.borrow_mut() = leaving;
    present_target::follow_list(node);
}
