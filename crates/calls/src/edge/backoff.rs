//! The delay before a retry: exponential with full jitter, bounded, and never beyond the time left.
//!
//! Full jitter spreads retries evenly, so that calls that failed together do not come back together.

use std::time::Duration;

use rand::Rng;

/// Doublings after which the delay no longer grows, whatever the maximum.
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
    /// Draws the delay before retry number `retry`, counted from zero; at most `spare`, the time that can be given away.
    pub(crate) fn delay(&self, retry: u32, spare: Duration, random: &mut impl Rng) -> Duration {
        let factor = 1_u32 << retry.min(MAX_DOUBLINGS);
        let ceiling = self.base.saturating_mul(factor).min(self.maximum).min(spare);
        let microseconds = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.gen_range(0..=microseconds))
    }
}
