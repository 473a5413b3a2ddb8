//! How often something happens, measured over a short time.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// By how many standard deviations a count is taken to be too great.
const LIKELY_DEVIATIONS: f64 = 1.0;

/// Events a second, fading.
#[derive(Clone, Copy, Debug)]
pub(super) struct FadingRate {
    per_second: f64,
    at: Timestamp,
    measured_over: Duration,
}

impl FadingRate {
    /// No event yet, at `now`. What happened `measured_over` ago counts for a third. Half of that time passes until a change is seen.
    pub(super) fn new(measured_over: Duration, now: Timestamp) -> Self {
        FadingRate { per_second: 0.0, at: now, measured_over }
    }

    /// Events a second at `now`.
    pub(super) fn at(self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / self.measured_over.as_secs_f64()).exp()
    }

    /// Events a second at `now` by the least count that is likely, as random events come in clusters.
    pub(super) fn at_least(self, now: Timestamp) -> f64 {
        let count = self.at(now) * self.measured_over.as_secs_f64();
        (count - LIKELY_DEVIATIONS * count.sqrt()).max(0.0) / self.measured_over.as_secs_f64()
    }

    /// Counts events, or takes some back.
    pub(super) fn add(&mut self, events: f64, now: Timestamp) {
        self.per_second = (self.at(now) + events / self.measured_over.as_secs_f64()).max(0.0);
        self.at = now;
    }
}
