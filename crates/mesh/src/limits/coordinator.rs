//! The coordinator's side: what all nodes together let in of each tenant, and the share that keeps it within the limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::rate::FadingRate;
use super::{LimitBounds, TenantShare, TenantSurge, TenantUsage, SURGE_FACTOR};
use crate::tenants::RateLimit;

/// For how long nodes must have reported before shares are told, in periods: each of them has reported once by then.
const SETTLED_AFTER: f64 = 1.2;
/// For how long a node's report counts, in periods. A node that is not heard for longer falls back to its own part.
const REPORT_HOLDS: f64 = 4.5;
/// The part of the window in which a burst is let in: more than the time until a share that was told has its effect on what is reported.
const BURST_IN: f64 = 0.15;
/// The periods in which a burst is let in at least: in a large fleet that effect takes longer than a part of the window.
const BURST_PERIODS: u32 = 2;
/// The part of the window in which calls are made up for that were let in beyond the limit. A shorter one swings and refuses nearly all
/// for a second or two.
const REPAID_IN: f64 = 0.4;
/// The least share of what the limit allows that is let in while more than that is made up for.
const LEAST_PART: f64 = 0.2;

/// The time over which surges are measured. A shorter one takes the burst of a single caller for a surge.
const SURGE_OVER: Duration = Duration::from_millis(200);
/// The part of the share that nodes know below which a new one is told to all of them at once.
const STEEP_FALL: f64 = 0.75;
/// The most updates of shares a second: a tenth of a core, at a few microseconds each.
const MOST_UPDATES: f64 = 30_000.0;

/// The last report of a node.
#[derive(Clone, Debug, Default)]
struct NodeReport {
    at: Timestamp,
    usages: Vec<TenantUsage>,
}

/// The calls of one tenant at all nodes.
#[derive(Clone, Copy, Debug)]
struct TenantLevel {
    arriving: f64,
    admitted: f64,
    /// Calls that may be let in beyond the rate; negative if too many were.
    level: f64,
    updated: Timestamp,
    /// Calls in reports of surges.
    surge: FadingRate,
    /// The share that was told last.
    share: f64,
    /// The greatest share that a node may know, and since when.
    known: f64,
    known_at: Timestamp,
}

impl TenantLevel {
    fn new(level: f64, now: Timestamp) -> Self {
        TenantLevel {
            arriving: 0.0,
            admitted: 0.0,
            level,
            updated: now,
            surge: FadingRate::new(SURGE_OVER, now),
            share: 1.0,
            known: 1.0,
            known_at: now,
        }
    }

    /// Calls a second by reports of surges, if regular reports show far fewer.
    fn surge(&self, now: Timestamp) -> Option<f64> {
        Some(self.surge.at_least(now)).filter(|surge| *surge > self.arriving * SURGE_FACTOR)
    }

    fn advance(&mut self, limit: RateLimit, window: Duration, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let least = -limit.rate * window.as_secs_f64();
        let admitted = self.surge(now).map_or(self.admitted, |surge| self.admitted.max(surge * self.share));
        self.level = (self.level + (limit.rate - admitted) * elapsed).clamp(least, limit.burst);
    }

    /// The share that holds now. All nodes hear it with their reports, so after a period none knows a greater one.
    fn tell(&mut self, limit: RateLimit, window: Duration, period: Duration) -> f64 {
        let now = self.updated;
        self.share = self.share_at(limit, window, period);
        if self.share > self.known || now.since(self.known_at) > period {
            (self.known, self.known_at) = (self.share, now);
        }
        self.share
    }

    fn share_at(&self, limit: RateLimit, window: Duration, period: Duration) -> f64 {
        let within = match self.level > 0.0 {
            true => window.mul_f64(BURST_IN).max(period * BURST_PERIODS),
            false => window.mul_f64(REPAID_IN),
        };
        let allowed = limit.rate + self.level / within.as_secs_f64();
        let allowed = allowed.max(limit.rate * LEAST_PART);
        let arriving = self.surge(self.updated).unwrap_or(self.arriving);
        if arriving <= allowed {
            return 1.0;
        }
        allowed / arriving
    }
}

/// What the nodes report to this one.
#[derive(Clone, Debug)]
pub struct LimitCoordinator {
    bounds: LimitBounds,
    nodes: HashMap<IpAddr, NodeReport>,
    levels: HashMap<Arc<str>, TenantLevel>,
    /// Since when nodes report to this one. What was let in before is not known.
    since: Option<Timestamp>,
    /// The part of each limit that falls to the nodes that report here.
    part: f64,
    /// When all nodes were told the shares at once.
    told_all: Timestamp,
}

impl LimitCoordinator {
    /// Nobody has reported yet.
    pub fn new(bounds: LimitBounds) -> Self {
        LimitCoordinator {
            bounds,
            nodes: HashMap::new(),
            levels: HashMap::new(),
            since: None,
            part: 0.0,
            told_all: Timestamp::ZERO,
        }
    }

