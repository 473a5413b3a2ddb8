//! The retry budget of one call: tokens that are passed along a call tree, so that the whole tree shares one bound.
//!
//! Use one [`RetryBudget`] per call in progress. A root call starts with the tokens of its class, a child call with the
//! tokens that its parent lent it. A retry consumes a token. Each attempt carries a share of the tokens for the calls
//! below it; the answer returns the unused ones, and if the answer is lost, so is the share. Tokens are never created,
//! so whatever fails, a tree makes at most as many attempts as it has calls (one first attempt each) plus tokens at its
//! root.

const PERCENT: u32 = 100;

/// The retry tokens of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryBudget {
    retained: u16,
    lent: u16,
    retained_percent: u8,
    bounded: bool,
}

impl RetryBudget {
    /// Creates a budget of `tokens`. The call retains `retained_percent` of them, and at least one, at each attempt.
    ///
    /// An unbounded budget allows every retry; the simulation uses it to show the effect of the bound.
    pub(crate) fn new(tokens: u16, retained_percent: u8, bounded: bool) -> Self {
        RetryBudget { retained: tokens, lent: 0, retained_percent: retained_percent.min(100), bounded }
    }

    /// Whether the budget allows a retry now.
    pub(crate) fn allows_retry(&self) -> bool {
        !self.bounded || self.retained > 0
    }

    /// Charges one retry; returns whether the budget allowed it.
    pub(crate) fn charge(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        if self.bounded {
            self.retained -= 1;
        }
        true
    }

    /// Returns the charge for a retry that was not sent.
    pub(crate) fn refund(&mut self) {
        if self.bounded {
            self.retained = self.retained.saturating_add(1);
        }
    }

    /// Splits off and returns the share that the next attempt carries.
    pub(crate) fn lend(&mut self) -> u16 {
        let share = (u32::from(self.retained) * u32::from(self.retained_percent)).div_ceil(PERCENT) as u16;
        let retained = share.max(1).min(self.retained);
        let lent = self.retained - retained;
        if self.bounded {
            self.retained = retained;
            self.lent = lent;
        }
        lent
    }

    /// Adds the `tokens` that the attempt's answer returned, capped at the tokens lent to the attempt.
    pub(crate) fn return_tokens(&mut self, tokens: u16) {
        self.retained += tokens.min(self.lent);
        self.lent = 0;
    }

    /// Adds the whole share back, since the attempt was never sent.
    pub(crate) fn return_all_tokens(&mut self) {
        self.return_tokens(self.lent);
    }

    /// Discards the share of an attempt whose answer was lost, since calls below may still spend it.
    pub(crate) fn discard_lent(&mut self) {
        self.lent = 0;
    }

    /// The tokens that are not lent, which return to the parent when the call ends.
    pub(crate) fn retained(&self) -> u16 {
        self.retained
    }
}
