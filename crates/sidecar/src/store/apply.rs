//! Takes what was read of the store over into the node's view.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::store_reader::{may_have_lapsed, REGISTERED_AGAIN_WITHIN};
use quillhatch_platform::store::Change;
use quillhatch_types::Timestamp;
use tokio::time::sleep;

use crate::node::Node;
use crate::present_target;

/// The store was read, and the view stands at `revision`.
pub(super) fn reached(node: &Node, revision: u64) {
    node.revision.set(revision);
    node.store_reader.borrow_mut().reached(revision);
    let Some(since) = node.store_lost.take() else { return };
    let now = node.now();
    let outage = now.since(since);
    if may_have_lapsed(outage) {
        node.registered_again_by.set(now + REGISTERED_AGAIN_WITHIN);
    }
    node.log(&format!("\"event\":\"store-reached\",\"revision\":{revision},\"lost_ms\":{}", outage.as_millis()));
}

/// Takes over changes in the order in which the store tells them. What is read together is listed at one moment, `now`.
pub(super) fn apply(node: &Node, changes: Vec<Change>, now: Timestamp) {
    // One answer may tell of a target and of its end: its last word counts.
    let mut gone: Vec<Arc<str>> = Vec::new();
    for change in &changes {
        match change {
            Change::Target(id, _) => gone.retain(|former| former != id),
            Change::TargetGone(id) => gone.push(id.clone()),
            _ => {}
        }
    }
    for change in changes {
        match change {
            Change::Configuration(offered) => {
                let version = offered.version;
                let taken = node.configuration.borrow_mut().offer(offered);
                node.tenancy.later_is_unusable.set(false);
                node.log(&format!("\"event\":\"configuration\",\"version\":{version},\"taken\":{taken}"));
            }
            Change::UnusableConfiguration(findings) => {
                node.tenancy.later_is_unusable.set(true);
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                node.log(&format!("\"event\":\"configuration-unusable\",\"why\":{:?}", findings.join("; ")));
            }
            Change::Target(id, registration) => {
                node.log(&format!(
                    "\"event\":\"target\",\"target\":\"{id}\",\"service\":\"{}\",\"address\":\"{}\",\"draining\":{}",
                    registration.service, registration.address, registration.draining
                ));
                node.targets.borrow_mut().update(id, registration, now);
            }
            Change::UnusableTarget(id) => node.log(&format!("\"event\":\"target-unusable\",\"target\":\"{id}\"")),
            Change::TargetGone(_) => {}
        }
    }
    remove_gone(node, &gone);
    for id in gone {
        let kept = node.targets.borrow().get(&id).is_some();
        node.log(&format!("\"event\":\"target-gone\",\"target\":\"{id}\",\"kept_for_now\":{kept}"));
    }
}

/// Takes targets off the list whose registrations are gone. Those that may have lapsed while the store was away are waited
/// for.
pub(super) fn remove_gone(node: &Node, gone: &[Arc<str>]) {
    let (now, until) = (node.now(), node.registered_again_by.get());
    let mut targets = node.targets.borrow_mut();
    if !node.has(Mechanism::KeptTargets) {
        gone.iter().for_each(|id| targets.remove(id));
    } else if until > now {
        targets.remove_after_outage(gone, until, now);
    } else {
        targets.remove_reported(gone, node.settings.bounds.longest_grace(), now);
    }
    drop(targets);
    node.grace_changed.notify_one();
}

/// Removes targets when their grace periods are over.
pub async fn drop_expired(node: Rc<Node>) {
    loop {
        let next = node.targets.borrow().next_grace_end();
        match next {
            None => node.grace_changed.notified().await,
            Some(until) => {
                let wait = node.now().until(until) + Duration::from_millis(1);
                tokio::select! {
                    () = sleep(wait) => {}
                    () = node.grace_changed.notified() => {}
                }
            }
        }
        let now = node.now();
        let dropped = node.targets.borrow_mut().drop_expired(now);
        if dropped {
            changed(&node);
        }
    }
}

/// Lets the gate and the balance follow the list of targets.
pub(super) fn changed(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    node.balance.borrow_mut().retain(|id| targets.get(id).is_some());
    drop(targets);
    node.count_machines();
    present_target::follow_list(node);
}
