//! The two holders between which tokens move: the budget of a call at its edge and the account of an attempt at its
//! gate.

use std::ops::RangeInclusive;

use super::checks::Checks;

/// The tokens of one call at its edge; mirrors `RetryBudget` of the calls crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct CallBudget {
    /// Tokens that are not lent.
    pub retained: u16,
    /// Tokens lent to the attempt in flight.
    pub lent: u16,
}

impl CallBudget {
    pub fn new(tokens: u16) -> Self {
        CallBudget { retained: tokens, lent: 0 }
    }

    pub fn allows_retry(self) -> bool {
        self.retained > 0
    }

    pub fn charge(&mut self, checks: Checks) {
        if checks.charge {
            self.retained -= 1;
        }
    }

    /// The numbers of tokens that the call may retain when it sends an attempt: at least one if it has any, up to all
    /// of them, so that every setting of the retained share is covered.
    pub fn retainable(self) -> RangeInclusive<u16> {
        self.retained.min(1)..=self.retained
    }

    pub fn lend(&mut self, retain: u16, checks: Checks) -> u16 {
        self.lent = self.retained - retain;
        if checks.share_leaves {
            self.retained = retain;
        }
        self.lent
    }

    pub fn return_tokens(&mut self, tokens: u16) {
        self.retained += tokens.min(self.lent);
        self.lent = 0;
    }

    pub fn return_all_tokens(&mut self) {
        self.return_tokens(self.lent);
    }

    pub fn discard_lent(&mut self, checks: Checks) {
        if !checks.lost_share {
            self.return_all_tokens();
        }
        self.lent = 0;
    }

    /// Removes and returns the remaining tokens when the call ends.
    pub fn take_remaining(&mut self) -> u16 {
        self.lent = 0;
        std::mem::take(&mut self.retained)
    }
}

/// The tokens of one attempt at its gate; mirrors `TokenAccount` of the calls crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptAccount {
    /// Tokens that are not lent.
    pub held: u16,
    /// Tokens lent to child calls.
    pub lent: u16,
    /// Whether the answer was sent.
    pub reported: bool,
}

impl AttemptAccount {
    pub fn new(tokens: u16) -> Self {
        AttemptAccount { held: tokens, lent: 0, reported: false }
    }

    pub fn lend(&mut self, wanted: u16) -> u16 {
        let granted = wanted.min(self.held);
        self.held -= granted;
        self.lent += granted;
        granted
    }

    /// Accepts tokens back from a child call, and returns how many of them this account did not lend.
    pub fn take_back(&mut self, tokens: u16) -> u16 {
        let accepted = tokens.min(self.lent);
        self.lent -= accepted;
        if !self.reported {
            self.held += accepted;
        }
        tokens - accepted
    }

    pub fn report(&mut self, checks: Checks) -> u16 {
        self.reported = true;
        if checks.report_empties {
            std::mem::take(&mut self.held)
        } else {
            self.held
        }
    }
}
