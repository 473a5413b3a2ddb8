//! Estimates the typical service time of a class of calls, so that calls that cannot finish in time can be refused.
//!
//! The estimate is a low expectile of the measured times: shorter samples lower it faster than longer ones raise it.
//! Three guards limit the effect of a slow phase: a sample counts as at most twice the estimate, the estimate is at
//! most a fixed share of the class's deadline, and without samples it decays. The decay matters most: an estimate that
//! is too high refuses every call, so no sample arrives that could correct it.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// Weight of a sample below the estimate.
const DOWNWARD_GAIN: f64 = 0.2;
/// Weight of a sample above the estimate.
const UPWARD_GAIN: f64 = 0.05;
/// The maximum ratio of a sample to the estimate; longer samples are reduced to it.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// The maximum estimate as a share of the class's deadline.
const MAX_DEADLINE_SHARE: f64 = 0.5;
/// After this long without a sample the estimate starts to decay, and halves once per half-life from then on.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The estimated service time of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    last_sample: Timestamp,
}

impl ServiceTime {
    /// Records the measured time of a served call.
    pub(super) fn record(&mut self, now: Timestamp, measured: Duration) {
        let sample = measured.as_secs_f64();
        let current = self.decayed(now);
        self.last_sample = now;
        if current <= 0.0 {
            self.seconds = sample;
            return;
        }
        let sample = sample.min(current * MAX_SAMPLE_RATIO);
        let gain = if sample < current { DOWNWARD_GAIN } else { UPWARD_GAIN };
        self.seconds = current + gain * (sample - current);
    }

    /// The estimate at `now`, capped at [`MAX_DEADLINE_SHARE`] of `deadline`.
    pub(super) fn estimate(&self, now: Timestamp, deadline: Duration) -> Duration {
        let bound = deadline.as_secs_f64() * MAX_DEADLINE_SHARE;
        Duration::from_secs_f64(self.decayed(now).min(bound))
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let sample_age = now.since(self.last_sample);
        if sample_age <= HALF_LIFE {
            return self.seconds;
        }
        self.seconds * 0.5_f64.powf((sample_age - HALF_LIFE).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
