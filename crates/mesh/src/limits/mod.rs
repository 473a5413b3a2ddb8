//! Limits of tenants over all nodes together.
//!
//! No shared state can be written, so nodes agree by messages. One of them is the **coordinator**: the first one that answers, in an
//! order of machines that is the same everywhere ([`coordinator_candidates`]). Each node reports several times a second how often each tenant's calls
//! arrive and are let in; the answer tells the share of each tenant's calls to let in. So a tenant whose calls all arrive at one node
//! gets its whole rate, and so does one whose calls are spread over all.
//!
//! Whatever is cut in two, all nodes together stay within the bound: a coordinator hands out the part of the rate that falls to the nodes
//! that report to it, and a node that no coordinator answers has the part that falls to one node. These parts add up to the rate and a
//! piece of the tolerance, so that a few missing nodes take nothing away from the others.
//!
//! Calls of a tenant that begin at many nodes at once would pass its limit within one period, so a node at which a tenant's calls rise reports
//! that at once ([`TenantSurge`]), and the coordinator tells all nodes as soon as a share falls steeply.
//!
//! A report holds rates, not counts, and the coordinator keeps nothing that it can't learn anew from one report of each node. So a lost
//! message does no harm, and the next coordinator knows the demand within one period.

mod choice;
mod coordinator;
mod local;
mod rate;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

pub use choice::CoordinatorChoice;
pub use coordinator::LimitCoordinator;
pub use local::{LocalLimits, OverLimit};

use crate::tenants::RateLimit;

/// The least time between two reports of a node.
const SHORTEST_PERIOD: Duration = Duration::from_millis(300);
/// The most reports that a coordinator takes in a second: some hundredths of a core, at some tens of microseconds each.
const MOST_REPORTS: f64 = 800.0;
/// The part of the tolerance that is handed out beyond the rate; the rest is for what reports lag behind.
const TOLERANCE_PART: f64 = 0.6;
/// By which factor calls must arrive more often than regular reports show to be a surge.
const SURGE_FACTOR: f64 = 2.0;

/// The part of the slack that counts as burst: the rate of a tenant with some calls a second is measured from one or two of them, and a
/// burst as small would refuse it below its limit.
const SLACK_PART: f64 = 0.25;

/// What the operators allow beyond limits, and over which time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Calls are counted over this time.
    pub window: Duration,
    /// The share of a limit by which it may be passed.
    pub tolerance: f64,
    /// The calls by which it may be passed besides.
    pub slack: f64,
}

impl LimitBounds {
    /// By how much all parts of a rate together may be more than the rate.
    fn part_scale(&self) -> f64 {
        1.0 + TOLERANCE_PART * self.tolerance
    }

    /// The part of a limit that is handed out, never more than the whole, with a piece of the slack.
    fn handed_out(&self, limit: RateLimit, part: f64) -> RateLimit {
        let part = part.min(1.0);
        RateLimit { rate: limit.rate * part, burst: (limit.burst + self.slack * SLACK_PART) * part }
    }
}

/// How often the calls of a tenant arrive at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// Calls a second that arrive.
    pub arriving: f64,
    /// Calls a second that are let in.
    pub admitted: f64,
}

/// Calls of a tenant that have arrived at a node since it reported last, told before the next regular report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantSurge {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The calls.
    pub calls: u32,
}

/// The share of a tenant's calls that is let in.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The share, below one; tenants that are not named are let in whole.
    pub share: f64,
}

/// How often each of `machines` nodes reports.
pub fn report_period(machines: usize) -> Duration {
    SHORTEST_PERIOD.max(Duration::from_secs_f64(machines as f64 / MOST_REPORTS))
}

/// The place of a machine in an order that is the same at all nodes.
pub fn machine_hash(machine: IpAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    machine.hash(&mut hasher);
    hasher.finish()
}

/// The machines in the order in which they are asked to coordinate.
pub fn coordinator_candidates(mut machines: Vec<IpAddr>) -> Vec<IpAddr> {
    machines.sort_unstable_by_key(|machine| (machine_hash(*machine), *machine));
    machines.dedup();
    machines
}
