//! Reads the platform's store where it is this node's part to do so: everything once, then the changes, and on where it stood after an
//! outage.
//!
//! What is read when is decided by [`StoreReader`](quillhatch_mesh::store_reader::StoreReader), who reads by [`quillhatch_mesh::feed`].

mod access;
mod apply;
mod client;
mod turn;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use quillhatch_mesh::feed::{watch_timeout, ReadReason};
use quillhatch_mesh::freshness::MAX_COMPLETE_PAGE_CHANGES;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::replica::{Change, Position, RevisedChange, Update, UpdateError, UpdateScope};
use quillhatch_mesh::store_reader::NextRead;
use quillhatch_mesh::targets::Target;
use quillhatch_platform::store::{listing_path, read_page, watch_path, ReadConsistency};
use quillhatch_types::Timestamp;
use rand::Rng;
use tokio::time::sleep;

use crate::counters::Counters;
use crate::feed;
use crate::node::Node;
pub use access::watch_access;
pub use apply::{changed, drop_expired, regained, take};
use client::{get, StoreAnswer, StoreError};
use turn::{is_due, wait_for_turn};

/// How long a plain read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// What an answer may take beyond the time that the store was asked to wait: many times what it takes, also where links are
/// slow.
const WATCH_ALLOWANCE: Duration = Duration::from_millis(600);
/// How long the store is asked to wait by a watch that is to show soon whether the store can be read: after an outage, and by a node that
/// reads only now and then.
const PROBING_WAIT: Duration = Duration::from_millis(200);
/// How long the first watch may take to bring what a lagging copy lacked. If it says nothing for so long there is nothing: the
/// store answers in some milliseconds.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(150);

/// Reads the store, whenever it is this node's turn, until the process ends.
pub async fn follow(node: Rc<Node>) {
    loop {
        let turn = wait_for_turn(&node).await;
        let sent = node.now();
        let Err(error) = read_in_turn(&node, turn).await else { continue };
        lost(&node, &error, sent);
        if !error.is_outage() {
            node.store_reader.borrow_mut().history_lost();
        }
        if matches!(error, StoreError::Status(StatusCode::GONE)) {
            continue;
        }
        let has_view = node.position().is_known();
        let longest = node.store_reader.borrow_mut().read_failed(has_view, &node.settings.bounds);
        let pause = node.random.borrow_mut().gen_range(longest / 2..longest);
        sleep(pause).await;
    }
}

/// Reads until the turn is over or a call fails.
async fn read_in_turn(node: &Rc<Node>, turn: ReadReason) -> Result<(), StoreError> {
    if turn == ReadReason::Initial {
        node.lone_readings.set(node.lone_readings.get().increment(node.now()));
        return read_all(node, ReadConsistency::Stale).await;
    }
    let next = node.store_reader.borrow().next(node.position());
    match next {
        NextRead::Watch { .. } => {}
        NextRead::List => read_all(node, ReadConsistency::Current).await?,
        NextRead::StaleList => read_all(node, ReadConsistency::Stale).await?,
    }
    watch(node, turn).await
}

fn lost(node: &Rc<Node>, error: &StoreError, sent: Timestamp) {
    Counters::add(&node.counters.store_failures);
    if error.is_outage() {
        let mut loss = node.feed.loss.get();
        loss.store_call_failed(sent, node.feed.read_at.get());
        if node.feed.place.borrow().candidates.is_empty() {
            loss.all_sources_failed(sent);
        }
        node.feed.loss.set(loss);
        if !node.own_access_lost.replace(true) {
            node.log(&format!("\"event\":\"store-access\",\"lost\":true,\"why\":{:?}", error.to_string()));
            // The list keeps the own target from now on, also if its registration has ended.
            let own = node.settings.local_target.ip();
            let now = node.now();
            node.targets.borrow_mut().report_store_access(own, true, now);
            changed(node);
        }
        node.feed.advanced.notify_waiters();
    }
    node.log(&format!("\"event\":\"store-lost\",\"why\":{:?}", error.to_string()));
}

/// The store has answered a call that was sent at `sent`.
fn reached(node: &Rc<Node>, sent: Timestamp) {
    node.store_reader.borrow_mut().read_succeeded();
    if node.own_access_lost.replace(false) {
        node.log("\"event\":\"store-access\",\"lost\":false");
    }
    node.must_probe_store.set(false);
    let mut loss = node.feed.loss.get();
    // Until its first reading a process has no way to the store.
    let lost_since = node.feed.read_at.get().map_or(Some(node.clock.started()), |_| loss.since());
    node.feed.note_read(sent);
    let outage_since = loss.store_read();
    node.feed.loss.set(loss);
    regained(node, lost_since, outage_since);
}

