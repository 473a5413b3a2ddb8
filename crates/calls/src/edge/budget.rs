//! The retry budget of one call: tokens that move with the calls of a tree, so that the whole tree shares one bound.
//!
//! Use one [`RetryBudget`] per call in progress. A root call starts with the tokens of its class, a child call with the
//! tokens that its parent lent it. A retry consumes a token. An attempt takes a share along for the calls below it; the
//! answer brings back what is left, and a lost answer loses the share. Tokens are never created, so the attempts of a tree
//! are at most its first tries plus the tokens of the root, whatever fails.

const PERCENT: u32 = 100;

/// The tokens of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryBudget {
    retained: u16,
    lent: u16,
    retained_percent: u8,
    bounded: bool,
}

impl RetryBudget {
    /// A budget of `tokens`, of which each attempt leaves `retained_percent`, and at least one token, with the call.
    ///
    /// An unbounded budget allows every retry; it exists so that the simulation can show what the bound is for.
    pub(crate) fn new(tokens: u16, retained_percent: u8, bounded: bool) -> Self {
        RetryBudget { retained: tokens, lent: 0, retained_percent: retained_percent.min(100), bounded }
    }

    /// Whether a retry could be paid for now.
    pub(crate) fn allows_retry(&self) -> bool {
        !self.bounded || self.retained > 0
    }

    /// Pays for one retry; returns whether it could be paid.
    pub(crate) fn charge(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        if self.bounded {
            self.retained -= 1;
        }
        true
    }

    /// Takes back a payment for a retry that was not sent.
    pub(crate) fn refund(&mut self) {
        if self.bounded {
            self.retained = self.retained.saturating_add(1);
        }
    }

    /// Splits off the share that the next attempt takes along.
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

    /// The attempt's answer brought `tokens` back; more than was lent is not believed.
    pub(crate) fn return_tokens(&mut self, tokens: u16) {
        self.retained += tokens.min(self.lent);
        self.lent = 0;
    }

    /// The attempt never left this node, so its share did not either.
    pub(crate) fn return_all_tokens(&mut self) {
        self.return_tokens(self.lent);
    }

    /// The attempt's answer is lost, and its share with it: calls below may still spend it.
    pub(crate) fn discard_lent(&mut self) {
        self.lent = 0;
    }

    /// The tokens at hand, which go back to the parent when the call ends.
    pub(crate) fn retained(&self) -> u16 {
        self.retained
    }
}
