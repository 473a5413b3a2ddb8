//! The world of the token models: one root call and the number of retries in its tree.

use std::rc::Rc;

use crate::explore::{ActionLabel, Property, Specification};

use super::checks::Checks;
use super::moves::{moves, ROOT_TOKENS};
use super::tree::Call;
use super::{ATTEMPTS_WITHIN_BUDGET, TOKENS_NEVER_GROW};

/// One state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TreeState {
    root: Call,
    /// Attempts sent beyond the first tries of all calls.
    retries: u16,
}

/// The world.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenWorld {
    /// The checks in force.
    pub checks: Checks,
    /// The properties that are looked at.
    pub properties: &'static [Property],
}

impl TokenWorld {
    fn holds(&self, property: Property, state: &TreeState) -> bool {
        let charged = if self.checks.charge { state.retries } else { 0 };
        match property {
            TOKENS_NEVER_GROW => state.root.tokens() + charged <= ROOT_TOKENS,
            ATTEMPTS_WITHIN_BUDGET => state.retries <= ROOT_TOKENS,
            _ => true,
        }
    }
}

impl Specification for TokenWorld {
    type State = TreeState;

    fn initial_states(&self) -> Vec<TreeState> {
        let roots = Call::started(ROOT_TOKENS, self.checks).into_iter();
        roots.map(|root| TreeState { root, retries: 0 }).collect()
    }

    fn successors(&self, state: &TreeState) -> Vec<(ActionLabel, TreeState)> {
        let next = moves(&state.root, 0, self.checks).into_iter().map(|made| {
            let retries = state.retries + u16::from(made.retried);
            (ActionLabel::new(Rc::new(made.event)), TreeState { root: made.call, retries })
        });
        next.collect()
    }

    fn violated(&self, state: &TreeState) -> Option<Property> {
        self.properties.iter().copied().find(|property| !self.holds(*property, state))
    }
}
