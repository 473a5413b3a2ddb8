//! The share of good responses of a target, as measured by the gate in front of it.
//!
//! A target may refuse, lose or corrupt a part of its calls while it is fast and its health check is good, and its
//! short queue attracts more of them. Its gate sees all of its calls; an edge sees only its own, in a large service
//! less than one a second for each target. So the gate counts, and its reports carry the share of good responses.
//!
//! A target also responds with an error when a call that it makes itself has failed. The gate's node sees those calls
//! fail at its edge, and doesn't count as many of the target's errors against it.

use quillhatch_types::Timestamp;

/// The time constant, in seconds, over which responses are counted: some dozens at a target with thirty calls a second.
const COUNT_TIME_CONSTANT_S: f64 = 1.0;
/// The number of good responses assumed before the first one, since a few responses are too little evidence.
const ASSUMED_GOOD_RESPONSES: f64 = 5.0;

/// The responses of one target, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct TargetHealth {
    good: f64,
    bad: f64,
    /// Failed calls of the target that excuse errors in its responses.
    downstream_failures: f64,
    decayed_at: Timestamp,
}

impl TargetHealth {
    /// A target without any responses, which counts as healthy.
    pub fn new(now: Timestamp) -> Self {
        TargetHealth { good: 0.0, bad: 0.0, downstream_failures: 0.0, decayed_at: now }
    }

    /// Records a good response.
    pub fn record_good(&mut self, now: Timestamp) {
        self.decay(now);
        self.good += 1.0;
    }

    /// Records that the target refused, lost or corrupted a call.
    pub fn record_bad(&mut self, now: Timestamp) {
        self.decay(now);
        self.bad += 1.0;
    }

    /// Records that a call made by the target has failed.
    pub fn record_downstream_failure(&mut self, now: Timestamp) {
        self.decay(now);
        self.downstream_failures += 1.0;
    }

    /// Records that the target responded with an error. It counts as bad unless a call made by the target has failed
    /// before.
    pub fn record_error(&mut self, now: Timestamp) {
        self.decay(now);
        if self.downstream_failures >= 0.5 {
            self.downstream_failures = (self.downstream_failures - 1.0).max(0.0);
        } else {
            self.bad += 1.0;
        }
    }

    /// Returns the share of good responses.
    pub fn good_share(&mut self, now: Timestamp) -> f64 {
        self.decay(now);
        let good = self.good + ASSUMED_GOOD_RESPONSES;
        good / (good + self.bad)
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let remaining = (-elapsed / COUNT_TIME_CONSTANT_S).exp();
        self.good *= remaining;
        self.bad *= remaining;
        self.downstream_failures *= remaining;
    }
}
