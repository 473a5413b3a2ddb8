//! The deadline of one call: the earliest of what the caller, the class and the parent allow.
//!
//! Only spans travel between nodes; each edge turns the span into a time on its own monotonic clock.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// When a call ends, and how much time its service needs at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deadline {
    at: Timestamp,
    minimum_time: Duration,
}

impl Deadline {
    /// The deadline of a call that arrives at `now`; a limit that is not given does not count.
    pub(crate) fn new(now: Timestamp, limits: [Option<Duration>; 3], minimum_time: Duration) -> Self {
        let remaining = limits.into_iter().flatten().min().unwrap_or(Duration::ZERO);
        Deadline { at: now + remaining, minimum_time }
    }

    /// When the call ends.
    pub(crate) fn at(&self) -> Timestamp {
        self.at
    }

    /// The time left.
    pub(crate) fn remaining(&self, now: Timestamp) -> Duration {
        now.until(self.at)
    }

    /// The time left beyond what the service needs, which can be spent on waiting.
    pub(crate) fn spare(&self, now: Timestamp) -> Duration {
        self.remaining(now).saturating_sub(self.minimum_time)
    }

    /// Whether an attempt sent at `now` could still be answered in time.
    pub(crate) fn leaves_time(&self, now: Timestamp) -> bool {
        let remaining = self.remaining(now);
        !remaining.is_zero() && remaining >= self.minimum_time
    }
}
