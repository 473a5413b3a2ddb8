//! The deadline of one call: the earliest of the limits set by the caller, the class and the parent.
//!
//! Nodes send each other only durations; each edge converts a duration to a time on its own monotonic clock.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The deadline of a call, and the minimum time that its service needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deadline {
    at: Timestamp,
    minimum_time: Duration,
}

impl Deadline {
    /// Creates the deadline of a call that arrives at `now`: the smallest of the given limits, or `now` if none is
    /// given.
    pub(crate) fn new(now: Timestamp, limits: [Option<Duration>; 3], minimum_time: Duration) -> Self {
        let remaining = limits.into_iter().flatten().min().unwrap_or(Duration::ZERO);
        Deadline { at: now + remaining, minimum_time }
    }

    /// The time at which the call expires.
    pub(crate) fn at(&self) -> Timestamp {
        self.at
    }

    /// The time left.
    pub(crate) fn remaining(&self, now: Timestamp) -> Duration {
        now.until(self.at)
    }

    /// The time left beyond the service's minimum time, which is available for waiting.
    pub(crate) fn spare(&self, now: Timestamp) -> Duration {
        self.remaining(now).saturating_sub(self.minimum_time)
    }

    /// Whether an attempt sent at `now` could still be answered in time.
    pub(crate) fn leaves_time(&self, now: Timestamp) -> bool {
        let remaining = self.remaining(now);
        !remaining.is_zero() && remaining >= self.minimum_time
    }
}
