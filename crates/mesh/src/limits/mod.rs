//! Limits of tenants that hold for the whole fleet.
//!
//! Nodes can't write to shared state, so they agree by messages. One of them is the **coordinator**: the first one that
//! responds, in an order of machines that is the same at all nodes ([`coordinator_candidates`]). Several times a
//! second, each node reports how many calls of each tenant arrive and how many it admits, and the response contains the
//! share of each tenant's calls to admit. So a tenant gets its whole rate both if all its calls arrive at one node and
//! if they are spread over all nodes.
//!
//! All nodes together stay within the bound in any network partition: a coordinator hands out the part of the rate that
//! corresponds to the nodes that report to it, and a node without a coordinator has the part of one node. These parts
//! add up to the rate plus a fraction of the tolerance, so that a few missing nodes take nothing away from the others.
//!
//! A tenant whose calls start to arrive at many nodes at once would exceed its limit within one period. So a node at
//! which the calls of a tenant increase reports this at once ([`TenantSurge`]), and the coordinator sends the shares to
//! all nodes as soon as one drops steeply.
//!
//! A report contains rates, not counts, and the coordinator keeps no state that it can't rebuild from one report of
//! each node. So a lost message does no harm, and a new coordinator knows the demand within one period.

mod choice;
mod coordinator;
mod local;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

pub use choice::CoordinatorChoice;
pub use coordinator::LimitCoordinator;
pub use local::{LocalLimits, OverLimit};

use crate::tenants::RateLimit;

/// The minimum time between two reports of a node.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(300);
/// The maximum number of reports that a coordinator receives per second: they take a few hundredths of a core, at a few
/// tens of microseconds each.
const MAX_REPORTS_PER_SECOND: f64 = 800.0;
/// The fraction of the tolerance that is handed out beyond the rate. The rest makes up for the lag of the reports.
const TOLERANCE_FRACTION: f64 = 0.6;
/// The factor by which the rate of arriving calls must exceed the rate of the regular reports to count as a surge.
const SURGE_FACTOR: f64 = 2.0;

/// The fraction of the slack that is added to the burst. The rate of a tenant with few calls per second is measured
/// from only one or two of them, so a burst of its own size would refuse calls below the limit.
const SLACK_FRACTION: f64 = 0.25;

/// By how much the operators allow limits to be exceeded, and over which time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// The time over which calls are counted.
    pub window: Duration,
    /// The fraction of a limit by which it may be exceeded.
    pub tolerance: f64,
    /// The number of calls by which it may be exceeded in addition.
    pub slack: f64,
}

impl LimitBounds {
    /// The sum of the parts of a rate that are handed out, relative to the rate.
    fn part_scale(&self) -> f64 {
        1.0 + TOLERANCE_FRACTION * self.tolerance
    }

    /// The given part of a limit, at most the whole limit, with a fraction of the slack added to the burst.
    fn handed_out(&self, limit: RateLimit, part: f64) -> RateLimit {
        let part = part.min(1.0);
        RateLimit { rate: limit.rate * part, burst: (limit.burst + self.slack * SLACK_FRACTION) * part }
    }
}

/// The calls of a tenant at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The calls per second that arrive.
    pub arriving: f64,
    /// The calls per second that are admitted.
    pub admitted: f64,
}

/// The calls of a tenant that have arrived at a node since its last report, sent before the next regular report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantSurge {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The number of calls.
    pub calls: u32,
}

/// The share of a tenant's calls to admit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The share, below 1. All calls of tenants without a share are admitted.
    pub share: f64,
}

/// The time between two reports of each of `machines` nodes.
pub fn report_period(machines: usize) -> Duration {
    MIN_REPORT_PERIOD.max(Duration::from_secs_f64(machines as f64 / MAX_REPORTS_PER_SECOND))
}

/// A hash by which machines are ordered in the same way at all nodes.
pub fn machine_hash(machine: IpAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    machine.hash(&mut hasher);
    hasher.finish()
}

/// The machines in the order in which nodes try them as coordinators.
pub fn coordinator_candidates(mut machines: Vec<IpAddr>) -> Vec<IpAddr> {
    machines.sort_unstable_by_key(|machine| (machine_hash(*machine), *machine));
    machines.dedup();
    machines
}
