//! Limits the retries that this node sends to the targets of a service.
//!
//! All nodes together may retry a share of the service's calls plus a slack. Each node spends the share of the calls
//! that it has counted itself, and none of the slack, which no node could divide without the number of all others. So
//! the bound holds whatever a node knows of the fleet: during a partition, after a restart, while nodes come and go.
//!
//! A retry high in a chain of calls repeats every call below it. Each hop marks its call if it is such an inherited
//! retry, and the node that sends the call on subtracts it from its own budget, so retries don't add up from level to
//! level. That alone is no bound on inherited retries: a call that fails early or is rejected makes fewer calls than its
//! retry does. So each response carries the level at which calls of its route may be retried, the lowest of the budgets
//! of the services that they lead to, and the nodes above reduce their retries before those budgets are exceeded.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::admission_level::AdmissionLevel;

/// The fraction of the allowed share that is spent. The rest covers what nodes can't know of each other: windows that
/// begin at different moments, and calls below a retry that are not matched with it.
const SPENT_FRACTION: f64 = 0.75;
/// The fractions of the allowed share between which the services above reduce their retries, from all to none.
const LEVEL_RANGE: Range<f64> = 0.7..0.9;
/// The number of buckets that a window is divided into.
const WINDOW_BUCKETS: u32 = 10;

/// The retries of one service by this node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    bucket_length: Duration,
    buckets: VecDeque<WindowBucket>,
}

#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: Timestamp,
    usage: BudgetUsage,
}

/// The calls and retries that a budget has counted in its current window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Calls that are no retries.
    pub calls: u32,
    /// Retries that this node has sent.
    pub retries: u32,
    /// Calls that arrived once more since a call above them was retried.
    pub inherited: u32,
}

impl RetryBudget {
    /// A budget of the share `ratio` of the calls in each `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        RetryBudget { ratio, bucket_length: window / WINDOW_BUCKETS, buckets: VecDeque::new() }
    }

    /// Counts a call of the service.
    pub fn record_call(&mut self, now: Timestamp) {
        self.current_bucket(now).usage.calls += 1;
    }

    /// Counts a call of the service that arrives once more since a call above it was retried. To refuse it would waste
    /// the work above it, so it is subtracted from the retries that this node may send.
    pub fn record_inherited_retry(&mut self, now: Timestamp) {
        self.current_bucket(now).usage.inherited += 1;
    }

    /// Returns what was counted in the window that ends now: only calls that are in it for certain, and all retries that
    /// may be in it.
    pub fn usage(&self, now: Timestamp) -> BudgetUsage {
        let mut usage = BudgetUsage::default();
        for bucket in &self.buckets {
            let age = now.since(bucket.start);
            if age < self.window() {
                usage.calls += bucket.usage.calls;
            }
            if age < self.window() + self.bucket_length {
                usage.retries += bucket.usage.retries;
                usage.inherited += bucket.usage.inherited;
            }
        }
        usage
    }

    /// Spends one retry, if the budget has one left.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let ratio = self.ratio * SPENT_FRACTION;
        let usage = self.usage(now);
        if f64::from(usage.retries + usage.inherited + 1) > ratio * f64::from(usage.calls) {
            return false;
        }
        self.current_bucket(now).usage.retries += 1;
        true
    }

    /// The level at which the services above may retry calls that lead to calls of this service, given the inherited and
    /// own retries that were counted.
    pub fn level_above(&self, now: Timestamp) -> AdmissionLevel {
        let usage = self.usage(now);
        let spent = f64::from(usage.retries + usage.inherited);
        let allowed = self.ratio * f64::from(usage.calls);
        if spent <= allowed * LEVEL_RANGE.start {
            return AdmissionLevel::FULL;
        }
        let free = LEVEL_RANGE.end - spent / allowed;
        AdmissionLevel::from_priority_share(free / (LEVEL_RANGE.end - LEVEL_RANGE.start))
    }

    fn window(&self) -> Duration {
        self.bucket_length * WINDOW_BUCKETS
    }

    fn current_bucket(&mut self, now: Timestamp) -> &mut WindowBucket {
        let retention = self.window() + self.bucket_length;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) >= retention) {
            self.buckets.pop_front();
        }
        let is_new = self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= self.bucket_length);
        if is_new {
            self.buckets.push_back(WindowBucket { start: now, usage: BudgetUsage::default() });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }
}
