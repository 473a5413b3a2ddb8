//! The gate's side: which calls it sends to its target, and what it reports.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{AnnouncedLimit, KnownLimit, Precedence, RateLimitReport, RateLimited};
use crate::rate::DecayingRate;
use crate::targets::{RunningAt, TargetId};

/// The time in which a bucket fills. Calls of many callers arrive in clusters; with a shorter time a target whose limit
/// is in demand would get less than it accepts.
const BURST_TIME: Duration = Duration::from_secs(1);
/// The minimum size of a bucket, in calls.
const MIN_BURST: f64 = 1.0;
/// The part of a bucket that is reserved for calls with a higher priority than the lowest one.
const RESERVED_FRACTION: f64 = 0.5;
/// The minimum rate, in calls per second, at which a target is called whatever its limit: only its responses show that
/// it accepts more calls again.
const MIN_RATE: f64 = 0.25;
/// The maximum `Retry-After` of a refused call.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The time constant of the measured rate of calls.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// The rate of calls that the share aims for, as a multiple of the limit. Slightly more than fits, so that chance
/// doesn't leave a part of the limit unused.
const DESIRED_OVERLOAD: f64 = 1.3;
/// The change of the share per second, as a power of the ratio of desired to arriving calls. With the time constant of
/// the measurement this is a damped control loop.
const SHARE_GAIN_PER_S: f64 = 1.0;
/// The minimum and maximum of that ratio, so that a single measurement has a bounded effect.
const RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);
/// The maximum time for which one measurement changes the share.
const MAX_SHARE_STEP: Duration = Duration::from_millis(500);
/// The minimum share: even the last of many nodes finds out that a target accepts calls again.
const MIN_SHARE: f64 = 0.001;
/// Where a gate has its knowledge of the limit from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LimitSource {
    #[default]
    None,
    /// Edges that know the limit. The target has not responded yet.
    Edges,
    /// Responses of the target.
    Target,
}

/// The tokens of a limit, and the share that edges use.
#[derive(Clone, Copy, Debug)]
struct RateLimitBucket {
    per_second: f64,
    tokens: f64,
    filled: Timestamp,
    share: f64,
    share_updated: Timestamp,
}

impl RateLimitBucket {
    fn new(per_second: f64, arriving: f64, now: Timestamp) -> Self {
        let per_second = per_second.max(MIN_RATE);
        let share = (per_second * DESIRED_OVERLOAD / arriving.max(f64::MIN_POSITIVE)).clamp(MIN_SHARE, 1.0);
        let tokens = MIN_BURST.min(per_second);
        RateLimitBucket { per_second, tokens, filled: now, share, share_updated: now }
    }

    fn capacity(&self) -> f64 {
        (self.per_second * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }

    fn fill(&mut self, now: Timestamp) {
        let added = self.per_second * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.capacity());
        self.filled = now;
    }

    /// The tokens that must be there for a call of this precedence. Nothing is reserved while the limit suffices for
    /// all calls that arrive.
    fn required_tokens(&self, precedence: Precedence, arriving: f64) -> f64 {
        if arriving <= self.per_second {
            return 1.0;
        }
        1.0 + (self.capacity() - 1.0) * RESERVED_FRACTION * precedence.0
    }

    fn refusal(&self, required: f64) -> RateLimited {
        let seconds = (required - self.tokens) / self.per_second / self.share;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        RateLimited { wait: wait.min(MAX_WAIT) }
    }

    fn set_rate(&mut self, per_second: f64, now: Timestamp) {
        self.fill(now);
        let per_second = per_second.max(MIN_RATE);
        self.share = (self.share * per_second / self.per_second).clamp(MIN_SHARE, 1.0);
        self.per_second = per_second;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn update_share(&mut self, arriving: f64, now: Timestamp) {
        let elapsed = now.since(self.share_updated).min(MAX_SHARE_STEP).as_secs_f64();
        self.share_updated = now;
        let (min, max) = RATIO_BOUNDS;
        let ratio = (self.per_second * DESIRED_OVERLOAD / arriving.max(f64::MIN_POSITIVE)).clamp(min, max);
        self.share = (self.share * ratio.powf(SHARE_GAIN_PER_S * elapsed)).clamp(MIN_SHARE, 1.0);
    }
}

/// Keeps the requests that a gate sends to its target within the target's rate limit.
#[derive(Clone, Debug)]
pub struct TargetRateLimiter {
    target: Option<TargetId>,
    source: LimitSource,
    /// When the process that is the source was running; zero if it has announced no limit yet.
    running_at: RunningAt,
    bucket: Option<RateLimitBucket>,
    arriving: DecayingRate,
}

impl TargetRateLimiter {
    /// A limiter that knows no limit.
    pub fn new(now: Timestamp) -> Self {
        TargetRateLimiter {
            target: None,
            source: LimitSource::None,
            running_at: RunningAt::default(),
            bucket: None,
            arriving: DecayingRate::new(ARRIVAL_TIME_CONSTANT, now),
        }
    }

