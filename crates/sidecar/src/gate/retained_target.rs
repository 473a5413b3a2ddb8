//! Polls the health check of the local target while it has no registration, to learn whether it is draining.
//!
//! A registration ends when its target drains, and also when the target's machine can't reach the store. The health
//! check shows which it is. If the target is draining, its node closes the gate to calls from nodes that still retain
//! the target.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::targets::TargetId;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::node::Node;
use crate::present_target::{self, HealthAnswer, Identity};

/// The interval between health checks: several fit in the shortest bound on drains.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The state of the local target while it has no registration.
#[derive(Default)]
pub struct RetainedTargetState {
    /// The target, if its health check says that it is draining.
    pub draining: RefCell<Option<TargetId>>,
    /// Wakes [`watch_retained_target`] when the registration of the target has ended.
    pub registration_ended: Notify,
}

/// Polls the local target whenever it is retained without a registration. Does not return.
pub async fn watch_retained_target(node: Rc<Node>) {
    loop {
        if present_target::kept(&node).is_none() {
            node.kept_target.registration_ended.notified().await;
            continue;
        }
        let HealthAnswer { identity, is_leaving } = present_target::ask_health(&node).await;
        if let Identity::Known(id) = identity {
            present_target::learn(&node, &id);
            record_health(&node, is_leaving);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Records whether the target is draining. A target that is healthy again receives calls again.
fn record_health(node: &Rc<Node>, is_leaving: bool) {
    let draining = present_target::kept(node).filter(|_| is_leaving);
    if *node.kept_target.draining.borrow() == draining {
        return;
    }
    node.log(&format!("\"event\":\"target-leaving\",\"leaving\":{is_leaving}"));
    *node.kept_target.draining.borrow_mut() = draining;
    present_target::follow_list(node);
}
