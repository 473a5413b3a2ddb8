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

use crate::local_target::{self, HealthResponse, Identity};
use crate::node::Node;

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
        if local_target::retained_target(&node).is_none() {
            node.retained_target.registration_ended.notified().await;
            continue;
        }
        let HealthResponse { identity, is_draining } = local_target::query_health(&node).await;
        if let Identity::Known(id) = identity {
            local_target::record_identity(&node, id);
            record_health(&node, is_draining);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Records whether the target is draining. A target that is healthy again receives calls again.
fn record_health(node: &Rc<Node>, is_draining: bool) {
    let draining = local_target::retained_target(node).filter(|_| is_draining);
    if *node.retained_target.draining.borrow() == draining {
        return;
    }
    node.log(&format!("\"event\":\"target-leaving\",\"leaving\":{is_draining}"));
    *node.retained_target.draining.borrow_mut() = draining;
    local_target::update_gate(node);
}
