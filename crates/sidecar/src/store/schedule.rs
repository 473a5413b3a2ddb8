//! Waits until this node's next read of the platform's store is due, which [`quillhatch_mesh::feed`] decides.

use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::feed::{ReadReason, ReadSchedule, ReadScheduleInputs};
use quillhatch_mesh::mechanisms::Mechanism;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// How long a node that has just started waits for the full view from other nodes before it reads all pages itself.
const MAX_PEER_WAIT: Duration = Duration::from_millis(1200);

/// Waits until a read is due at this node, and returns why.
pub(super) async fn wait_until_due(node: &Rc<Node>) -> ReadReason {
    loop {
        let role_changed = node.feed.role_changed.notified();
        let view_changed = node.feed.view_changed.notified();
        let wait = match read_schedule(node) {
            ReadSchedule::Now(reason) => return reason,
            ReadSchedule::After(wait) => wait,
            ReadSchedule::OnChange => Duration::MAX,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = role_changed => {}
            () = view_changed => {}
            () = node.clock.resumed() => {}
        }
    }
}

/// Whether a read is due at this node now.
pub(super) fn is_due(node: &Node) -> bool {
    matches!(read_schedule(node), ReadSchedule::Now(_))
}

fn read_schedule(node: &Node) -> ReadSchedule {
    if !node.is_enabled(Mechanism::SharedReads) {
        return ReadSchedule::Now(ReadReason::Reader);
    }
    let now = node.now();
    // A read proves nothing until the operator has had the time to write again what a restored store has lost.
    let provable_in = now.until(node.rewrite_deadline.get());
    let inputs = ReadScheduleInputs {
        has_view: node.position().is_known(),
        must_probe: node.must_probe_store.get(),
        own_call_failed: node.store_access_lost.get(),
        role: &node.feed.role.borrow(),
        loss: node.feed.store_loss.get(),
        store_read_at: node.feed.store_read_at.get(),
        is_isolated: node.feed.is_isolated.get(),
        solo_reads: node.solo_reads.get(),
        proof_renewal_in: node.tenancy.freshness.borrow().renew_in(now).map(|wait| wait.max(provable_in)),
        jitter: node.jitter,
    };
    inputs.schedule(&node.settings.bounds, now)
}

/// Waits for the full view from other nodes, and returns whether it has arrived.
pub(super) async fn wait_for_peers(node: &Rc<Node>) -> bool {
    let max_wait = node.random.borrow_mut().gen_range(MAX_PEER_WAIT / 2..MAX_PEER_WAIT);
    let view_known = async {
        loop {
            let view_changed = node.feed.view_changed.notified();
            if node.position().is_known() {
                return;
            }
            view_changed.await;
        }
    };
    // Whether the wait timed out shows in the position.
    let _ = timeout(max_wait, view_known).await;
    node.position().is_known()
}