    /// Takes a report of one of `machines` nodes that each report once in `period`, and tells the shares of the tenants that are beyond
    /// their limits.
    pub fn apply_report(
        &mut self,
        node: IpAddr,
        usages: Vec<TenantUsage>,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
        (machines, period): (usize, Duration),
        now: Timestamp,
    ) -> Vec<TenantShare> {
        self.expire(period, &limit_of, now);
        self.replace(node, NodeReport { at: now, usages }, &limit_of, now);
        self.part = self.bounds.part_scale() * self.nodes.len() as f64 / machines.max(1) as f64;
        self.shares(limit_of, period, now)
    }

    /// Takes what a node tells before its regular report, and tells the shares of the tenants that are beyond their limits.
    pub fn apply_surge_report(
        &mut self,
        surges: &[TenantSurge],
        limit_of: impl Fn(&str) -> Option<RateLimit>,
        period: Duration,
        now: Timestamp,
    ) -> Vec<TenantShare> {
        for surge in surges {
            let Some(level) = self.level(&surge.tenant, &limit_of, now) else { continue };
            level.surge.add(f64::from(surge.calls), now);
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
        for (tenant, level) in &mut self.levels {
            let Some(limit) = limit_of(tenant).map(|limit| self.bounds.handed_out(limit, self.part)) else { continue };
            level.advance(limit, self.bounds.window, now);
            let share = level.tell(limit, self.bounds.window, period);
            if share < 1.0 {
                shares.push(TenantShare { tenant: tenant.clone(), share });
            }
        }
        shares
    }

    /// The nodes to which the shares that were told last must go at once: a share has fallen so steeply that nodes would let in far more of
    /// the tenant's calls until their next reports. None mostly.
    pub fn urgent_update_recipients(&mut self, period: Duration, now: Timestamp) -> Vec<IpAddr> {
        let pause = Duration::from_secs_f64(self.nodes.len() as f64 / MOST_UPDATES);
        let falls = self.levels.values().any(|level| level.share < level.known * STEEP_FALL);
        if !falls || !self.is_settled(period, now) || now.since(self.told_all) < pause {
            return Vec::new();
        }
        self.told_all = now;
        for level in self.levels.values_mut() {
            (level.known, level.known_at) = (level.share, now);
        }
        self.nodes.keys().copied().collect()
    }

    /// Whether all nodes have had the time to report. Until then the demand of most is not known, and a tenant beyond its limit seems to be
    /// below it; each node has its own part meanwhile.
    pub fn is_settled(&self, period: Duration, now: Timestamp) -> bool {
        self.since.is_some_and(|since| now.since(since) >= period.mul_f64(SETTLED_AFTER))
    }

    /// The nodes that report to this one.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    fn expire(&mut self, period: Duration, limit_of: &impl Fn(&str) -> Option<RateLimit>, now: Timestamp) {
        let held = period.mul_f64(REPORT_HOLDS);
        let gone: Vec<IpAddr> =
            self.nodes.iter().filter(|(_, report)| now.since(report.at) > held).map(|(node, _)| *node).collect();
        for node in gone {
            self.replace(node, NodeReport::default(), limit_of, now);
            self.nodes.remove(&node);
        }
        if self.nodes.is_empty() {
            self.since = Some(now);
        }
        // A tenant without calls has its whole burst again after some time, as one that is not known has when it comes.
        self.levels.retain(|_, level| level.arriving > 1e-6 || now.since(level.updated) < self.bounds.window);
    }

    fn replace(
        &mut self,
        node: IpAddr,
        report: NodeReport,
        limit_of: &impl Fn(&str) -> Option<RateLimit>,
        now: Timestamp,
    ) {
        let added = report.usages.clone();
        let former = self.nodes.insert(node, report).unwrap_or_default().usages;
        self.add(&former, -1.0, limit_of, now);
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
            let Some(level) = self.level(&usage.tenant, limit_of, now) else { continue };
            level.arriving = (level.arriving + sign * usage.arriving).max(0.0);
            level.admitted = (level.admitted + sign * usage.admitted).max(0.0);
        }
    }

    /// The level of a tenant as it is now, if it has a limit.
    fn level(
        &mut self,
        tenant: &Arc<str>,
        limit_of: &impl Fn(&str) -> Option<RateLimit>,
        now: Timestamp,
    ) -> Option<&mut TenantLevel> {
        let known_for = self.since.map_or(0.0, |since| now.since(since).as_secs_f64());
        let limit = limit_of(tenant).map(|limit| self.bounds.handed_out(limit, self.part))?;
        let first = limit.burst.min(limit.rate * known_for);
        let level = self.levels.entry(tenant.clone()).or_insert_with(|| TenantLevel::new(first, now));
        level.advance(limit, self.bounds.window, now);
        Some(level)
    }
}
