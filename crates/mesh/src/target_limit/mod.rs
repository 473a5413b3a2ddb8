//! Rate limits that targets announce in their responses, each for all machines together.
//!
//! Every call to a target passes the gate on the target's machine, so the gate enforces the limit
//! ([`TargetRateLimiter`]): a token bucket counts each request that it sends. Nothing is divided among the nodes, so
//! their number doesn't matter.
//!
//! The edges keep the calls that don't fit away from the gate ([`RateLimitTable`]). The gate reports a **share**: the
//! part of its service's calls for which an edge should consider the target. It follows from the calls that arrive,
//! whichever nodes they come from. While an edge has an old share, the gate refuses what exceeds the limit, and the
//! edge chooses another target.
//!
//! A gate that has just started knows no limit until the target has responded, which may take as long as a call. The
//! edges that know the limit send it with their calls, and the gate uses it until then.

mod limiter;
mod table;

use std::time::Duration;

use crate::targets::RunningAt;

pub use limiter::TargetRateLimiter;
pub use table::RateLimitTable;

/// The rate limit that a process of a target has announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// The calls per second that the target accepts.
    pub per_second: f64,
    /// When that process was running.
    pub running_at: RunningAt,
}

/// The rate limit of a target, as its gate reports it to edges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitReport {
    /// The limit.
    pub limit: AnnouncedLimit,
    /// The share of the calls of the target's service for which an edge should consider it.
    pub share: f64,
}

/// What a gate knows of the rate limit of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum KnownLimit {
    /// Nothing: the target has not responded yet, or another one runs there now.
    #[default]
    Unknown,
    /// The last response of the target had no limit. If it had one before, with the time at which its process was
    /// running.
    Unlimited(RunningAt),
    /// The target has this limit.
    Limited(RateLimitReport),
}

/// The refusal of a call that exceeds the rate limit of its target. The call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimited {
    /// The time after which such a call will probably be accepted.
    pub wait: Duration,
}

/// The precedence of a call among those that compete for a limit: 0 is the highest, and all are below 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Precedence(f64);

impl Precedence {
    /// The precedence of a call with this priority, of `priorities` in use. Of the same priority, nested calls come
    /// first, since work was already done for them.
    pub fn new(priority: u8, is_root: bool, priorities: u32) -> Self {
        let step = f64::from(priority) + if is_root { 0.5 } else { 0.0 };
        Precedence((step / f64::from(priorities.max(1))).min(1.0))
    }
}
