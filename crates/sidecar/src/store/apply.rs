//! Applies updates from the store, or from other nodes, to the node's state.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::Configuration;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::replica::{Change, RevisedChange, Update, UpdateError, UpdateScope};
use quillhatch_mesh::store_reader::{may_have_expired, reregistration_timeout_after_restore, REREGISTRATION_TIMEOUT};
use quillhatch_mesh::targets::{GracePeriod, TargetId, TargetProcess};
use quillhatch_types::Timestamp;
use tokio::time::sleep;

use crate::feed;
use crate::local_target;
use crate::logging::JsonText;
use crate::node::Node;

/// Applies an update from the store or from another node.
///
/// # Errors
///
/// Returns why the update was rejected as a whole.
pub fn apply_update(node: &Rc<Node>, update: Update) -> Result<(), UpdateError> {
    let now = node.now();
    // The sender of this update may have reached the store again before this node did.
    extend_reregistration_deadline(node, node.feed.store_loss.get().outage_since());
    let scope = update.scope;
    let previous = node.position();
    let result = node.replica.borrow_mut().apply(update, now)?;
    let position = node.position();
    if position == previous {
        return Ok(());
    }
    if result.is_new_era {
        let until = now + reregistration_timeout_after_restore(&node.settings.bounds);
        node.reregistration_deadline.set(node.reregistration_deadline.get().max(until));
        node.rewrite_deadline.set(until);
        node.log(&format!("\"event\":\"store-era\",\"era\":{},\"before\":{}", position.era, previous.era));
    }
    let has_changes = !result.changes.is_empty();
    if has_changes {
        apply_changes(node, result.changes, now);
    }
    if scope == UpdateScope::Full {
        remove_unregistered(node);
    }
    if has_changes || scope == UpdateScope::Full {
        on_targets_changed(node);
    }
    node.feed.view_changed.notify_waiters();
    Ok(())
}

/// Takes a configuration that another node holds if it is newer than this node's, whatever the positions of the two.
pub fn take_configuration(node: &Rc<Node>, offered: Arc<Configuration>) {
    let is_newer = node.replica.borrow_mut().take_configuration(&offered);
    if !is_newer {
        return;
    }
    apply_changes(node, vec![Change::Configuration(offered)], node.now());
    on_targets_changed(node);
    node.feed.view_changed.notify_waiters();
}

/// Lists the targets of an incomplete list, which is no update of the replica, and takes its configuration. Targets that
/// it lacks are removed.
pub(super) fn apply_partial_list(node: &Rc<Node>, revised: Vec<RevisedChange>) {
    let now = node.now();
    let mut listed = HashSet::new();
    let mut changes = Vec::new();
    for RevisedChange { change, .. } in revised {
        if let Change::Target(id, registration) = &change {
            listed.insert(id.clone());
            if node.targets.borrow().get(id).is_some_and(|known| known.registration.has_same_content(registration)) {
                continue;
            }
        }
        changes.push(change);
    }
    apply_changes(node, changes, now);
    let missing = node.targets.borrow().missing_from(&listed);
    remove_gone(node, &missing);
    node.log_failure(|| {
        format!("\"event\":\"store-read-partly\",\"targets\":{},\"missing\":{}", listed.len(), missing.len())
    });
}

/// Records that this node has access to the store again, after it had none since `lost_since`. If the store was in an
/// outage since `outage_since`, registrations may have expired meanwhile.
pub fn on_access_regained(node: &Node, lost_since: Option<Timestamp>, outage_since: Option<Timestamp>) {
    extend_reregistration_deadline(node, outage_since);
    let Some(since) = lost_since else { return };
    let revision = node.position().revision;
    let lost_ms = node.now().since(since).as_millis();
    node.log(&format!("\"event\":\"store-reached\",\"revision\":{revision},\"lost_ms\":{lost_ms}"));
}

/// Gives targets time to register again if their registrations may have expired in the outage.
fn extend_reregistration_deadline(node: &Node, outage_since: Option<Timestamp>) {
    let now = node.now();
    if outage_since.is_some_and(|since| may_have_expired(now.since(since))) {
        let until = now + REREGISTRATION_TIMEOUT;
        node.reregistration_deadline.set(node.reregistration_deadline.get().max(until));
        node.targets.borrow_mut().extend_outage_grace(until);
    }
}

