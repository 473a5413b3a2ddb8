//! The node's side: which calls of a tenant it admits, and what it reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{LimitBounds, TenantShare, TenantSurge, TenantUsage, SURGE_FACTOR};
use crate::rate::DecayingRate;
use crate::tenants::{RateLimit, Tenant};

/// The time constant of the reported rates: about the period of the reports.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// The minimum rate at which a tenant is reported, in calls per second: one call, two seconds ago.
const MIN_REPORTED_RATE: f64 = 0.02;
/// How long the last response of a coordinator is valid, in periods ([`super::report_period`]): until the node switches
/// to the next candidate, and one more period for that one to respond.
const RESPONSE_VALIDITY_PERIODS: f64 = 4.5;
/// The minimum time between two reports of surges, in periods.
const MIN_SURGE_REPORT_INTERVAL_PERIODS: f64 = 0.1;
/// The minimum and maximum time after which a throttled caller may retry, in seconds, before it is randomized.
const RETRY_AFTER_RANGE_SECONDS: (f64, f64) = (0.5, 5.0);

/// The refusal of a call that exceeds its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// The time after which the caller should retry; the more the tenant exceeds its limit, the longer.
    pub retry_after: Duration,
    /// The share of the tenant's calls that is admitted.
    pub share: f64,
}

/// The calls of one tenant at this node.
#[derive(Clone, Debug)]
struct LocalUsage {
    /// The rate of all calls that arrive.
    arriving: DecayingRate,
    /// The rate of the admitted calls.
    admitted: DecayingRate,
    /// The rate of arriving calls in the last regular report, in calls per second.
    reported_rate: f64,
    /// The number of calls that have arrived since the last report of any kind.
    unreported_calls: u32,
    /// The sum of the shares of the calls that arrived, less the calls admitted. A call is admitted when it reaches 1.
    share_credit: f64,
    /// The tokens of this node's own part of the limit, for the time without a coordinator.
    own_part: TokenBucket,
    /// The tokens of the whole limit. If all calls of the tenant arrive at this node, it notices that they exceed the
    /// limit before the coordinator does.
    whole_limit: TokenBucket,
}

/// A token bucket: each admitted call takes a token, and tokens are added at the rate of a limit up to its burst.
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
    /// The shares that the coordinator sent last, also those of tenants without calls at this node so far: in a large
    /// fleet, most calls of a small tenant are the first one at their node for a second or more.
    shares: HashMap<Arc<str>, f64>,
    /// When the coordinator sent its last shares.
    shares_received: Option<Timestamp>,
    /// Whether the calls of some tenant have surged since the last report.
    has_surge: bool,
    /// When surges were last reported.
    last_surge_report: Timestamp,
}

impl LocalLimits {
    /// Creates limits without calls and without a coordinator.
    pub fn new(bounds: LimitBounds) -> Self {
        LocalLimits {
            bounds,
            usages: HashMap::new(),
            shares: HashMap::new(),
            shares_received: None,
            has_surge: false,
            last_surge_report: Timestamp::ZERO,
        }
    }

    /// Decides whether to admit a call of `tenant`, at one of `machines` nodes that each report once per `period`.
    /// `random` is a random number in 0..1.
    ///
    /// # Errors
    ///
    /// Returns when to retry if the call exceeds the limit.
    pub fn admit(
        &mut self,
        tenant: &Tenant,
        machines: usize,
        period: Duration,
        random: f64,
        now: Timestamp,
    ) -> Result<(), OverLimit> {
        let Some(limit) = tenant.limit else { return Ok(()) };
        let has_coordinator = self.has_coordinator(period, now);
        let share = self.shares.get(&tenant.name).copied().unwrap_or(1.0);
        let whole = self.bounds.handed_out(limit, 1.0);
        let part = self.bounds.part_scale() / machines.max(1) as f64;
        let usage = self.usages.entry(tenant.name.clone()).or_insert_with(|| LocalUsage::new(whole, random, now));
        usage.arriving.add(1.0, now);
        usage.unreported_calls += 1;
        self.has_surge |= usage.is_surging(now);
        usage.whole_limit.fill(whole, now);
        let is_admitted = if has_coordinator {
            // The bucket of the node's own part is only filled while no coordinator responds.
            usage.own_part.filled = now;
            usage.spend_share(share)
        } else {
            usage.own_part.fill(RateLimit { rate: limit.rate * part, burst: limit.burst * part }, now);
            usage.own_part.spend()
        };
        if is_admitted {
            usage.admitted.add(1.0, now);
            return Ok(());
        }
        let share = if has_coordinator { share } else { limit.rate * part / usage.arriving.at(now) };
        let (min, max) = RETRY_AFTER_RANGE_SECONDS;
        let seconds = (1.0 / share.max(f64::MIN_POSITIVE)).clamp(min, max) * (0.7 + 0.6 * random);
        Err(OverLimit { retry_after: Duration::from_secs_f64(seconds), share })
    }

