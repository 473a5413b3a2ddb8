//! Follows the platform's store: reads everything once, then waits for changes, and goes on where it stood after an outage.
//!
//! What is read when is decided by [`StoreReader`](quillhatch_mesh::store_reader::StoreReader).

mod apply;
mod client;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use quillhatch_mesh::freshness::WHOLE_ANSWER;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::store_reader::{watch_wait, NextRead, RARE_WAIT};
use quillhatch_platform::store::{listing_path, read_page, watch_path, Change, Freshness};
use rand::Rng;
use tokio::time::sleep;

use crate::counters::Counters;
use crate::node::Node;
pub use apply::drop_expired;
use apply::{apply, changed, reached, remove_gone};
use client::{get, StoreError};

/// How long a plain read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// What an answer may take beyond the time that the store was asked to wait: many times what it takes, also where links are
/// slow.
const WATCH_ALLOWANCE: Duration = Duration::from_millis(600);
/// How long the store is asked to wait by a watch that is to show soon whether the store can be read: after an outage, and in
/// place of one that hangs.
const PROBING_WAIT: Duration = Duration::from_millis(200);
/// For how long the view of another node may reach further before the watch is taken to hang; a watch that does not hang is
/// answered at once, and within 0.3 s by a store that is slow.
const HANGING_AFTER: Duration = Duration::from_millis(400);
/// How long the first watch may take to bring what a lagging copy lacked. If it says nothing for so long there is nothing: the
/// store answers in some milliseconds.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(150);

/// Follows the store until the process ends.
pub async fn follow(node: Rc<Node>) {
    loop {
        let error = follow_until_lost(&node).await;
        if matches!(error, StoreError::ViewReplaced) {
            continue;
        }
        lost(&node, &error);
        if !error.is_outage() {
            node.store_reader.borrow_mut().history_lost();
        }
        if matches!(error, StoreError::Status(StatusCode::GONE)) {
            continue;
        }
        let has_view = node.revision.get() > 0;
        let longest = node.store_reader.borrow_mut().failed(has_view, &node.settings.bounds);
        let pause = node.random.borrow_mut().gen_range(longest / 2..longest);
        sleep(pause).await;
    }
}

async fn follow_until_lost(node: &Rc<Node>) -> StoreError {
    let next = node.store_reader.borrow().next();
    let read = match next {
        NextRead::Changes { .. } => Ok(()),
        NextRead::Everything => read_all(node, Freshness::Current).await,
        NextRead::LaggingCopy => read_all(node, Freshness::MayLag).await,
    };
    match read {
        Ok(()) => watch(node).await,
        Err(error) => error,
    }
}

fn lost(node: &Node, error: &StoreError) {
    Counters::add(&node.counters.store_failures);
    if node.store_lost.get().is_none() {
        node.store_lost.set(Some(node.now()));
    }
    node.log(&format!("\"event\":\"store-lost\",\"why\":{:?}", error.to_string()));
}

/// Reads the configuration and all targets.
async fn read_all(node: &Rc<Node>, freshness: Freshness) -> Result<(), StoreError> {
    let views_taken = node.store_reader.borrow().views_taken();
    let sent = node.now();
    let mut listed: HashSet<Arc<str>> = HashSet::new();
    let mut after = String::new();
    let mut pages = Vec::new();
    loop {
        let page = get(node, &listing_path(&after, freshness), READ_TIMEOUT, read_page).await?;
        for change in &page.changes {
            if let Change::Target(id, _) | Change::UnusableTarget(id) = change {
                listed.insert(id.clone());
            }
        }
        after.clone_from(&page.last_key);
        let more = page.more;
        pages.push(page);
        if !more {
            break;
        }
    }
    if node.store_reader.borrow().views_taken() != views_taken {
        return Err(StoreError::ViewReplaced);
    }
    // The pages are no snapshot: whatever changed after the least of their revisions may be missing in one of them.
    let revision = pages.iter().map(|page| page.revision).min().unwrap_or_default();
    reached(node, revision);
    let now = node.now();
    for page in pages {
        apply(node, page.changes, now);
    }
    let missing = node.targets.borrow().missing_from(&listed);
    remove_gone(node, &missing);
    node.targets.borrow_mut().forget_superseded(&listed);
    node.log(&format!(
        "\"event\":\"store-read\",\"revision\":{revision},\"version\":{},\"targets\":{},\"missing\":{}",
        node.configuration.borrow().version(),
        listed.len(),
        missing.len()
    ));
    match freshness {
        Freshness::Current => {
            node.tenancy.is_up_to_date(sent);
            node.targets_known.set(true);
        }
        Freshness::MayLag => {
            tokio::task::spawn_local(caught_up(Rc::clone(node)));
        }
    }
    changed(node);
    Ok(())
}

