//! One node's side: which calls of a tenant it lets in, and what it reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{LimitBounds, TenantShare, TenantUsage};
use crate::tenants::{RateLimit, Tenant};

/// The time over which rates are measured. Half of it passes until a change is seen, so it is about a report's period.
const MEASURED_OVER: Duration = Duration::from_millis(400);
/// A rate below which a tenant is no longer reported, in calls a second: one call, two seconds ago.
const REPORTED_FROM: f64 = 0.02;
/// For how long an answer of the coordinator is believed, in periods: as long as it is asked, and once more for the next one to answer.
const BELIEVED_FOR: f64 = 4.5;
/// The bounds of what a caller that is over its limit is told to wait, in seconds.
const COME_BACK: (f64, f64) = (0.5, 5.0);

/// A call that is beyond its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// When the limit has room again for what the tenant sends now.
    pub come_back: Duration,
    /// The share of the tenant's calls that is let in.
    pub share: f64,
}

/// Events a second, fading.
#[derive(Clone, Copy, Debug, Default)]
struct FadingRate {
    per_second: f64,
    at: Timestamp,
}

impl FadingRate {
    fn at(self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / MEASURED_OVER.as_secs_f64()).exp()
    }

    fn add(&mut self, events: f64, now: Timestamp) {
        self.per_second = (self.at(now) + events / MEASURED_OVER.as_secs_f64()).max(0.0);
        self.at = now;
    }
}

/// The calls of one tenant at this node.
#[derive(Clone, Debug)]
struct LocalUsage {
    arriving: FadingRate,
    admitted: FadingRate,
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
}

impl LocalLimits {
    /// No call has arrived yet, and no coordinator has answered.
    pub fn new(bounds: LimitBounds) -> Self {
        LocalLimits { bounds, usages: HashMap::new(), shares: HashMap::new(), answered: None }
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
        Err(OverLimit { come_back: Duration::from_secs_f64(seconds), share })
    }

    /// A call that was let in has not run.
    pub fn returned(&mut self, tenant: &str, now: Timestamp) {
        if let Some(usage) = self.usages.get_mut(tenant) {
            usage.admitted.add(-1.0, now);
        }
    }

    /// What is reported now. Tenants without calls for some time are forgotten.
    pub fn report(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.usages.retain(|_, usage| usage.arriving.at(now) >= REPORTED_FROM);
        let reported = self.usages.iter().map(|(tenant, usage)| TenantUsage {
            tenant: tenant.clone(),
            arriving: usage.arriving.at(now),
            admitted: usage.admitted.at(now),
        });
        reported.collect()
    }

    /// The coordinator has answered.
    pub fn answered(&mut self, shares: &[TenantShare], now: Timestamp) {
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
        let rate = FadingRate { per_second: 0.0, at: now };
        LocalUsage {
            arriving: rate,
            admitted: rate,
            // These begin at random, so that all nodes together let in what is due, not each one call at first.
            due: draw,
            part: TokenBucket { tokens: draw, filled: now },
            whole: TokenBucket { tokens: whole.burst.max(1.0), filled: now },
        }
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
