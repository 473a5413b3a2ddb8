//! One node's side: which calls of a tenant it lets in, and what it reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::rate::FadingRate;
use super::{LimitBounds, TenantShare, TenantSurge, TenantUsage, SURGE_FACTOR};
use crate::tenants::{RateLimit, Tenant};

/// The time over which rates are measured that are reported: about a report's period.
const MEASURED_OVER: Duration = Duration::from_millis(400);
/// A rate below which a tenant is no longer reported, in calls a second: one call, two seconds ago.
const REPORTED_FROM: f64 = 0.02;
/// For how long an answer of the coordinator is believed, in periods: as long as it is asked, and once more for the next one to answer.
const BELIEVED_FOR: f64 = 4.5;
/// The least time between two reports of surges, in periods.
const SURGE_PAUSE: f64 = 0.1;
/// The bounds of what a caller that is over its limit is told to wait, in seconds.
const COME_BACK: (f64, f64) = (0.5, 5.0);

/// A call that is beyond its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// When the limit has room again for what the tenant sends now.
    pub retry_after: Duration,
    /// The share of the tenant's calls that is let in.
    pub share: f64,
}

/// The calls of one tenant at this node.
#[derive(Clone, Debug)]
struct LocalUsage {
    arriving: FadingRate,
    admitted: FadingRate,
    /// Calls a second that arrived at the last regular report.
    reported: f64,
    /// Calls that have arrived since any report.
    unreported: u32,
    /// Shares of calls that were not let in yet; with each whole one a call is.
    due: f64,
    /// What is left of this node's own part of the limit, while no coordinator answers.
    part: TokenBucket,
    /// What is left of the whole limit if all calls arrive here: then this node knows that they are too many before the coordinator does.
    whole: TokenBucket,
}

/// Calls that may be let in; filled at some rate, never beyond what it holds.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled: Timestamp,
}

impl TokenBucket {
    fn fill(&mut self, limit: RateLimit, now: Timestamp) {
        let added = limit.rate * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + added).min(limit.burst.max(1.0));
        self.filled = now;
    }

    fn spend(&mut self) -> bool {
        let has_one = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_one));
        has_one
    }
}

/// The limits of all tenants at one node.
#[derive(Clone, Debug)]
pub struct LocalLimits {
    bounds: LimitBounds,
    usages: HashMap<Arc<str>, LocalUsage>,
    /// The shares that the coordinator told last, also of tenants whose calls do not arrive here yet: in a large fleet most of a
    /// small tenant's calls are the first one at their node for a second or more.
    shares: HashMap<Arc<str>, f64>,
    answered: Option<Timestamp>,
    /// Whether calls of some tenant have risen since the last report.
    has_surge: bool,
    /// When surges were reported last.
    surges_reported: Timestamp,
}

impl LocalLimits {
    /// No call has arrived yet, and no coordinator has answered.
    pub fn new(bounds: LimitBounds) -> Self {
        LocalLimits {
            bounds,
            usages: HashMap::new(),
            shares: HashMap::new(),
            answered: None,
            has_surge: false,
            surges_reported: Timestamp::ZERO,
        }
    }

    /// A call of `tenant` arrives, at one of `machines` nodes that each report once in `period`. `draw` in 0..1 is random.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the call is beyond the limit.
    pub fn admit(
        &mut self,
        tenant: &Tenant,
        machines: usize,
        period: Duration,
        draw: f64,
        now: Timestamp,
    ) -> Result<(), OverLimit> {
        let Some(limit) = tenant.limit else { return Ok(()) };
        let has_coordinator = self.has_coordinator(period, now);
        let share = self.shares.get(&tenant.name).copied().unwrap_or(1.0);
        let whole = self.bounds.handed_out(limit, 1.0);
        let part = self.bounds.part_scale() / machines.max(1) as f64;
        let usage = self.usages.entry(tenant.name.clone()).or_insert_with(|| LocalUsage::new(whole, draw, now));
        usage.arriving.add(1.0, now);
        usage.unreported += 1;
        self.has_surge |= usage.is_surging(now);
        usage.whole.fill(whole, now);
        let is_admitted = if has_coordinator {
            // The node's own part begins when no coordinator answers, and owes nothing for the time before.
            usage.part.filled = now;
            usage.spend_share(share)
        } else {
            usage.part.fill(RateLimit { rate: limit.rate * part, burst: limit.burst * part }, now);
            usage.part.spend()
        };
        if is_admitted {
            usage.admitted.add(1.0, now);
            return Ok(());
        }
        let share = if has_coordinator { share } else { limit.rate * part / usage.arriving.at(now) };
        let (least, most) = COME_BACK;
        let seconds = (1.0 / share.max(f64::MIN_POSITIVE)).clamp(least, most) * (0.7 + 0.6 * draw);
        Err(OverLimit { retry_after: Duration::from_secs_f64(seconds), share })
    }