/// Lets callers in once the watch has had the time to bring what a lagging copy lacked.
async fn caught_up(node: Rc<Node>) {
    sleep(CAUGHT_UP_AFTER).await;
    node.targets_known.set(true);
    changed(&node);
}

/// Follows the changes until a call fails.
async fn watch(node: &Rc<Node>) -> StoreError {
    let own = node.settings.local_target.ip();
    let mut is_probing = node.store_lost.get().is_some();
    loop {
        let NextRead::Changes { after } = node.store_reader.borrow().next() else { return StoreError::ViewReplaced };
        let is_due = node.tenancy.freshness.borrow().renew_in(node.now()).is_some_and(|left| left.is_zero());
        is_probing |= is_due;
        let wait = match is_probing {
            true => PROBING_WAIT,
            false if node.has(Mechanism::EarlyWatches) => {
                watch_wait(own, &node.targets.borrow(), &node.settings.bounds)
            }
            false => RARE_WAIT,
        };
        let path = watch_path(after, wait);
        let views_taken = node.store_reader.borrow().views_taken();
        let sent = node.now();
        let page = tokio::select! {
            page = get(node, &path, wait + WATCH_ALLOWANCE, read_page) => page,
            heard = hanging_for_long(node) => {
                node.log(&format!("\"event\":\"watch-renewed\",\"revision\":{after},\"heard\":{heard}"));
                is_probing = true;
                continue;
            }
            () = node.clock.woken() => {
                node.log(&format!("\"event\":\"watch-renewed\",\"revision\":{after},\"why\":\"woken\""));
                is_probing = true;
                continue;
            }
            () = proof_is_old(node), if !is_probing => {
                node.log_failure(|| format!("\"event\":\"proof-renewed\",\"revision\":{after}"));
                is_probing = true;
                continue;
            }
        };
        is_probing = false;
        let page = match page {
            Ok(page) => page,
            Err(error) => return error,
        };
        if node.store_reader.borrow().views_taken() != views_taken {
            return StoreError::ViewReplaced;
        }
        reached(node, page.revision);
        let is_whole = page.changes.len() <= WHOLE_ANSWER;
        let has_changes = !page.changes.is_empty();
        if has_changes {
            apply(node, page.changes, node.now());
            changed(node);
        }
        if is_whole {
            node.tenancy.is_up_to_date(sent);
        }
        if !has_changes {
            continue;
        }
        // Where one change is, more follow; each answer has its price. A change that comes while none was gathered is known at
        // once, since the watch waits for it.
        if node.has(Mechanism::GatheredChanges) {
            sleep(node.settings.bounds.gather()).await;
        }
    }
}

/// Ends once this node's configuration was not known to be the newest for so long that it asks the store itself.
async fn proof_is_old(node: &Node) {
    loop {
        let left = node.tenancy.freshness.borrow().renew_in(node.now());
        match left {
            None => std::future::pending().await,
            Some(left) if left.is_zero() => return,
            // Others may tell meanwhile that it was the newest later.
            Some(left) => sleep(left).await,
        }
    }
}

/// Ends once the views of other nodes have reached further than this node's for longer than changes are on their way;
/// returns how far. For each revision that others tell it ends once.
async fn hanging_for_long(node: &Node) -> u64 {
    loop {
        node.later_change.notified().await;
        sleep(HANGING_AFTER).await;
        let heard = node.heard_revision.get();
        if heard > node.revision.get() {
            return heard;
        }
    }
}
