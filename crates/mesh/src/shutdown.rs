//! What a node that was asked to stop still accepts: calls that can finish before its process ends.
//!
//! A call that is at its target when the process ends is lost to its caller, and refusing it before it is sent costs
//! the caller nothing. So each call is accepted by the time that calls of its route take, the calls that they make
//! included ([`RouteDurations::needed`](crate::durations::RouteDurations::needed)). Targets receive a deadline that ends
//! before the process does: a target that takes longer than expected responds itself, instead of working for a caller
//! whose connection is gone. The nodes go on waiting for its response after that deadline.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// How long the node keeps accepting callers after it was asked to stop, until the platform has directed them to other
/// nodes.
///
/// The platform checks readiness once a second, and two failed checks redirect callers.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// The part of the grace period that is reserved at its end for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// The part of the grace period that is reserved for the calls at the target, after the gate has closed. Also the time
/// that a call is expected to take if no call of its route was measured.
const TARGET_DRAIN_TIME: Duration = Duration::from_millis(2200);
/// How long before the end of the process a response is given up that others wait behind: these take a moment to be
/// written.
const UNBLOCK_RESERVE: Duration = Duration::from_millis(400);
/// The part of the grace period, from its start, in which no response is given up that a target works on.
const PROTECTED_FRACTION: f64 = 5.0 / 6.0;
/// How long before the end of the process the last deadline of a target is: it may be late to respond, and its response
/// takes a moment to arrive.
const RESPONSE_RESERVE: Duration = Duration::from_millis(550);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the process was asked to stop.
    requested: Timestamp,
    /// When the process ends at the latest.
    process_end: Timestamp,
    /// When unfinished responses are given up at the earliest.
    protected_until: Timestamp,
}

impl ShutdownSchedule {
    /// The schedule of a process that was asked to stop at `requested` and is killed after `grace`.
    pub fn new(requested: Timestamp, grace: Duration) -> Self {
        ShutdownSchedule {
            requested,
            process_end: requested + grace.saturating_sub(EXIT_RESERVE),
            protected_until: requested + grace.mul_f64(PROTECTED_FRACTION),
        }
    }

    /// When the process was asked to stop.
    pub fn requested(&self) -> Timestamp {
        self.requested
    }

    /// When the platform has directed callers to other nodes.
    pub fn callers_drained_at(&self) -> Timestamp {
        (self.requested + CALLER_DRAIN_TIME).min(self.process_end)
    }

    /// When the gate closes at the latest. External callers are refused from then on.
    pub fn gate_closes_at(&self) -> Timestamp {
        (self.last_response_at() - TARGET_DRAIN_TIME).max(self.requested)
    }

    /// When the process ends at the latest, whatever is still in progress.
    pub fn process_end(&self) -> Timestamp {
        self.process_end
    }

    /// When responses are given up that ready ones wait behind on their connections, so that those can be written.
    pub fn unblocks_at(&self) -> Timestamp {
        (self.process_end - UNBLOCK_RESERVE).max(self.protected_until).min(self.process_end)
    }

    /// The time from `now` until the deadline that a target gets for a call, if that is earlier than `deadline`, until
    /// which its response is waited for.
    pub fn work_time(&self, deadline: Timestamp, now: Timestamp) -> Option<Duration> {
        let work_deadline = self.last_response_at();
        (work_deadline < deadline).then(|| now.until(work_deadline))
    }

    /// Whether a call that is sent now can finish before the process ends. `duration` is the time that it needs, if any
    /// call of its route was measured.
    pub fn can_finish(&self, duration: Option<Duration>, deadline: Timestamp, now: Timestamp) -> bool {
        let finished_at = (now + duration.unwrap_or(TARGET_DRAIN_TIME)).min(deadline);
        finished_at <= self.last_response_at()
    }

    fn last_response_at(&self) -> Timestamp {
        (self.process_end - RESPONSE_RESERVE).max(self.requested)
    }
}
