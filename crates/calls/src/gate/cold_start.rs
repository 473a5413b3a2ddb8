//! Ramps up the concurrency limit of a back end after a cold start.
//!
//! The ramp starts with the first dispatch, because an idle back end does not warm up. It starts again after several
//! failed connections in a row, because the back end has then probably restarted. It rises with time and, faster, with
//! each answer: a gate cannot tell a warm back end from a cold one, and holding back a warm one refuses calls
//! needlessly.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The share of the configured slots at which the ramp starts.
const INITIAL_SHARE: f64 = 0.25;
/// How many slots each answer adds to the ramp; under load the limit grows by this share per service time.
const SLOTS_PER_ANSWER: f64 = 0.5;
/// The number of failed connections in a row after which the back end is assumed to have restarted.
const RESTART_FAILURES: u32 = 3;

/// The state of the ramp-up.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    duration: Duration,
    started: Option<Timestamp>,
    finished: bool,
    failures: u32,
    answers: u32,
}

impl ColdStart {
    pub(super) fn new(duration: Duration) -> Self {
        ColdStart { duration, started: None, finished: duration.is_zero(), failures: 0, answers: 0 }
    }

    /// Records that an attempt was dispatched.
    pub(super) fn dispatched(&mut self, now: Timestamp) {
        self.started.get_or_insert(now);
    }

    /// Records that the back end answered.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
    }

    /// Records that the back end could not be reached.
    pub(super) fn connect_failed(&mut self) {
        self.failures += 1;
        if self.failures >= RESTART_FAILURES && !self.duration.is_zero() {
            self.started = None;
            self.answers = 0;
            self.finished = false;
        }
    }

    /// The maximum limit at `now`, or `None` once the ramp has reached the configured slots.
    pub(super) fn cap(&mut self, now: Timestamp, slots: u32) -> Option<f64> {
        if self.finished {
            return None;
        }
        let slots = f64::from(slots);
        let elapsed = self.started.map(|started| now.since(started)).unwrap_or_default();
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
