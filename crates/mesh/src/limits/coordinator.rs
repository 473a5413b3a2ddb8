//! The coordinator's side: how many calls of each tenant all nodes together admit, and the share that keeps them within
//! the limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{LimitBounds, TenantShare, TenantSurge, TenantUsage, SURGE_FACTOR};
use crate::rate::DecayingRate;
use crate::tenants::RateLimit;

/// How long nodes must have reported before shares are sent, in periods ([`super::report_period`]): by then each of
/// them has reported once.
const SETTLING_PERIODS: f64 = 1.2;
/// How long a node's report is valid, in periods. A node whose reports are lost for longer falls back to its own part
/// of the limit.
const REPORT_VALIDITY_PERIODS: f64 = 4.5;
/// The time in which a burst is admitted, as a fraction of the window: longer than a new share takes to show its effect
/// in the reports.
const BURST_TIME_FRACTION: f64 = 0.15;
/// The minimum time in which a burst is admitted, in periods: in a large fleet, that effect takes longer than the
/// fraction of the window.
const MIN_BURST_PERIODS: u32 = 2;
/// The time in which calls admitted beyond the limit are compensated, as a fraction of the window. With a shorter time
/// the share oscillates, and nearly all calls are refused for a second or two.
const COMPENSATION_TIME_FRACTION: f64 = 0.4;
/// The minimum rate that is admitted during the compensation, as a fraction of the limit's rate.
const MIN_RATE_FRACTION: f64 = 0.2;

/// The time constant of the rate of surges. With a shorter one the burst of a single caller counts as a surge.
const SURGE_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// A new share that is below this fraction of the share known to the nodes is sent to all of them at once.
const STEEP_DROP_FRACTION: f64 = 0.75;
/// The maximum number of updates of shares sent per second: they take a tenth of a core, at a few microseconds each.
const MAX_UPDATES_PER_SECOND: f64 = 30_000.0;

/// The last report of a node.
#[derive(Clone, Debug, Default)]
struct NodeReport {
    received: Timestamp,
    usages: Vec<TenantUsage>,
}

/// The calls of one tenant at all nodes.
#[derive(Clone, Copy, Debug)]
struct TenantDemand {
    /// The calls per second that arrive, according to the regular reports.
    arriving: f64,
    /// The calls per second that are admitted, according to the regular reports.
    admitted: f64,
    /// The calls that may be admitted beyond the rate; negative if too many were admitted.
    balance: f64,
    updated: Timestamp,
    /// The rate of calls in reports of surges.
    surge: DecayingRate,
    /// The share that was sent last.
    share: f64,
    /// The highest share that any node may know, and since when.
    max_known_share: f64,
    max_known_since: Timestamp,
}

impl TenantDemand {
    fn new(balance: f64, now: Timestamp) -> Self {
        TenantDemand {
            arriving: 0.0,
            admitted: 0.0,
            balance,
            updated: now,
            surge: DecayingRate::new(SURGE_TIME_CONSTANT, now),
            share: 1.0,
            max_known_share: 1.0,
            max_known_since: now,
        }
    }

    /// The calls per second according to reports of surges, if the regular reports contain far fewer.
    fn surge(&self, now: Timestamp) -> Option<f64> {
        Some(self.surge.lower_estimate(now)).filter(|surge| *surge > self.arriving * SURGE_FACTOR)
    }

    fn advance(&mut self, limit: RateLimit, window: Duration, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let min_balance = -limit.rate * window.as_secs_f64();
        let admitted = self.surge(now).map_or(self.admitted, |surge| self.admitted.max(surge * self.share));
        self.balance = (self.balance + (limit.rate - admitted) * elapsed).clamp(min_balance, limit.burst);
    }

    /// Updates and returns the current share. All nodes receive it in the responses to their reports, so after a period
    /// none knows a higher one.
    fn update_share(&mut self, limit: RateLimit, window: Duration, period: Duration) -> f64 {
        let now = self.updated;
        self.share = self.share_at(limit, window, period);
        if self.share > self.max_known_share || now.since(self.max_known_since) > period {
            (self.max_known_share, self.max_known_since) = (self.share, now);
        }
        self.share
    }

    fn share_at(&self, limit: RateLimit, window: Duration, period: Duration) -> f64 {
        let balancing_time = match self.balance > 0.0 {
            true => window.mul_f64(BURST_TIME_FRACTION).max(period * MIN_BURST_PERIODS),
            false => window.mul_f64(COMPENSATION_TIME_FRACTION),
        };
        let allowed = limit.rate + self.balance / balancing_time.as_secs_f64();
        let allowed = allowed.max(limit.rate * MIN_RATE_FRACTION);
        let arriving = self.surge(self.updated).unwrap_or(self.arriving);
        if arriving <= allowed {
            return 1.0;
        }
        allowed / arriving
    }
}

/// The state of a coordinator: the reports of the nodes.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    bounds: LimitBounds,
    nodes: HashMap<IpAddr, NodeReport>,
    demands: HashMap<Arc<str>, TenantDemand>,
    /// Since when nodes have reported to this one. How many calls were admitted before is not known.
    since: Option<Timestamp>,
    /// The part of each limit that corresponds to the nodes that report to this one.
    part: f64,
    /// When the shares were last sent to all nodes at once.
    last_urgent_update: Timestamp,
}

impl LimitCoordinator {
    /// Creates a coordinator without reports.
    pub fn new(bounds: LimitBounds) -> Self {
        LimitCoordinator {
            bounds,
            nodes: HashMap::new(),
            demands: HashMap::new(),
            since: None,
            part: 0.0,
            last_urgent_update: Timestamp::ZERO,
        }
    }