    /// Reverts the admission of a call that did not run.
    pub fn refund(&mut self, tenant: &str, now: Timestamp) {
        if let Some(usage) = self.usages.get_mut(tenant) {
            usage.admitted.add(-1.0, now);
        }
    }

    /// Returns the regular report to send now. Tenants without calls for some time are forgotten.
    pub fn report(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        self.usages.retain(|_, usage| usage.arriving.at(now) >= MIN_REPORTED_RATE);
        self.has_surge = false;
        let reported = self.usages.iter_mut().map(|(tenant, usage)| {
            (usage.reported_rate, usage.unreported_calls) = (usage.arriving.at(now), 0);
            TenantUsage { tenant: tenant.clone(), arriving: usage.reported_rate, admitted: usage.admitted.at(now) }
        });
        reported.collect()
    }

    /// The time until surges must be reported; `None` if there are none.
    pub fn surge_report_in(&self, period: Duration, now: Timestamp) -> Option<Duration> {
        self.has_surge.then(|| now.until(self.last_surge_report + period.mul_f64(MIN_SURGE_REPORT_INTERVAL_PERIODS)))
    }

    /// Returns the report of surges to send now.
    pub fn report_surges(&mut self, now: Timestamp) -> Vec<TenantSurge> {
        (self.has_surge, self.last_surge_report) = (false, now);
        let surging = self.usages.iter_mut().filter(|(_, usage)| usage.is_surging(now));
        let reported = surging.map(|(tenant, usage)| TenantSurge {
            tenant: tenant.clone(),
            calls: std::mem::take(&mut usage.unreported_calls),
        });
        reported.collect()
    }

    /// Applies the shares that the coordinator sent.
    pub fn apply_shares(&mut self, shares: &[TenantShare], now: Timestamp) {
        self.shares_received = Some(now);
        self.shares.clear();
        self.shares.extend(shares.iter().map(|received| (received.tenant.clone(), received.share.clamp(0.0, 1.0))));
    }

    /// Whether the shares that a coordinator sent last are still valid.
    pub fn has_coordinator(&self, period: Duration, now: Timestamp) -> bool {
        self.shares_received.is_some_and(|received| now.since(received) < period.mul_f64(RESPONSE_VALIDITY_PERIODS))
    }
}

impl LocalUsage {
    fn new(whole: RateLimit, random: f64, now: Timestamp) -> Self {
        let rate = DecayingRate::new(RATE_TIME_CONSTANT, now);
        LocalUsage {
            arriving: rate,
            admitted: rate,
            reported_rate: 0.0,
            unreported_calls: 0,
            // Random initial values, so that the nodes together admit the right number of calls, instead of one first
            // call each.
            share_credit: random,
            own_part: TokenBucket { tokens: random, filled: now },
            whole_limit: TokenBucket { tokens: whole.burst.max(1.0), filled: now },
        }
    }

    /// Whether calls arrive at so much higher a rate than reported that the coordinator must know before the next
    /// regular report.
    fn is_surging(&self, now: Timestamp) -> bool {
        self.unreported_calls > 0 && self.arriving.at(now) > self.reported_rate * SURGE_FACTOR
    }

    fn spend_share(&mut self, share: f64) -> bool {
        if !self.whole_limit.spend() {
            return false;
        }
        self.share_credit = (self.share_credit + share).min(2.0);
        let is_admitted = self.share_credit >= 1.0;
        if is_admitted {
            self.share_credit -= 1.0;
        } else {
            self.whole_limit.tokens += 1.0;
        }
        is_admitted
    }
}
