//! Estimates the typical service time of a class of calls, for refusing calls that cannot finish in time.
//!
//! The estimate is a low expectile of the measured times: shorter samples pull it down faster than longer ones pull it up.
//! Three guards keep a bad phase from poisoning it: a sample counts at most twice the estimate, the estimate is at most a
//! set share of the class's deadline, and without samples it decays. The last one matters most: a too high estimate
//! refuses every call and thus gets no sample that could correct it.

use std::time::Duration;

use quillhatch_types::Timestamp;

const DOWNWARD_GAIN: f64 = 0.2;
const UPWARD_GAIN: f64 = 0.05;
const MAX_SAMPLE_RATIO: f64 = 2.0;
const MAX_DEADLINE_SHARE: f64 = 0.5;
/// Without a sample for this long the estimate halves, and again after each further such span.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The typical service time of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    last_sample: Timestamp,
}

impl ServiceTime {
    /// Takes in the measured time of a call that was served.
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

    /// The estimate at `now`, at most a share of `deadline`.
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
