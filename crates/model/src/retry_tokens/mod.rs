//! Models of the retry tokens: one budget for a tree of calls whose answers are lost, late or duplicated.
//!
//! `retry-tokens` checks the rule from which the bound follows (tokens are moved or spent, never created), and
//! `retry-attempts` the bound itself. The edge's budget and the gate's account are small specifications of
//! `edge/budget.rs` and `gate/tokens.rs` of the calls crate, since those types are private to it. The tests of this
//! module compare them with the real edge and the real gate.

mod budget;
mod checks;
#[cfg(test)]
mod tests;
mod transitions;
mod tree;
mod world;

use crate::explore::{explore, Bounds, Exploration, Property};
use crate::{Model, ModelInfo};

use checks::Checks;
use world::TokenWorld;

/// In the whole tree, the number of retries is at most the number of the root call's tokens.
pub(crate) const ATTEMPTS_WITHIN_BUDGET: Property = Property("attempts-within-budget");
/// The tokens in the tree and those spent on retries are together at most the root call's tokens.
pub(crate) const TOKENS_NEVER_GROW: Property = Property("tokens-never-grow");

const BOUNDS: Bounds = Bounds { depth: usize::MAX, states: 2_000_000 };

/// The models of this module.
pub fn models() -> Vec<Model> {
    vec![
        Model {
            info: ModelInfo {
                name: "retry-tokens",
                description: "a tree of calls, three hops of two calls each, under one budget of four tokens",
                properties: vec![TOKENS_NEVER_GROW, ATTEMPTS_WITHIN_BUDGET],
                mutations: Checks::NAMES.to_vec(),
            },
            explore: |mutation| run(mutation, &[TOKENS_NEVER_GROW, ATTEMPTS_WITHIN_BUDGET]),
        },
        Model {
            info: ModelInfo {
                name: "retry-attempts",
                description: "the same tree; only its attempts are counted",
                properties: vec![ATTEMPTS_WITHIN_BUDGET],
                mutations: Checks::NAMES.to_vec(),
            },
            explore: |mutation| run(mutation, &[ATTEMPTS_WITHIN_BUDGET]),
        },
    ]
}

fn run(mutation: Option<&str>, properties: &'static [Property]) -> Exploration {
    let checks = mutation.map(Checks::without).unwrap_or_default();
    explore(&TokenWorld { checks, properties }, BOUNDS)
}
