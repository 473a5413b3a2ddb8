//! Takes what was learnt of the store over into the node's view.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::replica::{Change, Update, UpdateError, UpdateScope};
use quillhatch_mesh::store_reader::{may_have_expired, reregistration_timeout, REREGISTRATION_TIMEOUT};
use quillhatch_mesh::targets::{GracePeriod, TargetId};
use quillhatch_types::Timestamp;
use tokio::time::sleep;

use crate::feed;
use crate::node::Node;
use crate::present_target;

/// Takes over what the store, or another node, has told.
///
/// # Errors
///
/// Returns why nothing of it was taken.
pub fn take(node: &Rc<Node>, update: Update) -> Result<(), UpdateError> {
    let now = node.now();
    // Whoever has told this could get at the store again before this node.
    note_outage(node, node.feed.loss.get().outage_since());
    let extent = update.scope;
    let former = node.position();
    let learnt = node.replica.borrow_mut().apply(update, now)?;
    let position = node.position();
    if position == former {
        return Ok(());
    }
    if learnt.is_new_era {
        let until = now + reregistration_timeout(&node.settings.bounds);
        node.registered_again_by.set(node.registered_again_by.get().max(until));
        node.written_again_by.set(until);
        node.log(&format!("\"event\":\"store-era\",\"era\":{},\"before\":{}", position.era, former.era));
    }
    let has_changes = !learnt.changes.is_empty();
    if has_changes {
        apply(node, learnt.changes, now);
    }
    if extent == UpdateScope::Full {
        drop_unregistered(node);
    }
    if has_changes || extent == UpdateScope::Full {
        changed(node);
    }
    node.feed.advanced.notify_waiters();
    Ok(())
}

/// This node has a way to the store again, after it had none since `lost_since`, and the store was in an outage since `outage_since`, if it
/// was. Registrations may have run out meanwhile.
pub fn regained(node: &Node, lost_since: Option<Timestamp>, outage_since: Option<Timestamp>) {
    note_outage(node, outage_since);
    let Some(since) = lost_since else { return };
    let revision = node.position().revision;
    let lost_ms = node.now().since(since).as_millis();
    node.log(&format!("\"event\":\"store-reached\",\"revision\":{revision},\"lost_ms\":{lost_ms}"));
}

fn note_outage(node: &Node, outage_since: Option<Timestamp>) {
    let now = node.now();
    if outage_since.is_some_and(|since| may_have_expired(now.since(since))) {
        let until = now + REREGISTRATION_TIMEOUT;
        node.registered_again_by.set(node.registered_again_by.get().max(until));
    }
}

/// Takes over changes in the order in which they were made. What is learnt together is listed at one moment, `now`.
fn apply(node: &Rc<Node>, changes: Vec<Change>, now: Timestamp) {
    let mut gone: Vec<TargetId> = Vec::new();
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
                node.log(&format!("\"event\":\"configuration-unusable\",\"why\":{:?}", findings.join("; ")));
            }
            Change::Target(id, registration) => {
                // One answer may tell of a target's end and of its return.
                gone.retain(|former| *former != id);
                node.log(&format!(
                    "\"event\":\"target\",\"target\":\"{id}\",\"service\":\"{}\",\"address\":\"{}\",\"draining\":{}",
                    registration.service, registration.address, registration.draining
                ));
                let has_restarted = node.targets.borrow_mut().update(id.clone(), registration, now);
                if has_restarted {
                    restarted(node, &id);
                }
            }
            Change::UnusableTarget(id, why) => {
                node.log_failure(|| format!("\"event\":\"target-unusable\",\"target\":{id:?},\"why\":{why:?}"));
                gone.push(id);
            }
            Change::TargetRemoved(id) => gone.push(id),
        }
    }
    note_own_end(node, &gone);
    remove_gone(node, &gone);
    for id in &gone {
        log_gone(node, id, now);
    }
}

/// Writes whether a target whose registration is gone is kept, why and for how long.
fn log_gone(node: &Node, id: &TargetId, now: Timestamp) {
    let targets = node.targets.borrow();
    let is_kept = targets.get(id).is_some();
    let grace = targets.grace_period(id).map_or_else(String::new, |GracePeriod { until, reason }| {
        format!(",\"why\":\"{reason}\",\"kept_ms\":{}", now.until(until).as_millis())
    });
    node.log(&format!("\"event\":\"target-gone\",\"target\":{id:?},\"kept_for_now\":{is_kept}{grace}"));
}

/// A target has started again under its identity: nothing that was learnt of it before holds.
fn restarted(node: &Rc<Node>, id: &TargetId) {
    node.log(&format!("\"event\":\"target-restarted\",\"target\":\"{id}\""));
    node.balance.borrow_mut().forget(id);
    if node.present.borrow().as_ref() == Some(id) {
        present_target::restarted(node, id);
    }
}

/// A target whose registration ends without a drain may run on at a machine that can't get at the store; its node finds out.
fn note_own_end(node: &Node, gone: &[TargetId]) {
    let present = node.present.borrow();
    let Some(present) = present.as_ref().filter(|present| gone.contains(present)) else { return };
    let is_draining = node.targets.borrow().get(present).is_some_and(|target| target.registration.draining);
    if !is_draining {
        node.must_probe_store.set(true);
        node.feed.place_changed.notify_waiters();
    }
}

/// Takes targets off the list whose registrations are gone. Those that may have lapsed while the store was away are waited
/// for.
fn remove_gone(node: &Node, gone: &[TargetId]) {
    let (now, until) = (node.now(), node.registered_again_by.get());
    let mut targets = node.targets.borrow_mut();
    if !node.has(Mechanism::KeptTargets) {
        gone.iter().for_each(|id| targets.remove(id));
    } else if until > now {
        targets.remove_after_outage(gone, until, now);
    } else {
        targets.remove_missing(gone, node.settings.bounds.max_grace(), now);
    }
    drop(targets);
    node.grace_changed.notify_one();
}

/// Everything was told: listed targets that have no registration, since other nodes told of them, are gone too.
fn drop_unregistered(node: &Node) {
    let registered: HashSet<TargetId> = node.replica.borrow().ids().cloned().collect();
    let missing = node.targets.borrow().missing_from(&registered);
    remove_gone(node, &missing);
    node.targets.borrow_mut().forget_superseded(&registered);
    node.log(&format!(
        "\"event\":\"store-read\",\"revision\":{},\"version\":{},\"targets\":{},\"missing\":{}",
        node.position().revision,
        node.configuration.borrow().version(),
        registered.len(),
        missing.len()
    ));
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
        let over = node.targets.borrow().expired(now);
        for id in &over {
            node.log(&format!("\"event\":\"target-dropped\",\"target\":{id:?}"));
        }
        if node.targets.borrow_mut().drop_expired(now) {
            changed(&node);
        }
    }
}

/// Lets the gate, the balance and the node's place among the others follow the list of targets.
pub fn changed(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    node.balance.borrow_mut().retain(|id| targets.get(id).is_some());
    let configuration = node.current_configuration();
    // An entry that names an unknown service may have come from anyone.
    let is_known = |service: &str| configuration.as_ref().is_none_or(|current| current.services.contains_key(service));
    feed::place_among(node, targets.iter().filter(|target| is_known(&target.registration.service)));
    drop(targets);
    node.count_machines();
    present_target::follow_list(node);
}
