//! Reads the platform's store when a read is due at this node: lists everything once, then watches for changes, and
//! resumes at the last position after an outage.
//!
//! [`StoreReader`](quillhatch_mesh::store_reader::StoreReader) decides what is read next, [`quillhatch_mesh::feed`]
//! which nodes read.

mod access;
mod apply;
mod client;
mod schedule;
mod standby;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use quillhatch_mesh::feed::{watch_timeout, ReadReason};
use quillhatch_mesh::freshness::MAX_COMPLETE_PAGE_CHANGES;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::replica::{Change, Position, RevisedChange, Update, UpdateError, UpdateScope};
use quillhatch_mesh::store_reader::{ListingCursor, NextRead};
use quillhatch_mesh::targets::Target;
use quillhatch_platform::store::{listing_path, read_page, watch_path, ReadConsistency};
use quillhatch_types::Timestamp;
use rand::Rng;
use tokio::time::sleep;

use crate::counters::Counters;
use crate::feed;
use crate::logging::JsonText;
use crate::node::Node;
pub use access::watch_access;
use apply::apply_partial_list;
pub use apply::{apply_update, drop_expired_targets, on_access_regained, on_targets_changed, take_configuration};
use client::{get, StoreError, StoreResponse};
use schedule::{is_due, wait_until_due};
pub use standby::watch_as_standby;

/// The timeout of one page of a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// The timeout of a watch beyond its wait time: a large multiple of what the response takes, also on slow links.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// The wait time of a watch that is to show soon whether the store can be read: after an outage, and at a node that
/// reads only occasionally.
const PROBING_WATCH_WAIT: Duration = Duration::from_millis(200);
/// How long the first watch may take to return the changes that a lagging replica of the store lacked. If it returns
/// nothing within this time there are none, since the store responds within a few milliseconds.
const CATCH_UP_TIME: Duration = Duration::from_millis(150);

/// Reads the store whenever a read is due at this node, until the process ends.
pub async fn follow(node: Rc<Node>) {
    loop {
        let reason = wait_until_due(&node).await;
        let sent = node.now();
        let Err(error) = read_while_due(&node, reason).await else { continue };
        record_failure(&node, &error, sent);
        if !error.is_outage() {
            node.store_reader.borrow_mut().history_lost();
        }
        if matches!(error, StoreError::Status(StatusCode::GONE)) {
            continue;
        }
        let has_view = node.position().is_known() || node.targets_known.get();
        let max_pause = node.store_reader.borrow_mut().read_failed(has_view, &node.settings.bounds);
        let pause = node.random.borrow_mut().gen_range(max_pause / 2..max_pause);
        sleep(pause).await;
    }
}

/// Reads the store until no further read is due at this node or a call fails.
async fn read_while_due(node: &Rc<Node>, reason: ReadReason) -> Result<(), StoreError> {
    let next = node.store_reader.borrow().next(node.position());
    if reason == ReadReason::Initial {
        node.solo_reads.set(node.solo_reads.get().increment(node.now()));
        // A list that failed for another reason than an outage may not fail in the store itself.
        let consistency = if next == NextRead::List { ReadConsistency::Current } else { ReadConsistency::Stale };
        return read_all(node, consistency).await;
    }
    match next {
        NextRead::Watch { .. } => {}
        NextRead::List => read_all(node, ReadConsistency::Current).await?,
        NextRead::StaleList => read_all(node, ReadConsistency::Stale).await?,
    }
    watch(node, reason).await
}

/// Records that a call to the store, sent at `sent`, has failed.
fn record_failure(node: &Rc<Node>, error: &StoreError, sent: Timestamp) {
    Counters::increment(&node.counters.store_failures);
    if error.is_outage() {
        let mut loss = node.feed.store_loss.get();
        loss.store_call_failed(sent, node.feed.store_read_at.get());
        if node.feed.role.borrow().candidates.is_empty() {
            loss.all_sources_failed(sent);
        }
        node.feed.store_loss.set(loss);
        if !node.store_access_lost.replace(true) {
            node.log(&format!("\"event\":\"store-access\",\"lost\":true,\"why\":{}", JsonText(error)));
            // From now on the list retains the local target even if its registration has expired.
            let own = node.settings.local_target.ip();
            let now = node.now();
            node.targets.borrow_mut().report_store_access(own, true, now);
            on_targets_changed(node);
        }
        node.feed.view_changed.notify_waiters();
    }
    node.log(&format!("\"event\":\"store-lost\",\"why\":{}", JsonText(error)));
}

