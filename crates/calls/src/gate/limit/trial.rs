//! A trial change of the limit, which tests whether latency depends on concurrency.
//!
//! A gradient limit that relies on its baseline ratchets down when the back end slows down for another reason: a cut
//! leaves the latency unchanged, which causes the next cut. So each cut is a trial until it is shown to reduce latency.

use quillhatch_types::Timestamp;

/// The minimum elasticity (relative change in latency over relative change in concurrency) at which the back end is
/// considered to queue. At the knee and above, the elasticity is one; below the knee it is zero.
const MIN_RESPONSIVE_ELASTICITY: f64 = 0.4;
/// The minimum relative change in concurrency for a verdict.
const MIN_CONCURRENCY_CHANGE: f64 = 0.08;
/// The number of periods after which a trial without a verdict ends.
const MAX_TRIAL_PERIODS: u32 = 8;

/// The direction of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialKind {
    /// A cut, because latency rose or because a limit in use is due for verification.
    Cut,
    /// A raise of a limit below the initial one, to test whether it is kept low without need.
    Raise,
}

/// The measurements of one period.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeriodResult {
    /// The mean number of running attempts.
    pub(super) concurrency: f64,
    /// The measured latency divided by the baseline.
    pub(super) inflation: f64,
    /// The standard error of the inflation.
    pub(super) error: f64,
}

/// The result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Not known yet.
    Pending,
    /// Latency follows concurrency: the back end queues.
    Responsive,
    /// Latency does not follow concurrency: the back end is slow for another reason.
    Unresponsive,
    /// The concurrency did not change enough for a verdict.
    Inconclusive,
}

/// A trial in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitTrial {
    pub(super) kind: TrialKind,
    pub(super) previous_limit: f64,
    before: PeriodResult,
    settled_at: Timestamp,
    periods: u32,
}

impl LimitTrial {
    /// Begins a trial; attempts measured before `settled_at` ran under the previous limit.
    pub(super) fn new(kind: TrialKind, previous_limit: f64, before: PeriodResult, settled_at: Timestamp) -> Self {
        LimitTrial { kind, previous_limit, before, settled_at, periods: 0 }
    }

    /// Whether attempts measured at `now` started under the trial's limit.
    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }

    /// Compares a period under the trial's limit with the one before the trial.
    pub(super) fn judge(&mut self, after: PeriodResult) -> Verdict {
        self.periods += 1;
        let change = (after.concurrency / self.before.concurrency).ln();
        if !change.is_finite() || change.abs() < MIN_CONCURRENCY_CHANGE {
            return if self.periods >= MAX_TRIAL_PERIODS { Verdict::Inconclusive } else { Verdict::Pending };
        }
        let elasticity = (after.inflation / self.before.inflation).ln() / change;
        if elasticity >= MIN_RESPONSIVE_ELASTICITY {
            Verdict::Responsive
        } else {
            Verdict::Unresponsive
        }
    }
}
