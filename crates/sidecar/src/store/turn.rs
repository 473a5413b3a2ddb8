//! Waits until it is this node's turn to read the platform's store; decided in [`quillhatch_mesh::feed`].

use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::feed::{ReadReason, ReadSchedule, ReadScheduleInputs};
use quillhatch_mesh::mechanisms::Mechanism;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// How long a node that has just started waits for others to tell everything, before it reads all pages itself.
const OTHERS_WITHIN: Duration = Duration::from_millis(1200);

/// Waits until it is this node's turn.
pub(super) async fn wait_for_turn(node: &Rc<Node>) -> ReadReason {
    loop {
        let place_changed = node.feed.place_changed.notified();
        let advanced = node.feed.advanced.notified();
        let wait = match next_turn(node) {
            ReadSchedule::Now(turn) => return turn,
            ReadSchedule::After(wait) => wait,
            ReadSchedule::OnChange => Duration::MAX,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = place_changed => {}
            () = advanced => {}
            () = node.clock.woken() => {}
        }
    }
}

/// Whether it is this node's turn now.
pub(super) fn is_due(node: &Node) -> bool {
    matches!(next_turn(node), ReadSchedule::Now(_))
}

fn next_turn(node: &Node) -> ReadSchedule {
    if !node.has(Mechanism::SharedReads) {
        return ReadSchedule::Now(ReadReason::Reader);
    }
    let now = node.now();
    let inputs = ReadScheduleInputs {
        has_view: node.position().is_known(),
        must_probe: node.must_probe_store.get(),
        own_call_failed: node.own_access_lost.get(),
        role: &node.feed.place.borrow(),
        loss: node.feed.loss.get(),
        store_read_at: node.feed.read_at.get(),
        is_isolated: node.feed.is_isolated.get(),
        solo_reads: node.lone_readings.get(),
        proof_renewal_in: node.tenancy.freshness.borrow().renew_in(now),
        jitter: node.draw,
    };
    inputs.schedule(&node.settings.bounds, now)
}

/// Waits for other nodes to tell everything; says whether they have.
pub(super) async fn others_answer(node: &Rc<Node>) -> bool {
    let longest = node.random.borrow_mut().gen_range(OTHERS_WITHIN / 2..OTHERS_WITHIN);
    let known = async {
        loop {
            let advanced = node.feed.advanced.notified();
            if node.position().is_known() {
                return;
            }
            advanced.await;
        }
    };
    // Over the time nobody has answered, and the position shows it.
    let _ = timeout(longest, known).await;
    node.position().is_known()
}
