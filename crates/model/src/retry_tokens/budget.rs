//! The two purses that tokens move between: the edge's budget of a call and the gate's purse of an attempt.

use std::ops::RangeInclusive;

use super::checks::Checks;

/// The tokens of one call at its edge; mirrors `RetryBudget`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Budget {
    /// Tokens at hand.
    pub kept: u16,
    /// Tokens that went with the attempt in flight.
    pub lent: u16,
}

impl Budget {
    pub fn new(tokens: u16) -> Self {
        Budget { kept: tokens, lent: 0 }
    }

    pub fn allows_retry(self) -> bool {
        self.kept > 0
    }

    pub fn charge(&mut self, checks: Checks) {
        if checks.charge {
            self.kept -= 1;
        }
    }

    /// What the call may keep when an attempt is sent: at least one token, else any share, whatever the setting is.
    pub fn shares(self) -> RangeInclusive<u16> {
        self.kept.min(1)..=self.kept
    }

    pub fn lend(&mut self, stays: u16, checks: Checks) -> u16 {
        self.lent = self.kept - stays;
        if checks.share_leaves {
            self.kept = stays;
        }
        self.lent
    }

    pub fn bring_back(&mut self, tokens: u16) {
        self.kept += tokens.min(self.lent);
        self.lent = 0;
    }

    pub fn bring_back_all(&mut self) {
        self.bring_back(self.lent);
    }

    pub fn lose_lent(&mut self, checks: Checks) {
        if !checks.lost_share {
            self.bring_back_all();
        }
        self.lent = 0;
    }

    /// Empties the budget when the call ends.
    pub fn end(&mut self) -> u16 {
        self.lent = 0;
        std::mem::take(&mut self.kept)
    }
}

/// The tokens of one attempt at its gate; mirrors `TokenAccount`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Purse {
    /// Tokens at hand.
    pub held: u16,
    /// Tokens that child calls have.
    pub lent: u16,
    /// Whether the answer has gone out.
    pub reported: bool,
}

impl Purse {
    pub fn new(tokens: u16) -> Self {
        Purse { held: tokens, lent: 0, reported: false }
    }

    pub fn lend(&mut self, wanted: u16) -> u16 {
        let given = wanted.min(self.held);
        self.held -= given;
        self.lent += given;
        given
    }

    /// Returns the tokens that this purse did not lend.
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
