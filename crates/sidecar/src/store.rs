//! Follows the platform's store: reads everything once, then waits for changes, and reads again where that fails.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use http_body_util::BodyExt;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use quillhatch_platform::store::{
    configuration_path, read_item, read_page, targets_path, watch_path, AnswerError, Change, Page,
};
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::body::Body;
use crate::counters::Counters;
use crate::node::Node;
use crate::pool::ExchangeError;
use crate::present_target;

/// How long a plain read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the store is asked to wait for a change.
///
/// A watch that hangs is noticed by what other nodes tell, long before this time is over.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// What an answer may take beyond the time that the store was asked to wait.
const WATCH_ALLOWANCE: Duration = Duration::from_millis(1500);
/// After a change, more are gathered for so long before the store is asked for them.
const SHORTEST_GATHER: Duration = Duration::from_millis(300);
/// The pause between changes from which the next one counts as the first again.
const CALM: Duration = Duration::from_millis(600);
/// How long the store is asked to wait by a watch that takes the place of one which hangs.
const RENEWED_WAIT: Duration = Duration::from_millis(200);
/// What the answer to that one may take beyond.
const RENEWED_ALLOWANCE: Duration = Duration::from_millis(600);
/// For how long another node may have a newer configuration before the store is read anew.
const BEHIND_FOR: Duration = Duration::from_millis(600);
/// For how long the view of another node may reach further before the watch is taken to hang.
const HANGING_AFTER: Duration = Duration::from_millis(900);
/// For how long targets are kept that a list lacks after trouble of the store: two of their words, and what the list lags.
const DOUBT_AFTER_TROUBLE: Duration = Duration::from_secs(4);
/// The pause after the first failure in a row; it doubles.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failures in a row.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Why the store could not be read.
#[derive(Debug, Display)]
enum StoreError {
    #[display("{_0}")]
    Exchange(ExchangeError),
    #[display("no answer in time")]
    TimedOut,
    #[display("status {_0}")]
    Status(StatusCode),
    #[display("{_0}")]
    Answer(AnswerError),
    #[display("another node has a newer configuration")]
    Behind,
}

/// Follows the store until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut failures = 0;
    let mut was_in_trouble = false;
    loop {
        match read_all(&node, was_in_trouble).await {
            Ok(revision) => {
                node.log(&format!(
                    "\"event\":\"store-read\",\"revision\":{revision},\"version\":{},\"targets\":{}",
                    node.configuration.borrow().version(),
                    node.targets.borrow().len()
                ));
                failures = 0;
                let error = watch(&node, revision).await;
                lost(&node, &error);
                was_in_trouble = !matches!(error, StoreError::Behind | StoreError::Status(StatusCode::GONE));
                if !was_in_trouble {
                    continue;
                }
            }
            Err(error) => {
                lost(&node, &error);
                was_in_trouble = true;
            }
        }
        failures += 1;
        let pause = (SHORTEST_PAUSE * 2_u32.pow(failures.min(4) - 1)).min(LONGEST_PAUSE);
        let varied = node.random.borrow_mut().gen_range(pause / 2..pause);
        sleep(varied).await;
    }
}

fn lost(node: &Node, error: &StoreError) {
    Counters::add(&node.counters.store_failures);
    if node.store_lost.get().is_none() {
        node.store_lost.set(Some(node.now()));
    }
    node.log(&format!("\"event\":\"store-lost\",\"why\":{:?}", error.to_string()));
}

/// Reads the configuration and all targets; returns the revision from which changes are to be followed.
///
/// After trouble of the store many entries may have run out whose targets serve, so these are kept for a while.
async fn read_all(node: &Rc<Node>, was_in_trouble: bool) -> Result<u64, StoreError> {
    let mut revision = None;
    let mut listed: HashSet<Arc<str>> = HashSet::new();
    let mut after = String::new();
    loop {
        let page = get(node, &targets_path(&after), READ_TIMEOUT, read_page).await?;
        revision.get_or_insert(page.revision);
        for change in &page.changes {
            if let Change::Target(id, _) | Change::UnusableTarget(id) = change {
                listed.insert(id.clone());
            }
        }
        after.clone_from(&page.last_key);
        let more = page.more;
        apply(node, page.changes);
        if !more {
            break;
        }
    }
    let doubt = if was_in_trouble { DOUBT_AFTER_TROUBLE } else { Duration::ZERO };
    {
        let mut targets = node.targets.borrow_mut();
        let missing = targets.missing_from(&listed);
        targets.vanish(&missing, doubt, node.now());
        targets.forget_superseded(&listed);
        if targets.next_doubt().is_some() {
            node.log(&format!("\"event\":\"list-doubted\",\"listed\":{},\"missing\":{}", listed.len(), missing.len()));
        }
    }
    node.doubt_changed.notify_one();
    match get(node, &configuration_path(), READ_TIMEOUT, read_item).await {
        Ok(page) => apply(node, page.changes),
        Err(StoreError::Status(StatusCode::NOT_FOUND)) => {}
        Err(error) => return Err(error),
    }
    let revision = revision.unwrap_or_default();
    node.targets_known.set(true);
    reached(node, revision);
    changed(node);
    Ok(revision)
}

