//! Limits the retries of one class to a small percentage of its first attempts.
//!
//! Use one [`RatioLimit`] per service and class. The retry budget bounds one call tree; this limit bounds all trees
//! together, so that a fault that affects every call does not multiply the load by the budget.

/// The bucket counts in hundredths of a retry, since each first attempt adds a whole percentage of a retry.
const PARTS_PER_RETRY: u64 = 100;

/// Retries available to a class before its first attempts have earned any.
const INITIAL_RETRIES: u64 = 10;

/// A token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RatioLimit {
    parts: u64,
    burst: u64,
}

impl RatioLimit {
    /// Creates a limit that accumulates at most `burst` retries.
    pub(crate) fn new(burst: u32) -> Self {
        let burst = u64::from(burst);
        RatioLimit { parts: INITIAL_RETRIES.min(burst) * PARTS_PER_RETRY, burst: burst * PARTS_PER_RETRY }
    }

    /// Adds `percent` of a retry for a first attempt that was sent.
    pub(crate) fn earn(&mut self, percent: u8) {
        self.parts = (self.parts + u64::from(percent)).min(self.burst);
    }

    /// Takes one retry out of the bucket; returns whether one was available. A `percent` of zero forbids retries.
    pub(crate) fn charge(&mut self, percent: u8) -> bool {
        if percent == 0 || self.parts < PARTS_PER_RETRY {
            return false;
        }
        self.parts -= PARTS_PER_RETRY;
        true
    }

    /// Returns the charge for a retry that was not sent.
    pub(crate) fn refund(&mut self) {
        self.parts = (self.parts + PARTS_PER_RETRY).min(self.burst);
    }
}