    /// Forgets the limit of a process that is older than the one that started at `started`
    /// ([`crate::targets::Registration::started`]).
    pub fn forget_before(&mut self, started: u64) {
        if self.running_at.precedes(started) {
            self.reset();
        }
    }

    fn reset(&mut self) {
        (self.target, self.source, self.bucket) = (None, LimitSource::None, None);
        self.running_at = RunningAt::default();
    }

    fn select(&mut self, target: &str) {
        if self.target.as_deref() != Some(target) {
            self.reset();
            self.target = Some(TargetId::from(target));
        }
    }

    /// Records the limit in a response of the process of `target` that was running at `running_at`, or that the response
    /// has none.
    pub fn record_response(&mut self, target: &str, per_second: Option<f64>, running_at: RunningAt, now: Timestamp) {
        self.select(target);
        self.source = LimitSource::Target;
        if per_second.is_some() || self.running_at != RunningAt::default() {
            self.running_at = self.running_at.max(running_at);
        }
        self.set_rate(per_second, now);
    }

    /// Records the limit of `target` that an edge knows. It counts until the target itself has responded; of several
    /// limits the lowest one.
    pub fn record_edge_knowledge(&mut self, target: &str, known: AnnouncedLimit, now: Timestamp) {
        self.select(target);
        if self.source == LimitSource::Target {
            return;
        }
        self.source = LimitSource::Edges;
        self.running_at = self.running_at.max(known.running_at);
        let lowest = self.bucket.map_or(known.per_second, |bucket| bucket.per_second.min(known.per_second));
        self.set_rate(Some(lowest), now);
    }

    fn set_rate(&mut self, per_second: Option<f64>, now: Timestamp) {
        match (&mut self.bucket, per_second) {
            (Some(bucket), Some(per_second)) if bucket.per_second == per_second => {}
            (Some(bucket), Some(per_second)) => bucket.set_rate(per_second, now),
            (bucket, Some(per_second)) => {
                *bucket = Some(RateLimitBucket::new(per_second, self.arriving.at(now), now));
            }
            (bucket, None) => *bucket = None,
        }
    }

    /// Decides whether a call that arrives may be sent. Calls that an edge sends although it expects them to exceed the
    /// limit have `is_over_limit`; they don't count for the share, which couldn't keep them away.
    ///
    /// # Errors
    ///
    /// Returns when to retry if it exceeds the limit.
    pub fn admit(&mut self, precedence: Precedence, is_over_limit: bool, now: Timestamp) -> Result<(), RateLimited> {
        if !is_over_limit {
            self.arriving.add(1.0, now);
        }
        let Some(bucket) = &mut self.bucket else { return Ok(()) };
        bucket.fill(now);
        let arriving = self.arriving.at(now);
        bucket.update_share(arriving, now);
        let required = bucket.required_tokens(precedence, arriving);
        if bucket.tokens >= required {
            Ok(())
        } else {
            Err(bucket.refusal(required))
        }
    }

    /// Takes the token of a request that is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns when to retry if there is none: since the call was admitted, others have taken the tokens.
    pub fn take(&mut self, now: Timestamp) -> Result<(), RateLimited> {
        let Some(bucket) = &mut self.bucket else { return Ok(()) };
        bucket.fill(now);
        if bucket.tokens < 1.0 {
            return Err(bucket.refusal(1.0));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns the token of a request that did not reach the target.
    pub fn refund(&mut self) {
        let Some(bucket) = &mut self.bucket else { return };
        bucket.tokens = (bucket.tokens + 1.0).min(bucket.capacity());
    }

    /// What to report to an edge that has called `target`.
    pub fn report(&mut self, target: &str, now: Timestamp) -> KnownLimit {
        if self.target.as_deref() != Some(target) {
            return KnownLimit::Unknown;
        }
        match (&mut self.bucket, self.source) {
            (Some(bucket), _) => {
                bucket.update_share(self.arriving.at(now), now);
                let limit = AnnouncedLimit { per_second: bucket.per_second, running_at: self.running_at };
                KnownLimit::Limited(RateLimitReport { limit, share: bucket.share })
            }
            (None, LimitSource::Target) => KnownLimit::Unlimited(self.running_at),
            (None, _) => KnownLimit::Unknown,
        }
    }
}
