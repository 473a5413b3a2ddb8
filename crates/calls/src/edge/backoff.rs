//! The delay before a retry: exponential backoff with full jitter, bounded by a maximum and by the time left.
//!
//! Full jitter spreads retries evenly, so that calls that failed at the same time are not retried at the same time.

use std::time::Duration;

use rand::Rng;

/// The number of doublings after which the delay no longer grows, whatever the maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Settings of the delay before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The largest delay before the first retry; doubles with every further retry.
    pub base: Duration,
    /// The largest delay before any retry.
    pub maximum: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        BackoffSettings { base: Duration::from_millis(10), maximum: Duration::from_millis(250) }
    }
}

impl BackoffSettings {
    /// A random delay before retry number `retry`, counted from zero; at most `spare`, the time available for waiting.
    pub(crate) fn delay(&self, retry: u32, spare: Duration, random: &mut impl Rng) -> Duration {
        let factor = 1_u32 << retry.min(MAX_DOUBLINGS);
        let ceiling = self.base.saturating_mul(factor).min(self.maximum).min(spare);
        let microseconds = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.gen_range(0..=microseconds))
    }
}