/// Records that the store has responded to a call that was sent at `sent`.
fn record_success(node: &Rc<Node>, sent: Timestamp) {
    node.store_reader.borrow_mut().read_succeeded();
    if node.store_access_lost.replace(false) {
        node.log("\"event\":\"store-access\",\"lost\":false");
    }
    node.must_probe_store.set(false);
    let mut loss = node.feed.store_loss.get();
    // Until the first read of the store the process has had no access to it.
    let lost_since = node.feed.store_read_at.get().map_or(Some(node.clock.started()), |_| loss.since());
    node.feed.record_store_read(sent);
    let outage_since = loss.store_read();
    node.feed.store_loss.set(loss);
    on_access_regained(node, lost_since, outage_since);
}

/// Lists the configuration and all targets. With [`ReadConsistency::Stale`] the first page can be enough: it shows
/// other nodes that can supply the rest.
async fn read_all(node: &Rc<Node>, consistency: ReadConsistency) -> Result<(), StoreError> {
    let sent = node.now();
    let mut changes: Vec<RevisedChange> = Vec::new();
    let mut position: Option<Position> = None;
    let mut cursor = ListingCursor::default();
    loop {
        let response = get(node, &listing_path(cursor.after(), consistency), LIST_TIMEOUT, read_page).await?;
        let StoreResponse { era, page } = response;
        // The pages are not a snapshot: a change after the lowest of their revisions may be missing from one of them.
        let page_position = Position { era, revision: page.revision };
        if position.is_some_and(|position| position.era != era) {
            return Err(StoreError::OtherEra);
        }
        position = Some(position.map_or(page_position, |position| position.min(page_position)));
        changes.extend(page.changes);
        if !page.more {
            break;
        }
        let is_first = cursor.after().is_empty();
        if consistency == ReadConsistency::Stale && is_first && peers_supply_rest(node, &changes).await {
            return Ok(());
        }
        if let Err(stalled) = cursor.advance(page.last_key) {
            serve_with_partial_list(node, changes, consistency, sent);
            return Err(StoreError::Stalled(stalled));
        }
    }
    let position = position.unwrap_or_default();
    let update = Update { scope: UpdateScope::Full, position, changes };
    let result = apply_update(node, update);
    if position.era < node.position().era {
        return Err(StoreError::OtherEra);
    }
    if result.is_err() {
        // Another node has sent a later update meanwhile.
        node.log_failure(|| format!("\"event\":\"store-outrun\",\"revision\":{}", position.revision));
    }
    match consistency {
        ReadConsistency::Current => {
            record_success(node, sent);
            record_freshness(node, sent);
            node.targets_known.set(true);
        }
        ReadConsistency::Stale => {
            tokio::task::spawn_local(accept_callers_after_catch_up(Rc::clone(node)));
        }
    }
    on_targets_changed(node);
    Ok(())
}

/// Lets a node that knows nothing else serve with the part of the list that could be read. A node that has a view keeps
/// it: what is missing in a part of the list may still be registered.
///
/// The part is no position of the store, so it doesn't reach other nodes.
fn serve_with_partial_list(
    node: &Rc<Node>,
    changes: Vec<RevisedChange>,
    consistency: ReadConsistency,
    sent: Timestamp,
) {
    if node.position().is_known() {
        return;
    }
    let has_configuration = changes.iter().any(|revised| matches!(revised.change, Change::Configuration(_)));
    apply_partial_list(node, changes);
    if has_configuration && consistency == ReadConsistency::Current {
        record_freshness(node, sent);
    }
    node.targets_known.set(true);
    on_targets_changed(node);
}