/// Reads the configuration and all targets. From a lagging copy, the first page may do: it shows whom else to ask.
async fn read_all(node: &Rc<Node>, freshness: ReadConsistency) -> Result<(), StoreError> {
    let sent = node.now();
    let mut changes: Vec<RevisedChange> = Vec::new();
    let mut position: Option<Position> = None;
    let mut after = String::new();
    loop {
        let answer = get(node, &listing_path(&after, freshness), READ_TIMEOUT, read_page).await?;
        let StoreAnswer { era, page } = answer;
        // The pages are no snapshot: whatever changed after the least of their revisions may be missing in one of them.
        let reaches = Position { era, revision: page.revision };
        if position.is_some_and(|position| position.era != era) {
            return Err(StoreError::OtherEra);
        }
        position = Some(position.map_or(reaches, |position| position.min(reaches)));
        changes.extend(page.changes);
        if !page.more {
            break;
        }
        if freshness == ReadConsistency::Stale && after.is_empty() && others_tell_the_rest(node, &changes).await {
            return Ok(());
        }
        after.clone_from(&page.last_key);
    }
    let position = position.unwrap_or_default();
    let update = Update { scope: UpdateScope::Full, position, changes };
    let taken = take(node, update);
    if position.era < node.position().era {
        return Err(StoreError::OtherEra);
    }
    if taken.is_err() {
        // Others have told more meanwhile.
        node.log_failure(|| format!("\"event\":\"store-outrun\",\"revision\":{}", position.revision));
    }
    match freshness {
        ReadConsistency::Current => {
            reached(node, sent);
            up_to_date(node, sent);
            node.targets_known.set(true);
        }
        ReadConsistency::Stale => {
            tokio::task::spawn_local(caught_up(Rc::clone(node)));
        }
    }
    changed(node);
    Ok(())
}

/// Whether other nodes, found among the targets of a first page, have told everything after a while. A node that reads the store by what the
/// page shows does not wait for others.
async fn others_tell_the_rest(node: &Rc<Node>, changes: &[RevisedChange]) -> bool {
    let listed: Vec<_> = changes.iter().filter_map(|revised| hint(&revised.change)).collect();
    feed::place_among(node, listed.iter());
    if node.feed.place.borrow().is_reader || node.feed.place.borrow().candidates.is_empty() {
        return false;
    }
    turn::others_answer(node).await
}

/// A target as the first page shows it, to find nodes by.
fn hint(change: &Change) -> Option<Arc<Target>> {
    let Change::Target(id, registration) = change else { return None };
    let (id, registration) = (id.clone(), registration.clone());
    Some(Arc::new(Target { id, registration, cold_until: Timestamp::ZERO, listed_at: Timestamp::ZERO }))
}

/// Lets callers in once the watch, or another node, has had the time to bring what a lagging copy lacked.
async fn caught_up(node: Rc<Node>) {
    sleep(CAUGHT_UP_AFTER).await;
    node.targets_known.set(true);
    changed(&node);
}

/// The store was read by a call that was sent at `sent`. A copy that it has come back from may lack a configuration that was acknowledged.
fn up_to_date(node: &Node, sent: Timestamp) {
    if node.now() >= node.written_again_by.get() {
        node.tenancy.is_up_to_date(sent);
    }
}

/// Follows the changes for as long as it is this node's turn.
async fn watch(node: &Rc<Node>, turn: ReadReason) -> Result<(), StoreError> {
    let mut is_probing = turn == ReadReason::Once || node.feed.loss.get().since().is_some();
    loop {
        let position = node.position();
        let wait = if is_probing { PROBING_WAIT } else { watch_timeout(&node.settings.bounds) };
        let path = watch_path(position.revision, wait);
        let sent = node.now();
        let answer = tokio::select! {
            answer = get(node, &path, wait + WATCH_ALLOWANCE, read_page) => answer?,
            () = node.clock.woken() => {
                node.log(&format!("\"event\":\"watch-renewed\",\"revision\":{},\"why\":\"woken\"", position.revision));
                is_probing = true;
                continue;
            }
        };
        is_probing = false;
        let StoreAnswer { era, page } = answer;
        if era != position.era {
            return Err(StoreError::OtherEra);
        }
        let is_whole = page.changes.len() <= MAX_COMPLETE_PAGE_CHANGES;
        let has_changes = !page.changes.is_empty();
        let reaches = Position { era, revision: page.revision };
        reached(node, sent);
        let update = Update { scope: UpdateScope::After(position), position: reaches, changes: page.changes };
        match take(node, update) {
            // Others may have told more meanwhile.
            Ok(()) | Err(UpdateError::Outdated) => {}
            Err(UpdateError::Gap) => return Err(StoreError::OtherEra),
        }
        if is_whole {
            up_to_date(node, sent);
        }
        node.targets_known.set(true);
        if !is_due(node) {
            return Ok(());
        }
        // Where one change is, more follow; each answer has its price. A change that comes while none was gathered is known at
        // once, since the watch waits for it.
        if has_changes && node.has(Mechanism::GatheredChanges) {
            sleep(node.settings.bounds.batch_window()).await;
        }
    }
}
