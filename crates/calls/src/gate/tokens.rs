//! The retry tokens of one attempt: lent to child calls, returned by them, and reported once.
//!
//! Tokens are only moved. Lent tokens leave the account, no more come back than were lent, and reported tokens go to
//! the edge. So the number of tokens in a call tree never grows, even if messages are lost, duplicated or late.

/// The retry tokens that an attempt holds and has lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TokenAccount {
    held: u16,
    lent: u16,
    reported: bool,
}

impl TokenAccount {
    pub(super) fn new(tokens: u16) -> Self {
        TokenAccount { held: tokens, lent: 0, reported: false }
    }

    /// Lends up to `wanted` tokens to a child call, and returns how many.
    pub(super) fn lend(&mut self, wanted: u16) -> u16 {
        let granted = wanted.min(self.held);
        self.held -= granted;
        self.lent = self.lent.saturating_add(granted);
        granted
    }

    /// Accepts tokens back from a child call, and returns how many of them this account did not lend.
    ///
    /// Tokens that come back after the answer was sent are lost, because the edge has already counted the reported
    /// ones.
    pub(super) fn take_back(&mut self, tokens: u16) -> u16 {
        let accepted = tokens.min(self.lent);
        self.lent -= accepted;
        if !self.reported {
            self.held += accepted;
        }
        tokens - accepted
    }

    /// Removes all tokens for the answer's feedback; a second report has none.
    pub(super) fn report(&mut self) -> u16 {
        self.reported = true;
        std::mem::take(&mut self.held)
    }
}
