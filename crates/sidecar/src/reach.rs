//! How far a node's view of the platform's store reaches, and whether it can get at the store: told with each call and each answer.

use std::net::IpAddr;
use std::rc::Rc;

use crate::hop::StoreView;
use crate::node::Node;

/// How far this node's view reaches.
pub fn own_reach(node: &Node) -> StoreView {
    let now = node.now();
    let is_turned_away = node.own_access_lost.get();
    let is_cut_off = is_turned_away || !node.position().is_known() || node.feed.loss.get().is_partitioned(now);
    StoreView { position: node.position(), store_unreachable: is_cut_off }
}

/// Takes how far the view of the node at `peer` reaches.
///
/// If it reaches further than this node's own, the own source may hang, and the feed is told. A node that is cut off and not listed may stand
/// beside a target whose registration has run out; it is asked.
pub fn heard(node: &Rc<Node>, peer: IpAddr, reach: StoreView) {
    note_cuts(node, peer, reach);
    if has_lost_the_store(reach) && !node.targets.borrow().has_machine(peer) {
        node.feed.unlisted.set(Some(peer));
        node.feed.unlisted_told.notify_one();
    }
    let known = node.feed.heard.get().map_or(node.position(), |(heard, _)| heard.max(node.position()));
    if reach.position > known {
        node.feed.heard.set(Some((reach.position, peer)));
        node.feed.later_change.notify_one();
    }
}

/// Whether a node is cut off from the store that it has read before. One that has just started says that it is cut off too,
/// which tells nothing of its machine.
fn has_lost_the_store(reach: StoreView) -> bool {
    reach.store_unreachable && reach.position.is_known()
}

/// Lets the list of targets know which machines can't read the store, this one too.
fn note_cuts(node: &Rc<Node>, peer: IpAddr, reach: StoreView) {
    let now = node.now();
    let own = node.settings.local_target.ip();
    let mut targets = node.targets.borrow_mut();
    let grace_end = targets.next_grace_end();
    let was_cut_off = targets.is_reported_partitioned(peer, now);
    targets.report_store_access(peer, has_lost_the_store(reach), now);
    if was_cut_off != has_lost_the_store(reach) {
        node.log_failure(|| format!("\"event\":\"peer-store-access\",\"peer\":\"{peer}\",\"lost\":{}", !was_cut_off));
    }
    targets.report_store_access(own, has_lost_the_store(own_reach(node)), now);
    if grace_end != targets.next_grace_end() {
        node.grace_changed.notify_one();
    }
}