/// Whether other nodes, found among the targets of the first page, supply the full view within a while. A node that is
/// itself a reader of the store according to that page does not wait for them.
async fn peers_supply_rest(node: &Rc<Node>, changes: &[RevisedChange]) -> bool {
    let listed: Vec<_> = changes.iter().filter_map(|revised| provisional_target(&revised.change)).collect();
    feed::update_role(node, listed.iter());
    if node.feed.role.borrow().is_reader || node.feed.role.borrow().candidates.is_empty() {
        return false;
    }
    schedule::wait_for_peers(node).await
}

/// A target from the first page, used only to find other nodes.
fn provisional_target(change: &Change) -> Option<Arc<Target>> {
    let Change::Target(id, registration) = change else { return None };
    let (id, registration) = (id.clone(), registration.clone());
    Some(Arc::new(Target { id, registration, cold_until: Timestamp::ZERO, listed_at: Timestamp::ZERO }))
}

/// Accepts callers once the watch, or another node, has had the time to supply the changes that a lagging replica of
/// the store lacked.
async fn accept_callers_after_catch_up(node: Rc<Node>) {
    sleep(CATCH_UP_TIME).await;
    node.targets_known.set(true);
    on_targets_changed(&node);
}

/// Records that the configuration was the newest when the call was sent that read the store, unless the store was
/// recently restored from a backup: the backup may lack a configuration that was acknowledged.
fn record_freshness(node: &Node, sent: Timestamp) {
    if node.now() >= node.rewrite_deadline.get() {
        node.tenancy.record_store_read(&node.configuration.borrow(), sent);
    }
}

/// Logs what a node that reads the store only occasionally knows after a read, and how old its proof of freshness is.
fn log_single_read(node: &Node) {
    let Position { era, revision } = node.position();
    let version = node.configuration.borrow().version();
    let proof_age = node.tenancy.freshness.borrow().age(node.now());
    let proof_ms = proof_age.map_or(-1, |age| age.as_millis() as i64);
    node.log_failure(|| {
        format!("\"event\":\"store-read-once\",\"position\":\"{era}.{revision}\",\"version\":{version},\"proof_ms\":{proof_ms}")
    });
}

/// Watches the store for changes as long as reads are due at this node.
async fn watch(node: &Rc<Node>, reason: ReadReason) -> Result<(), StoreError> {
    let mut is_probing = reason == ReadReason::Once || node.feed.store_loss.get().since().is_some();
    let mut follows_changes = false;
    loop {
        let position = node.position();
        let wait = if is_probing { PROBING_WATCH_WAIT } else { watch_timeout(&node.settings.bounds) };
        let path = watch_path(position.revision, wait);
        let sent = node.now();
        let response = tokio::select! {
            response = get(node, &path, wait + WATCH_TIMEOUT_MARGIN, read_page) => response?,
            () = node.clock.resumed() => {
                node.log(&format!("\"event\":\"watch-renewed\",\"revision\":{},\"why\":\"woken\"", position.revision));
                is_probing = true;
                continue;
            }
        };
        is_probing = false;
        let StoreResponse { era, page } = response;
        if era != position.era {
            return Err(StoreError::OtherEra);
        }
        let is_complete = page.item_count <= MAX_COMPLETE_PAGE_CHANGES;
        let has_changes = page.item_count > 0;
        let page_position = Position { era, revision: page.revision };
        record_success(node, sent);
        let update = Update { scope: UpdateScope::After(position), position: page_position, changes: page.changes };
        match apply_update(node, update) {
            // Another node may have sent a later update meanwhile.
            Ok(()) | Err(UpdateError::Outdated) => {}
            Err(UpdateError::Gap) => return Err(StoreError::OtherEra),
        }
        if is_complete {
            record_freshness(node, sent);
        }
        node.targets_known.set(true);
        if reason == ReadReason::Once {
            log_single_read(node);
        }
        if !is_due(node) {
            return Ok(());
        }
        // A change is often followed by more, and each response of the store costs money. So the next watch starts
        // after a pause that batches changes. A change that comes without others before it is received at once, since
        // the watch is waiting for it.
        if has_changes && node.is_enabled(Mechanism::BatchedReads) {
            let pause = node.feed.role.borrow().batch_pause(follows_changes, &node.settings.bounds);
            sleep(pause).await;
        }
        follows_changes = has_changes;
    }
}
