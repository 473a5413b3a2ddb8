//! Limits retries of one class to a small share of its first tries.
//!
//! Use one [`RatioLimit`] per service and class. The retry budget bounds one tree; this limit bounds all trees together,
//! so that a fault that hits every call does not multiply the load by the budget.

/// Parts of one retry: a first try adds whole percents of a retry.
const PARTS_PER_RETRY: u64 = 100;

/// Retries that a class may make before its first tries have earned any.
const INITIAL_RETRIES: u64 = 10;

/// A bucket that first tries fill and retries empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RatioLimit {
    parts: u64,
    burst: u64,
}

impl RatioLimit {
    /// A limit that saves up at most `burst` retries.
    pub(crate) fn new(burst: u32) -> Self {
        let burst = u64::from(burst);
        RatioLimit { parts: INITIAL_RETRIES.min(burst) * PARTS_PER_RETRY, burst: burst * PARTS_PER_RETRY }
    }

    /// A first try was sent; it earns `percent` of a retry.
    pub(crate) fn earn(&mut self, percent: u8) {
        self.parts = (self.parts + u64::from(percent)).min(self.burst);
    }

    /// Takes one retry out of the bucket; returns whether there was one. A `percent` of zero forbids retries.
    pub(crate) fn charge(&mut self, percent: u8) -> bool {
        if percent == 0 || self.parts < PARTS_PER_RETRY {
            return false;
        }
        self.parts -= PARTS_PER_RETRY;
        true
    }

    /// Puts back a retry that was not sent.
    pub(crate) fn refund(&mut self) {
        self.parts = (self.parts + PARTS_PER_RETRY).min(self.burst);
    }
}
