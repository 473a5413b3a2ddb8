//! What callers and back ends saw during a run; the only source of the report's figures.
//!
//! Nothing here is told by the code under comparison: callers and back ends note what they asked, ran and received.

use std::collections::{BTreeMap, HashMap, HashSet};

use quillhatch_types::Priority;
use serde::Serialize;

use crate::engine::Instant;
use crate::timeline::BUCKET;

#[cfg(test)]
mod tests;

/// Identifies a request for its caller: every repeat under the same idempotency key has the same tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestTag(pub u64);

/// One call from one caller to one edge, numbered by the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u32);

/// The calls and attempts below one try of an outside caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Calls, the first one included.
    pub calls: u32,
    /// Attempts sent.
    pub attempts: u32,
    /// Retries that the first call's class allows in the whole tree.
    pub budget: u32,
}

impl Tree {
    /// Whether more attempts were sent than first tries and budget together.
    pub fn exceeds_bound(&self) -> bool {
        self.attempts > self.calls + self.budget
    }
}

/// The number of a [`Tree`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TreeNumber(pub u32);

/// The number of a run at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u32);

/// One run of a call at a back end.
#[derive(Clone, Copy, Debug)]
struct RunEntry {
    parent: Option<RunNumber>,
    work: Instant,
    accepted: bool,
}

/// What became of one request of an outside caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    class: &'static str,
    priority: Priority,
    offered: Instant,
    whole: Option<Instant>,
}

/// A part of an answer as a caller received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPart {
    /// The request that the part answers, as the answer itself says.
    pub tag: RequestTag,
    /// The version of the content that the part belongs to.
    pub version: u32,
    /// The first byte.
    pub from: u64,
    /// The byte after the last.
    pub to: u64,
}

/// Checks that `parts`, in the order received, are the whole answer of `length` bytes to the request `tag`.
pub fn is_whole_answer(tag: RequestTag, length: u64, parts: &[AnswerPart]) -> bool {
    let Some(first) = parts.first() else { return false };
    let mut expected = 0;
    for part in parts {
        if part.tag != tag || part.version != first.version || part.from != expected || part.to < part.from {
            return false;
        }
        expected = part.to;
    }
    expected == length
}

fn count_in_bucket(buckets: &mut Vec<u32>, now: Instant) {
    let bucket = (now / BUCKET) as usize;
    if buckets.len() <= bucket {
        buckets.resize(bucket + 1, 0);
    }
    buckets[bucket] += 1;
}

/// The record of a run.
#[derive(Debug, Default)]
pub struct Record {
    requests: Vec<Request>,
    trees: Vec<Tree>,
    runs: Vec<RunEntry>,
    runs_of_tag: HashMap<RequestTag, u32>,
    seen_calls: HashSet<CallNumber>,
    told_not_run: Vec<CallNumber>,
    /// Whole answers by class and time bucket.
    pub goodput: BTreeMap<&'static str, Vec<u32>>,
    /// Requests offered, by time bucket.
    pub offered_timeline: Vec<u32>,
    /// Tries of outside callers that ended with a refusal, by class.
    pub refused: BTreeMap<&'static str, u64>,
    /// The same tries, by what the caller was told.
    pub refused_because: BTreeMap<String, u64>,
    /// Runs beyond the first of requests that may run only once.
    pub duplicate_runs: u64,
    /// Answers given as whole that were not the whole answer to the caller's own request.
    pub foreign_or_partial_answers: u64,
    /// Attempts that a back end was handed more than two seconds after its drain was in force.
    pub new_work_after_drain: u64,
    /// Calls in flight that a planned stop cut off.
    pub cut_by_planned_stop: u64,
    /// Protected calls refused while less important work waited or was preferred at the same back end.
    pub protected_refused_first: u64,
    /// Nodes seen with an older configuration revision after a newer one.
    pub config_reversions: u64,
    /// How long it took until every node had the new configuration in force; absent if none was published.
    pub config_in_force: Option<Instant>,
    /// Nodes that never had the new configuration in force.
    pub config_never_in_force: u64,
    /// What happened, with its time.
    pub events: Vec<(Instant, String)>,
}

impl Record {
    /// A request is offered; returns its number.
    pub fn offered(&mut self, class: &'static str, priority: Priority, now: Instant) -> u32 {
        self.requests.push(Request { class, priority, offered: now, whole: None });
        count_in_bucket(&mut self.offered_timeline, now);
        (self.requests.len() - 1) as u32
    }

