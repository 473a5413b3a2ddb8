//! A trial change of the limit, to see whether latency depends on concurrency.
//!
//! A gradient limit that trusts its baseline ratchets down when the back end becomes slower for another reason: each cut
//! leaves the latency as it is, which asks for another cut. So a cut is on trial until it has shown an effect.

use quillhatch_types::Timestamp;

/// The smallest part of a change in concurrency that must show in latency. At the knee and above it is one, below zero.
const MIN_RESPONSIVE_ELASTICITY: f64 = 0.4;
/// The smallest relative change in concurrency that can be judged.
const MIN_CONCURRENCY_CHANGE: f64 = 0.08;
/// Periods after which a trial that could not be judged ends.
const MAX_TRIAL_PERIODS: u32 = 8;

/// Why a trial is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialKind {
    /// A cut because latency rose, or to verify a limit that has grown beyond the first guess.
    Cut,
    /// A rise at the smallest limit, to find out whether it is held down for nothing.
    Raise,
}

/// What one period measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeriodResult {
    /// Mean number of running attempts.
    pub(super) concurrency: f64,
    /// Measured latency over baseline.
    pub(super) inflation: f64,
    /// The standard error of the inflation.
    pub(super) error: f64,
}

/// What a trial showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Not yet known.
    Pending,
    /// Latency follows concurrency: the back end queues.
    Responsive,
    /// Latency does not follow concurrency: the back end is slow for another reason.
    Unresponsive,
    /// The concurrency did not change enough to tell.
    Inconclusive,
}

/// A limit on trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) kind: TrialKind,
    pub(super) previous_limit: f64,
    before: PeriodResult,
    settled_at: Timestamp,
    periods: u32,
}

impl Trial {
    /// Begins a trial; attempts measured before `settled_at` ran under the previous limit.
    pub(super) fn new(kind: TrialKind, previous_limit: f64, before: PeriodResult, settled_at: Timestamp) -> Self {
        Trial { kind, previous_limit, before, settled_at, periods: 0 }
    }

    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }

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