async fn watch(node: &Rc<Node>, mut revision: u64) -> StoreError {
    let longest_gather = node.settings.bounds.longest_gather();
    let mut gather = SHORTEST_GATHER;
    let mut patience = (WATCH_WAIT, WATCH_ALLOWANCE);
    loop {
        let (wait, allowance) = std::mem::replace(&mut patience, (WATCH_WAIT, WATCH_ALLOWANCE));
        let path = watch_path(revision, wait);
        let begun = node.now();
        let watching = get(node, &path, wait + allowance, read_page);
        let page = tokio::select! {
            page = watching => page,
            () = behind_for_long(node) => Err(StoreError::Behind),
            heard = hanging_for_long(node) => {
                node.log(&format!("\"event\":\"watch-renewed\",\"revision\":{revision},\"heard\":{heard}"));
                patience = (RENEWED_WAIT, RENEWED_ALLOWANCE);
                continue;
            }
        };
        let page = match page {
            Ok(page) => page,
            Err(error) => return error,
        };
        revision = page.revision;
        reached(node, revision);
        if page.changes.is_empty() {
            continue;
        }
        apply(node, page.changes);
        changed(node);
        let is_calm = node.now().since(begun) >= CALM;
        gather = if is_calm { SHORTEST_GATHER } else { (gather * 2).min(longest_gather) };
        sleep(gather).await;
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

/// Ends once other nodes have told of a newer configuration and the watch has not brought it for a while.
async fn behind_for_long(node: &Node) {
    loop {
        node.behind.notified().await;
        sleep(BEHIND_FOR).await;
        if node.heard_version.get() > node.configuration.borrow().version() {
            return;
        }
    }
}

/// The store was read, and the view stands at `revision`.
fn reached(node: &Node, revision: u64) {
    node.revision.set(revision);
    if let Some(since) = node.store_lost.take() {
        let lost_ms = node.now().since(since).as_millis();
        node.log(&format!("\"event\":\"store-reached\",\"revision\":{revision},\"lost_ms\":{lost_ms}"));
    }
}

/// Takes over changes in the order in which the store tells them.
fn apply(node: &Node, changes: Vec<Change>) {
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
                node.log(&format!("\"event\":\"configuration\",\"version\":{version},\"taken\":{taken}"));
            }
            Change::UnusableConfiguration(error) => {
                node.log(&format!("\"event\":\"configuration-unusable\",\"why\":{:?}", error.to_string()));
            }
            Change::Target(id, announcement) => {
                node.log(&format!(
                    "\"event\":\"target\",\"target\":\"{id}\",\"service\":\"{}\",\"address\":\"{}\",\"draining\":{}",
                    announcement.service, announcement.address, announcement.draining
                ));
                node.targets.borrow_mut().update(id, announcement, node.now());
            }
            Change::UnusableTarget(id) => node.log(&format!("\"event\":\"target-unusable\",\"target\":\"{id}\"")),
            Change::TargetGone(_) => {}
        }
    }
    node.targets.borrow_mut().vanish(&gone, node.settings.bounds.longest_doubt(), node.now());
    node.doubt_changed.notify_one();
    for id in gone {
        let kept = node.targets.borrow().get(&id).is_some();
        node.log(&format!("\"event\":\"target-gone\",\"target\":\"{id}\",\"kept_for_now\":{kept}"));
    }
}

/// Takes doubtful targets off the list when their time is over.
pub async fn drop_doubtful(node: Rc<Node>) {
    loop {
        let next = node.targets.borrow().next_doubt();
        match next {
            None => node.doubt_changed.notified().await,
            Some(until) => {
                let wait = node.now().until(until) + Duration::from_millis(1);
                tokio::select! {
                    () = sleep(wait) => {}
                    () = node.doubt_changed.notified() => {}
                }
            }
        }
        let now = node.now();
        let dropped = node.targets.borrow_mut().drop_doubtful(now);
        if dropped {
            changed(&node);
        }
    }
}

/// Lets the gate and the balance follow the list of targets.
fn changed(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    node.balance.borrow_mut().retain(|id| targets.get(id).is_some());
    drop(targets);
    present_target::follow_list(node);
}

async fn get(
    node: &Rc<Node>,
    path: &str,
    longest: Duration,
    read: impl Fn(&[u8]) -> Result<Page, AnswerError>,
) -> Result<Page, StoreError> {
    Counters::add(&node.counters.store_requests);
    let address = node.settings.store;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let request = request.expect("the path and the host are made of plain characters");
    let exchange = async {
        let (response, lease) = node.store.exchange(address, request).await.map_err(StoreError::Exchange)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let bytes = body.map_err(|error| StoreError::Exchange(ExchangeError::NoAnswer(error.to_string())))?.to_bytes();
        lease.keep();
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        read(&bytes).map_err(StoreError::Answer)
    };
    timeout(longest, exchange).await.unwrap_or(Err(StoreError::TimedOut))
}