    /// A call that was let in has not run.
    pub fn refund(&mut self, tenant: &str, now: Timestamp) {
        if let Some(usage) = self.usages.get_mut(tenant) {
            usage.admitted.add(-1.0, now);
        }
    }

    /// What is reported now. Tenants without calls for some time are forgotten.
    pub fn report(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.usages.retain(|_, usage| usage.arriving.at(now) >= REPORTED_FROM);
        self.has_surge = false;
        let reported = self.usages.iter_mut().map(|(tenant, usage)| {
            (usage.reported, usage.unreported) = (usage.arriving.at(now), 0);
            TenantUsage { tenant: tenant.clone(), arriving: usage.reported, admitted: usage.admitted.at(now) }
        });
        reported.collect()
    }

    /// How long until surges are to be reported, if there are any.
    pub fn surge_report_in(&self, period: Duration, now: Timestamp) -> Option<Duration> {
        self.has_surge.then(|| now.until(self.surges_reported + period.mul_f64(SURGE_PAUSE)))
    }

    /// The surges that are reported now.
    pub fn report_surges(&mut self, now: Timestamp) -> Vec<TenantSurge> {
        (self.has_surge, self.surges_reported) = (false, now);
        let surging = self.usages.iter_mut().filter(|(_, usage)| usage.is_surging(now));
        let reported = surging.map(|(tenant, usage)| TenantSurge {
            tenant: tenant.clone(),
            calls: std::mem::take(&mut usage.unreported),
        });
        reported.collect()
    }

    /// The coordinator has answered.
    pub fn apply_shares(&mut self, shares: &[TenantShare], now: Timestamp) {
        self.answered = Some(now);
        self.shares.clear();
        self.shares.extend(shares.iter().map(|told| (told.tenant.clone(), told.share.clamp(0.0, 1.0))));
    }

    /// Whether a coordinator has answered lately.
    pub fn has_coordinator(&self, period: Duration, now: Timestamp) -> bool {
        self.answered.is_some_and(|answered| now.since(answered) < period.mul_f64(BELIEVED_FOR))
    }
}

impl LocalUsage {
    fn new(whole: RateLimit, draw: f64, now: Timestamp) -> Self {
        let rate = FadingRate::new(MEASURED_OVER, now);
        LocalUsage {
            arriving: rate,
            admitted: rate,
            reported: 0.0,
            unreported: 0,
            // These begin at random, so that all nodes together let in what is due, not each one call at first.
            due: draw,
            part: TokenBucket { tokens: draw, filled: now },
            whole: TokenBucket { tokens: whole.burst.max(1.0), filled: now },
        }
    }

    /// Whether its calls arrive so much more often than reported that the coordinator can't wait for the regular report.
    fn is_surging(&self, now: Timestamp) -> bool {
        self.unreported > 0 && self.arriving.at(now) > self.reported * SURGE_FACTOR
    }

    fn spend_share(&mut self, share: f64) -> bool {
        if !self.whole.spend() {
            return false;
        }
        self.due = (self.due + share).min(2.0);
        let is_due = self.due >= 1.0;
        if is_due {
            self.due -= 1.0;
        } else {
            self.whole.tokens += 1.0;
        }
        is_due
    }
}
