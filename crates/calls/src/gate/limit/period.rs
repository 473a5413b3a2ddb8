//! The measurements of the adaptive limit in the current period.

use quillhatch_types::Timestamp;

/// The measurements since `start`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeriodMeasurements {
    pub(super) start: Timestamp,
    last_change: Timestamp,
    pub(super) running: u32,
    running_seconds: f64,
    pub(super) samples: u32,
    pub(super) refused: u32,
    pub(super) latency_sum: f64,
    pub(super) blocked: bool,
}

impl PeriodMeasurements {
    /// Adds the running attempts since the last change to their integral over time.
    pub(super) fn integrate(&mut self, now: Timestamp) {
        self.running_seconds += f64::from(self.running) * now.since(self.last_change).as_secs_f64();
        self.last_change = self.last_change.max(now);
    }

    /// The mean number of running attempts since `start`.
    pub(super) fn concurrency(&self, now: Timestamp) -> f64 {
        let length = now.since(self.start).as_secs_f64();
        if length > 0.0 {
            self.running_seconds / length
        } else {
            f64::from(self.running)
        }
    }

    /// Starts a new period; only the number of running attempts carries over.
    pub(super) fn restart(&mut self, now: Timestamp) {
        *self =
            PeriodMeasurements { start: now, last_change: now, running: self.running, ..PeriodMeasurements::default() };
    }
}
