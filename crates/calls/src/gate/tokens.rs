//! The retry tokens of one attempt in progress: lent to child calls, given back, and reported once.
//!
//! Tokens only ever move. What is lent leaves this purse; what comes back is at most what was lent; what is reported to
//! the edge leaves too. So the tokens of a call tree never become more, whatever is lost, duplicated or late.

/// The tokens that an attempt holds.
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

    /// Takes up to `wanted` tokens for a child call.
    pub(super) fn lend(&mut self, wanted: u16) -> u16 {
        let given = wanted.min(self.held);
        self.held -= given;
        self.lent = self.lent.saturating_add(given);
        given
    }

    /// Takes tokens back from a child call and returns those that this purse did not lend.
    ///
    /// After the answer went out they are lost: the edge has counted what it was told.
    pub(super) fn take_back(&mut self, tokens: u16) -> u16 {
        let accepted = tokens.min(self.lent);
        self.lent -= accepted;
        if !self.reported {
            self.held += accepted;
        }
        tokens - accepted
    }

    /// Empties the purse into the answer's feedback; a second report is of nothing.
    pub(super) fn report(&mut self) -> u16 {
        self.reported = true;
        std::mem::take(&mut self.held)
    }
}