/// Applies changes in the order in which they were made. All targets of one update get the same listing time, `now`.
fn apply_changes(node: &Rc<Node>, changes: Vec<Change>, now: Timestamp) {
    let mut gone: Vec<TargetId> = Vec::new();
    for change in changes {
        match change {
            Change::Configuration(offered) => {
                let version = offered.version;
                let is_accepted = node.configuration.borrow_mut().offer(offered);
                node.tenancy.newer_is_unusable.set(false);
                node.log(&format!("\"event\":\"configuration\",\"version\":{version},\"taken\":{is_accepted}"));
            }
            Change::UnusableConfiguration(findings) => {
                node.tenancy.newer_is_unusable.set(true);
                node.log(&format!("\"event\":\"configuration-unusable\",\"why\":{}", JsonText(findings.join("; "))));
            }
            Change::Target(id, registration) => {
                // One response may contain the removal of a target and then its registration.
                gone.retain(|removed| *removed != id);
                node.log(&format!(
                    "\"event\":\"target\",\"target\":{},\"service\":{},\"address\":\"{}\",\"draining\":{},\"started\":{}",
                    JsonText(&id), JsonText(&registration.service), registration.address, registration.draining, registration.started
                ));
                let before = node.targets.borrow().process(&id);
                let has_restarted = node.targets.borrow_mut().update(id, registration, now);
                if has_restarted {
                    handle_restart(node, &before);
                }
            }
            Change::UnusableTarget(id, why) => {
                node.log_failure(|| {
                    format!("\"event\":\"target-unusable\",\"target\":{},\"why\":{}", JsonText(&id), JsonText(&why))
                });
                gone.push(id);
            }
            Change::TargetRemoved(id) => gone.push(id),
        }
    }
    probe_if_local_target_gone(node, &gone);
    remove_gone(node, &gone);
    for id in &gone {
        log_gone(node, id, now);
    }
}

/// Logs whether a target without a registration is retained, why and for how long.
fn log_gone(node: &Node, id: &TargetId, now: Timestamp) {
    let targets = node.targets.borrow();
    let is_retained = targets.get(id).is_some();
    let grace = targets.grace_period(id).map_or_else(String::new, |GracePeriod { until, reason }| {
        format!(",\"why\":\"{reason}\",\"kept_ms\":{}", now.until(until).as_millis())
    });
    node.log(&format!("\"event\":\"target-gone\",\"target\":{},\"kept_for_now\":{is_retained}{grace}", JsonText(id)));
}

/// Handles a restart of a target under the same identity: everything measured before is discarded.
fn handle_restart(node: &Rc<Node>, before: &TargetProcess) {
    let TargetProcess { id, started: previous } = before;
    let started = node.targets.borrow().process(id).started;
    let is_draining = node.targets.borrow().is_draining(id);
    node.log(&format!(
        "\"event\":\"target-restarted\",\"target\":{},\"started\":{started},\"before\":{previous},\"draining\":{is_draining}",
        JsonText(id)
    ));
    node.load_balancer.borrow_mut().reset_target(id, started);
    if node.local_target_id.borrow().as_ref() == Some(id) {
        local_target::handle_restart(node, id, started);
    }
}

/// Makes this node probe the store if the local target's registration ended without a drain. The target may still run,
/// on a machine that can't reach the store.
fn probe_if_local_target_gone(node: &Node, gone: &[TargetId]) {
    let local_id = node.local_target_id.borrow();
    let Some(local_id) = local_id.as_ref().filter(|id| gone.contains(id)) else { return };
    let is_draining = node.targets.borrow().is_draining(local_id);
    if !is_draining {
        node.must_probe_store.set(true);
        node.feed.role_changed.notify_waiters();
    }
}

/// Removes targets whose registrations are gone from the list. Those whose registrations may have expired during an
/// outage of the store are retained until they may have registered again.
fn remove_gone(node: &Node, gone: &[TargetId]) {
    let (now, until) = (node.now(), node.reregistration_deadline.get());
    let mut targets = node.targets.borrow_mut();
    if !node.is_enabled(Mechanism::RetainedTargets) {
        gone.iter().for_each(|id| targets.remove(id));
    } else if until > now {
        targets.remove_after_outage(gone, until, now);
    } else {
        targets.remove_missing(gone, node.settings.bounds.max_grace(), now);
    }
    drop(targets);
    node.grace_changed.notify_one();
}

/// Removes listed targets that a complete update does not contain: they were listed because of other nodes and have no
/// registration.
fn remove_unregistered(node: &Node) {
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

/// Removes targets when their grace periods end.
pub async fn drop_expired_targets(node: Rc<Node>) {
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
        let expired = node.targets.borrow().expired(now);
        for id in &expired {
            node.log(&format!("\"event\":\"target-dropped\",\"target\":{}", JsonText(id)));
        }
        if node.targets.borrow_mut().drop_expired(now) {
            on_targets_changed(&node);
        }
    }
}

/// Updates the gate, the load balancer and the node's role in the feed tree after the list of targets has changed.
pub fn on_targets_changed(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    node.load_balancer.borrow_mut().retain_targets(|id| targets.get(id).is_some());
    let configuration = node.current_configuration();
    // An entry that names an unknown service may have been written by anyone.
    let is_known = |service: &str| configuration.as_ref().is_none_or(|current| current.services.contains_key(service));
    feed::update_role(node, targets.iter().filter(|target| is_known(&target.registration.service)));
    drop(targets);
    node.update_machines();
    local_target::update_gate(node);
}
