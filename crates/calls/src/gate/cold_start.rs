//! Raises the limit of a back end that starts cold step by step.
//!
//! The ramp begins with the first dispatch, since an idle back end does not warm up, and again after the back end could not
//! be reached several times in a row, since it was then likely restarted. It rises with time and, faster, with each answer:
//! a gate cannot tell a warm back end from a cold one, and a warm one that is held back refuses calls for nothing.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The share of the configured slots at which the ramp begins.
const INITIAL_SHARE: f64 = 0.25;
/// The part of a slot by which each answer raises the ramp; under load the limit grows by this share per service time.
const SLOTS_PER_ANSWER: f64 = 0.5;
/// Failed connections in a row after which the back end counts as restarted.
const RESTART_FAILURES: u32 = 3;

/// The state of the ramp.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    duration: Duration,
    began: Option<Timestamp>,
    finished: bool,
    failures: u32,
    answers: u32,
}

impl ColdStart {
    pub(super) fn new(duration: Duration) -> Self {
        ColdStart { duration, began: None, finished: duration.is_zero(), failures: 0, answers: 0 }
    }

    /// An attempt was dispatched.
    pub(super) fn dispatched(&mut self, now: Timestamp) {
        self.began.get_or_insert(now);
    }

    /// The back end answered.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
    }

    /// The back end could not be reached.
    pub(super) fn unreachable(&mut self) {
        self.failures += 1;
        if self.failures >= RESTART_FAILURES && !self.duration.is_zero() {
            self.began = None;
            self.answers = 0;
            self.finished = false;
        }
    }

    /// The largest limit at `now`, or `None` once the ramp is over.
    pub(super) fn cap(&mut self, now: Timestamp, slots: u32) -> Option<f64> {
        if self.finished {
            return None;
        }
        let slots = f64::from(slots);
        let elapsed = self.began.map(|began| now.since(began)).unwrap_or_default();
        let by_time = slots * (1.0 - INITIAL_SHARE) * (elapsed.as_secs_f64() / self.duration.as_secs_f64());
        let by_answers = SLOTS_PER_ANSWER * f64::from(self.answers);
        let cap = slots * INITIAL_SHARE + by_time.max(by_answers);
        if cap >= slots {
            self.finished = true;
            return None;
        }
        Some(cap)
    }
}
