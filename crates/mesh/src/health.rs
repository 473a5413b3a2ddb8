//! Whether a target's answers are good, as the gate before it sees them.
//!
//! A target may refuse, lose or spoil a part of its calls while it is fast and its health check is good, and its short queue attracts
//! more of them. Its gate sees all of its calls, an edge only its own, which in a large service are less than one a second for each
//! target; so the gate counts, and its reports carry the share of good answers.
//!
//! A target also answers with an error when a call that it needs has failed. The gate's node sees those calls fail at its edge, so
//! as many errors are laid on them and not on the target.

use quillhatch_types::Timestamp;

/// The time in seconds over which answers are counted: some dozens at a target with thirty calls a second.
const COUNTED_OVER: f64 = 1.0;
/// Good answers that a target is taken to have given before the first one. Few answers are no evidence.
const ASSUMED_GOOD: f64 = 5.0;

/// The answers of one target, fading.
#[derive(Clone, Copy, Debug)]
pub struct TargetHealth {
    good: f64,
    bad: f64,
    /// Failed calls of the target on which its errors are laid.
    failed_calls: f64,
    faded: Timestamp,
}

impl TargetHealth {
    /// A target that is taken to be good.
    pub fn new(now: Timestamp) -> Self {
        TargetHealth { good: 0.0, bad: 0.0, failed_calls: 0.0, faded: now }
    }

    /// The target has given a good answer.
    pub fn record_good(&mut self, now: Timestamp) {
        self.fade(now);
        self.good += 1.0;
    }

    /// The target has refused, lost or spoiled a call.
    pub fn record_bad(&mut self, now: Timestamp) {
        self.fade(now);
        self.bad += 1.0;
    }

    /// A call that the target made has failed.
    pub fn record_downstream_failure(&mut self, now: Timestamp) {
        self.fade(now);
        self.failed_calls += 1.0;
    }

    /// The target has answered with an error: its own, unless a call that it made has failed.
    pub fn record_error(&mut self, now: Timestamp) {
        self.fade(now);
        if self.failed_calls >= 0.5 {
            self.failed_calls = (self.failed_calls - 1.0).max(0.0);
        } else {
            self.bad += 1.0;
        }
    }

    /// The share of good answers.
    pub fn good_share(&mut self, now: Timestamp) -> f64 {
        self.fade(now);
        let good = self.good + ASSUMED_GOOD;
        good / (good + self.bad)
    }

    fn fade(&mut self, now: Timestamp) {
        let elapsed = now.since(self.faded).as_secs_f64();
        self.faded = now;
        let kept = (-elapsed / COUNTED_OVER).exp();
        self.good *= kept;
        self.bad *= kept;
        self.failed_calls *= kept;
    }
}
