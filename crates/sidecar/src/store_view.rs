//! A node's view of the platform's store: up to which position it knows the store's data, and whether it can read the
//! store. Nodes exchange their views with each call and each response.

use std::net::IpAddr;
use std::rc::Rc;

use crate::hop::StoreView;
use crate::node::Node;

/// This node's view of the store.
pub fn own_store_view(node: &Node) -> StoreView {
    let now = node.now();
    let own_reads_fail = node.store_access_lost.get();
    let store_unreachable =
        own_reads_fail || !node.position().is_known() || node.feed.store_loss.get().is_partitioned(now);
    StoreView { replica: node.replica.borrow().state(), store_unreachable }
}

/// Records the view that the node at `peer` reported.
///
/// If the peer's replica is ahead of this node's, this node's source may hang, or may have lost what a restored store
/// lacks, so the feed is notified. A peer that
/// is partitioned from the store and not listed may run beside a target whose registration has expired, so the feed
/// queries it.
pub fn record_peer_view(node: &Rc<Node>, peer: IpAddr, view: StoreView) {
    record_store_access(node, peer, view);
    if has_lost_store(view) && !node.targets.borrow().has_machine(peer) {
        node.feed.unlisted_peer.set(Some(peer));
        node.feed.unlisted_peer_reported.notify_one();
    }
    let own = node.replica.borrow().state();
    let known = node.feed.peer_ahead.get().map_or(own, |(reported, _)| own.merge(reported));
    if view.replica.is_ahead_of(known) {
        node.feed.peer_ahead.set(Some((view.replica, peer)));
        node.feed.peer_ahead_reported.notify_one();
    }
}

/// Whether a node has lost access to a store that it read before. A node that has just started also reports that it is
/// partitioned, which says nothing about its machine.
fn has_lost_store(view: StoreView) -> bool {
    view.store_unreachable && view.replica.position.is_known()
}

/// Records in the list of targets whether the machine of `peer` and this machine can read the store.
fn record_store_access(node: &Rc<Node>, peer: IpAddr, view: StoreView) {
    let now = node.now();
    let own = node.settings.local_target.ip();
    let mut targets = node.targets.borrow_mut();
    let grace_end = targets.next_grace_end();
    let had_lost_store = targets.is_reported_partitioned(peer, now);
    targets.report_store_access(peer, has_lost_store(view), now);
    if had_lost_store != has_lost_store(view) {
        node.log_failure(|| {
            format!("\"event\":\"peer-store-access\",\"peer\":\"{peer}\",\"lost\":{}", !had_lost_store)
        });
    }
    targets.report_store_access(own, has_lost_store(own_store_view(node)), now);
    if grace_end != targets.next_grace_end() {
        node.grace_changed.notify_one();
    }
}
