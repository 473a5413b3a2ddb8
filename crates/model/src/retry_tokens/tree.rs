//! A tree of calls: each call with its attempts, each attempt with the calls that its back end makes.

use super::budget::{Budget, Purse};
use super::checks::Checks;

/// One attempt at its gate. It may run on after the edge has given it up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Attempt {
    /// Its tokens.
    pub purse: Purse,
    /// How many calls its back end has started.
    pub started: u8,
    /// Those of them that still have something to do, in ascending order, so that equal trees are equal.
    pub children: Vec<Call>,
    /// The tokens in a second copy of its answer that is still on its way. Where copies have no effect, there are none.
    pub copy: u16,
}

impl Attempt {
    pub fn new(tokens: u16) -> Self {
        Attempt { purse: Purse::new(tokens), started: 0, children: Vec::new(), copy: 0 }
    }

    /// The answer goes out, with what the purse holds.
    pub fn report(&mut self, checks: Checks) -> u16 {
        let tokens = self.purse.report(checks);
        if !checks.attempt_number {
            self.copy = tokens;
        }
        tokens
    }

    /// Whether the attempt has done nothing yet, so that it may as well never have arrived.
    pub fn is_untouched(&self) -> bool {
        self.started == 0 && !self.purse.reported
    }

    fn has_effect(&self) -> bool {
        self.purse.held > 0 || self.copy > 0 || !self.children.is_empty()
    }

    fn tokens(&self) -> u16 {
        self.purse.held + self.children.iter().map(Call::tokens).sum::<u16>()
    }
}

/// One call at its edge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Call {
    /// Its tokens.
    pub budget: Budget,
    /// Whether the latest attempt is in flight. Once none is, the call has ended.
    pub in_flight: bool,
    /// The attempts that still have something to do, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// A call with `tokens` whose first try is sent, for each share that may go along.
    pub fn started(tokens: u16, checks: Checks) -> Vec<Self> {
        Call { budget: Budget::new(tokens), in_flight: false, attempts: Vec::new() }.launched(checks)
    }

    /// The call with one more attempt sent, for each share that may go along.
    pub fn launched(&self, checks: Checks) -> Vec<Self> {
        self.budget.shares().map(|stays| self.launched_with(stays, checks)).collect()
    }

    fn launched_with(&self, stays: u16, checks: Checks) -> Self {
        let mut call = self.clone();
        let tokens = call.budget.lend(stays, checks);
        call.attempts.push(Attempt::new(tokens));
        call.in_flight = true;
        call
    }

    /// Whether `index` is the attempt in flight.
    pub fn is_in_flight(&self, index: usize) -> bool {
        self.in_flight && index + 1 == self.attempts.len()
    }

    /// The tokens in this part of the tree, those with the edge and those with the gates.
    pub fn tokens(&self) -> u16 {
        self.budget.kept + self.attempts.iter().map(Attempt::tokens).sum::<u16>()
    }

    /// Drops what can have no effect any more, and orders what has no order.
    pub fn tidy(&mut self) {
        for attempt in &mut self.attempts {
            attempt.children.retain(|child| !child.is_over());
            attempt.children.sort_unstable();
        }
        let last = self.attempts.len().saturating_sub(1);
        let (mut index, in_flight) = (0, self.in_flight);
        self.attempts.retain(|attempt| {
            let kept = (in_flight && index == last) || attempt.has_effect();
            index += 1;
            kept
        });
    }

    fn is_over(&self) -> bool {
        !self.in_flight && self.attempts.is_empty()
    }
}
