//! Raises the limit of a back end that starts cold step by step.
//!
//! The ramp begins with the first dispatch, since an idle back end does not warm up, and again after the back end could not
//! be reached several times in a row, since it was then likely restarted.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The share of the configured slots at which the ramp begins.
const INITIAL_SHARE: f64 = 0.25;
/// Failed connections in a row after which the back end counts as restarted.
const RESTART_FAILURES: u32 = 3;

/// The state of the ramp.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    duration: Duration,
    began: Option<Timestamp>,
    finished: bool,
    failures: u32,
}

impl ColdStart {
    pub(super) fn new(duration: Duration) -> Self {
        ColdStart { duration, began: None, finished: duration.is_zero(), failures: 0 }
    }

    /// An attempt was dispatched.
    pub(super) fn dispatched(&mut self, now: Timestamp) {
        self.began.get_or_insert(now);
    }

    /// The back end answered.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
    }

    /// The back end could not be reached.
    pub(super) fn unreachable(&mut self) {
        self.failures += 1;
        if self.failures >= RESTART_FAILURES && !self.duration.is_zero() {
            self.began = None;
            self.finished = false;
        }
    }

    /// The largest limit at `now`, or `None` once the ramp is over.
    pub(super) fn cap(&mut self, now: Timestamp, slots: u32) -> Option<f64> {
        if self.finished {
            return None;
        }
        let elapsed = self.began.map(|began| now.since(began)).unwrap_or_default();
        if elapsed >= self.duration {
            self.finished = true;
            return None;
        }
        let progress = elapsed.as_secs_f64() / self.duration.as_secs_f64();
        Some(f64::from(slots) * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress))
    }
}
