//! The system that the token models explore: one root call with its tree, and the number of retries in the tree.

use std::rc::Rc;

use crate::explore::{ActionLabel, Property, Specification};

use super::checks::Checks;
use super::transitions::{transitions, ROOT_TOKENS};
use super::tree::Call;
use super::{ATTEMPTS_WITHIN_BUDGET, TOKENS_NEVER_GROW};

/// One state of the explored system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TreeState {
    root: Call,
    /// The number of attempts sent beyond the first attempt of each call.
    retries: u16,
}

/// The explored system.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenWorld {
    /// The enabled checks.
    pub checks: Checks,
    /// The properties to check.
    pub properties: &'static [Property],
}

impl TokenWorld {
    fn holds(&self, property: Property, state: &TreeState) -> bool {
        let spent = if self.checks.charge { state.retries } else { 0 };
        match property {
            TOKENS_NEVER_GROW => state.root.tokens() + spent <= ROOT_TOKENS,
            ATTEMPTS_WITHIN_BUDGET => state.retries <= ROOT_TOKENS,
            _ => true,
        }
    }
}

impl Specification for TokenWorld {
    type State = TreeState;

    fn initial_states(&self) -> Vec<TreeState> {
        let roots = Call::start_with_each_share(ROOT_TOKENS, self.checks).into_iter();
        roots.map(|root| TreeState { root, retries: 0 }).collect()
    }

    fn successors(&self, state: &TreeState) -> Vec<(ActionLabel, TreeState)> {
        let next = transitions(&state.root, 0, self.checks).into_iter().map(|transition| {
            let retries = state.retries + u16::from(transition.retried);
            (ActionLabel::new(Rc::new(transition.event)), TreeState { root: transition.call, retries })
        });
        next.collect()
    }

    fn violated(&self, state: &TreeState) -> Option<Property> {
        self.properties.iter().copied().find(|property| !self.holds(*property, state))
    }
}
