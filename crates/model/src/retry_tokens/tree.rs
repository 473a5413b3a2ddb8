//! A tree of calls: each call has attempts, and each attempt has the child calls that its back end makes.

use super::budget::{AttemptAccount, CallBudget};
use super::checks::Checks;

/// One attempt at its gate. It may keep running after the edge has stopped waiting for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Attempt {
    /// The attempt's tokens.
    pub account: AttemptAccount,
    /// The number of child calls that its back end has started.
    pub started: u8,
    /// The child calls that can still have an effect, sorted so that equivalent trees compare equal.
    pub children: Vec<Call>,
    /// The tokens in a duplicate of its answer that may still arrive; 0 if the edge ignores duplicates.
    pub duplicate_tokens: u16,
}

impl Attempt {
    pub fn new(tokens: u16) -> Self {
        Attempt { account: AttemptAccount::new(tokens), started: 0, children: Vec::new(), duplicate_tokens: 0 }
    }

    /// Sends the answer with the tokens that the account holds, and returns their number.
    pub fn report(&mut self, checks: Checks) -> u16 {
        let tokens = self.account.report(checks);
        if !checks.attempt_number {
            self.duplicate_tokens = tokens;
        }
        tokens
    }

    /// Whether the attempt has done nothing yet, so that it is indistinguishable from one that never arrived.
    pub fn is_untouched(&self) -> bool {
        self.started == 0 && !self.account.reported
    }

    fn has_effect(&self) -> bool {
        self.account.held > 0 || self.duplicate_tokens > 0 || !self.children.is_empty()
    }

    fn tokens(&self) -> u16 {
        self.account.held + self.children.iter().map(Call::tokens).sum::<u16>()
    }
}

/// One call at its edge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Call {
    /// The call's tokens.
    pub budget: CallBudget,
    /// Whether the latest attempt is in flight. Otherwise the call has ended.
    pub in_flight: bool,
    /// The attempts that can still have an effect, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// Returns a call with `tokens` that has sent its first attempt, once for each share that the attempt may carry.
    pub fn start_with_each_share(tokens: u16, checks: Checks) -> Vec<Self> {
        Call { budget: CallBudget::new(tokens), in_flight: false, attempts: Vec::new() }.send_with_each_share(checks)
    }

    /// Returns the call after sending one more attempt, once for each share that the attempt may carry.
    pub fn send_with_each_share(&self, checks: Checks) -> Vec<Self> {
        self.budget.retainable().map(|retain| self.with_attempt_sent(retain, checks)).collect()
    }

    fn with_attempt_sent(&self, retain: u16, checks: Checks) -> Self {
        let mut call = self.clone();
        let tokens = call.budget.lend(retain, checks);
        call.attempts.push(Attempt::new(tokens));
        call.in_flight = true;
        call
    }

    /// Whether the attempt at `index` is in flight.
    pub fn is_in_flight(&self, index: usize) -> bool {
        self.in_flight && index + 1 == self.attempts.len()
    }

    /// The tokens in this part of the tree, at edges and at gates.
    pub fn tokens(&self) -> u16 {
        self.budget.retained + self.attempts.iter().map(Attempt::tokens).sum::<u16>()
    }

    /// Removes attempts and child calls that can no longer have an effect, and sorts the child calls, whose order is
    /// irrelevant.
    pub fn normalize(&mut self) {
        for attempt in &mut self.attempts {
            attempt.children.retain(|child| !child.is_finished());
            attempt.children.sort_unstable();
        }
        let last = self.attempts.len().saturating_sub(1);
        let (mut index, in_flight) = (0, self.in_flight);
        self.attempts.retain(|attempt| {
            let relevant = (in_flight && index == last) || attempt.has_effect();
            index += 1;
            relevant
        });
    }

    fn is_finished(&self) -> bool {
        !self.in_flight && self.attempts.is_empty()
    }
}