    /// The first whole answer to a request arrived.
    pub fn completed_whole(&mut self, request: u32, now: Instant) {
        let Some(entry) = self.requests.get_mut(request as usize) else { return };
        if entry.whole.is_some() {
            return;
        }
        entry.whole = Some(now);
        count_in_bucket(self.goodput.entry(entry.class).or_default(), now);
    }

    /// A caller begins a try with `budget` retries for all calls below it.
    pub fn tree_started(&mut self, budget: u32) -> TreeNumber {
        self.trees.push(Tree { calls: 0, attempts: 0, budget });
        TreeNumber((self.trees.len() - 1) as u32)
    }

    /// A call was made in a tree.
    pub fn called(&mut self, tree: TreeNumber) {
        self.trees[tree.0 as usize].calls += 1;
    }

    /// An attempt was sent in a tree.
    pub fn attempted(&mut self, tree: TreeNumber) {
        self.trees[tree.0 as usize].attempts += 1;
    }

    /// A back end was handed an attempt of a call.
    pub fn seen(&mut self, call: CallNumber) {
        self.seen_calls.insert(call);
    }

    /// A caller was told that its call was not run.
    pub fn told_not_run(&mut self, call: CallNumber) {
        self.told_not_run.push(call);
    }

    /// A back end begins to run a call.
    pub fn run_started(&mut self, parent: Option<RunNumber>, tag: RequestTag, repeatable: bool) -> RunNumber {
        if !repeatable {
            let runs = self.runs_of_tag.entry(tag).or_insert(0);
            *runs += 1;
            self.duplicate_runs += u64::from(*runs > 1);
        }
        self.runs.push(RunEntry { parent, work: 0, accepted: false });
        RunNumber((self.runs.len() - 1) as u32)
    }

    /// A back end worked for a run.
    pub fn worked(&mut self, run: RunNumber, work: Instant) {
        self.runs[run.0 as usize].work += work;
    }

    /// The caller of a run received its whole, successful answer and used it.
    pub fn accepted(&mut self, run: RunNumber) {
        self.runs[run.0 as usize].accepted = true;
    }

    /// Something happened that belongs into the report.
    pub fn event(&mut self, now: Instant, text: impl Into<String>) {
        const MOST_EVENTS: usize = 400;
        if self.events.len() < MOST_EVENTS {
            self.events.push((now, text.into()));
        }
    }

    /// The number of callers that were told that a call was not run although a back end saw it.
    pub fn false_not_run(&self) -> u64 {
        self.told_not_run.iter().filter(|call| self.seen_calls.contains(call)).count() as u64
    }

    /// The number of requests offered.
    pub fn offered_count(&self) -> u64 {
        self.requests.len() as u64
    }

    /// The number of requests completed whole.
    pub fn whole_count(&self) -> u64 {
        self.requests.iter().filter(|request| request.whole.is_some()).count() as u64
    }

    /// The share of protected requests that were completed whole; one if none was offered.
    pub fn protected_served_ratio(&self) -> f64 {
        let protected = self.requests.iter().filter(|request| request.priority == Priority::Protected);
        let (offered, served) = protected.fold((0u64, 0u64), |(offered, served), request| {
            (offered + 1, served + u64::from(request.whole.is_some()))
        });
        if offered == 0 {
            return 1.0;
        }
        served as f64 / offered as f64
    }

    /// The times from first try to whole answer, ascending, in microseconds.
    pub fn latencies(&self) -> Vec<Instant> {
        let whole = self.requests.iter().filter_map(|request| request.whole.map(|whole| whole - request.offered));
        let mut latencies: Vec<Instant> = whole.collect();
        latencies.sort_unstable();
        latencies
    }

    /// The share of back ends' work that went into runs whose answer no completed request used.
    pub fn wasted_work_ratio(&self) -> f64 {
        let mut useful: Vec<bool> = Vec::with_capacity(self.runs.len());
        let (mut total, mut wasted) = (0u64, 0u64);
        // A run begins after its parent, so the parent's verdict is there already.
        for run in &self.runs {
            let is_useful = run.accepted && run.parent.is_none_or(|parent| useful[parent.0 as usize]);
            useful.push(is_useful);
            total += run.work;
            wasted += if is_useful { 0 } else { run.work };
        }
        if total == 0 {
            return 0.0;
        }
        wasted as f64 / total as f64
    }

    /// The most attempts in one tree.
    pub fn maximum_attempts(&self) -> u32 {
        self.trees.iter().map(|tree| tree.attempts).max().unwrap_or(0)
    }

    /// The number of trees with more attempts than allowed.
    pub fn attempt_bound_violations(&self) -> u64 {
        self.trees.iter().filter(|tree| tree.exceeds_bound()).count() as u64
    }
}
