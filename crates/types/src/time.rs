//! Monotonic time, which the driver passes to the decision code.

use std::ops::{Add, Sub};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an arbitrary start.
///
/// Timestamps of different processes must never be compared; nodes only send each other durations.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0}us")]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Builds a timestamp from whole milliseconds since the start of the clock.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Timestamp(milliseconds * 1_000)
    }

    /// The duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The duration from `self` until `later`, or zero if `later` has passed.
    pub fn until(self, later: Timestamp) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(microseconds))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(microseconds))
    }
}