    /// Applies the report of one of `machines` nodes that each report once per `period`, and returns the shares of the
    /// tenants that exceed their limits.
    pub fn apply_report(
        &mut self,
        node: IpAddr,
        usages: Vec<TenantUsage>,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
        (machines, period): (usize, Duration),
        now: Timestamp,
    ) -> Vec<TenantShare> {
        self.expire(period, &limit_of, now);
        self.replace(node, NodeReport { received: now, usages }, &limit_of, now);
        self.part = self.bounds.part_scale() * self.nodes.len() as f64 / machines.max(1) as f64;
        self.shares(limit_of, period, now)
    }

    /// Applies a node's report of surges, and returns the shares of the tenants that exceed their limits.
    pub fn apply_surge_report(
        &mut self,
        surges: &[TenantSurge],
        limit_of: impl Fn(&str) -> Option<RateLimit>,
        period: Duration,
        now: Timestamp,
    ) -> Vec<TenantShare> {
        for surge in surges {
            let Some(demand) = self.current_demand(&surge.tenant, &limit_of, now) else { continue };
            demand.surge.add(f64::from(surge.calls), now);
        }
        self.shares(limit_of, period, now)
    }

    fn shares(
        &mut self,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
        period: Duration,
        now: Timestamp,
    ) -> Vec<TenantShare> {
        let mut shares = Vec::new();
        for (tenant, demand) in &mut self.demands {
            let Some(limit) = limit_of(tenant).map(|limit| self.bounds.handed_out(limit, self.part)) else { continue };
            demand.advance(limit, self.bounds.window, now);
            let share = demand.update_share(limit, self.bounds.window, period);
            if share < 1.0 {
                shares.push(TenantShare { tenant: tenant.clone(), share });
            }
        }
        shares
    }

    /// The nodes that must receive the current shares at once, since a share has dropped so steeply that nodes would
    /// admit far more of the tenant's calls until their next reports. Usually there are none.
    pub fn urgent_update_recipients(&mut self, period: Duration, now: Timestamp) -> Vec<IpAddr> {
        let min_interval = Duration::from_secs_f64(self.nodes.len() as f64 / MAX_UPDATES_PER_SECOND);
        let has_steep_drop =
            self.demands.values().any(|demand| demand.share < demand.max_known_share * STEEP_DROP_FRACTION);
        if !has_steep_drop || !self.is_settled(period, now) || now.since(self.last_urgent_update) < min_interval {
            return Vec::new();
        }
        self.last_urgent_update = now;
        for demand in self.demands.values_mut() {
            (demand.max_known_share, demand.max_known_since) = (demand.share, now);
        }
        self.nodes.keys().copied().collect()
    }

    /// Whether all nodes have had time to report. Until then the demand at most nodes is unknown, and a tenant that
    /// exceeds its limit seems to be below it, so each node uses its own part.
    pub fn is_settled(&self, period: Duration, now: Timestamp) -> bool {
        self.since.is_some_and(|since| now.since(since) >= period.mul_f64(SETTLING_PERIODS))
    }

    /// The number of nodes that report to this one.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    fn expire(&mut self, period: Duration, limit_of: &impl Fn(&str) -> Option<RateLimit>, now: Timestamp) {
        let validity = period.mul_f64(REPORT_VALIDITY_PERIODS);
        let expired: Vec<IpAddr> = self
            .nodes
            .iter()
            .filter(|(_, report)| now.since(report.received) > validity)
            .map(|(node, _)| *node)
            .collect();
        for node in expired {
            self.replace(node, NodeReport::default(), limit_of, now);
            self.nodes.remove(&node);
        }
        if self.nodes.is_empty() {
            self.since = Some(now);
        }
        // A tenant without calls has its whole burst again after some time, just like a tenant that is added anew.
        self.demands.retain(|_, demand| demand.arriving > 1e-6 || now.since(demand.updated) < self.bounds.window);
    }

    fn replace(
        &mut self,
        node: IpAddr,
        report: NodeReport,
        limit_of: &impl Fn(&str) -> Option<RateLimit>,
        now: Timestamp,
    ) {
        let added = report.usages.clone();
        let previous = self.nodes.insert(node, report).unwrap_or_default().usages;
        self.add(&previous, -1.0, limit_of, now);
        self.add(&added, 1.0, limit_of, now);
    }

    fn add(
        &mut self,
        usages: &[TenantUsage],
        sign: f64,
        limit_of: &impl Fn(&str) -> Option<RateLimit>,
        now: Timestamp,
    ) {
        for usage in usages {
            let Some(demand) = self.current_demand(&usage.tenant, limit_of, now) else { continue };
            demand.arriving = (demand.arriving + sign * usage.arriving).max(0.0);
            demand.admitted = (demand.admitted + sign * usage.admitted).max(0.0);
        }
    }

    /// The current demand of a tenant, if it has a limit.
    fn current_demand(
        &mut self,
        tenant: &Arc<str>,
        limit_of: &impl Fn(&str) -> Option<RateLimit>,
        now: Timestamp,
    ) -> Option<&mut TenantDemand> {
        let coordinating_seconds = self.since.map_or(0.0, |since| now.since(since).as_secs_f64());
        let limit = limit_of(tenant).map(|limit| self.bounds.handed_out(limit, self.part))?;
        let initial_balance = limit.burst.min(limit.rate * coordinating_seconds);
        let demand = self.demands.entry(tenant.clone()).or_insert_with(|| TenantDemand::new(initial_balance, now));
        demand.advance(limit, self.bounds.window, now);
        Some(demand)
    }
}
