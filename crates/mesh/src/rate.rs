//! The rate of events, measured over a short time.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The number of standard deviations by which a measured count may be too high by chance.
const CHANCE_DEVIATIONS: f64 = 1.0;

/// An exponentially decaying average of events per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    per_second: f64,
    at: Timestamp,
    time_constant: Duration,
}

impl DecayingRate {
    /// Creates a rate without events, at `now`. An event that happened `time_constant` ago counts for about a third. A
    /// change becomes visible after half of that time.
    pub(crate) fn new(time_constant: Duration, now: Timestamp) -> Self {
        DecayingRate { per_second: 0.0, at: now, time_constant }
    }

    /// The events per second at `now`.
    pub(crate) fn at(self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / self.time_constant.as_secs_f64()).exp()
    }

    /// A lower estimate of the events per second at `now`: random events come in clusters, so the measured count may be
    /// too high by chance.
    pub(crate) fn lower_estimate(self, now: Timestamp) -> f64 {
        let count = self.at(now) * self.time_constant.as_secs_f64();
        (count - CHANCE_DEVIATIONS * count.sqrt()).max(0.0) / self.time_constant.as_secs_f64()
    }

    /// Adds events, or removes some if the number is negative.
    pub(crate) fn add(&mut self, events: f64, now: Timestamp) {
        self.per_second = (self.at(now) + events / self.time_constant.as_secs_f64()).max(0.0);
        self.at = now;
    }
}
