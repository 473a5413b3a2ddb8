//! Models of the group: the real [`quillhatch_group::Group`] under loss, duplication, reordering and lost memory.
//!
//! All spans of the settings are zero and the clock stands still, so any timer may run out at any moment. Leases are a
//! matter of time and are covered by the tests of the group crate on a virtual clock instead.

mod memory;
mod record;
mod scenario;
mod world;

use quillhatch_group::GroupMechanisms;

use crate::explore::{explore, Bounds, Exploration};
use crate::{Model, ModelInfo};

use record::{AGREED_ENTRIES_STAY, LOSS_IS_STATED, OLD_GROUP_IS_FENCED, ONE_LEADER_PER_TERM};
use scenario::Scenario;
use world::GroupWorld;

/// The models of this module.
pub fn models() -> Vec<Model> {
    let agreement = vec![ONE_LEADER_PER_TERM, AGREED_ENTRIES_STAY];
    let forming = [agreement.clone(), vec![LOSS_IS_STATED, OLD_GROUP_IS_FENCED]].concat();
    vec![
        Model {
            info: ModelInfo {
                name: "group-agreement",
                description: "three voters elect, propose and replicate; terms up to 3",
                properties: agreement.clone(),
                mutations: vec!["single_vote", "complete_log_vote"],
            },
            explore: |mutation| run(scenario::agreement(), mutation),
        },
        Model {
            info: ModelInfo {
                name: "group-restart",
                description: "one of three voters loses its memory and is taken in anew; terms up to 2",
                properties: agreement,
                mutations: vec!["incarnation_identity", "one_at_a_time"],
            },
            explore: |mutation| run(scenario::restart(), mutation),
        },
        Model {
            info: ModelInfo {
                name: "group-two-formings",
                description: "a group has just been founded when the third node founds another with the same voter",
                properties: forming.clone(),
                mutations: vec!["loss_statement", "forming_fence"],
            },
            explore: |mutation| run(scenario::two_formings(), mutation),
        },
        Model {
            info: ModelInfo {
                name: "group-forming",
                description: "three nodes without memory form groups, and one loses its memory meanwhile",
                properties: forming,
                mutations: vec![],
            },
            explore: |mutation| run(scenario::forming(), mutation),
        },
    ]
}

/// Above what the models reach; a bound for memory only.
const MAXIMUM_STATES: usize = 2_000_000;

fn run(scenario: Scenario, mutation: Option<&str>) -> Exploration {
    let bounds = Bounds { depth: scenario.depth, states: MAXIMUM_STATES };
    explore(&GroupWorld::new(scenario, mechanisms_without(mutation)), bounds)
}

/// Pre-vote and check-quorum keep a group undisturbed; safety must not rest on them, so the models do without.
fn mechanisms_without(mutation: Option<&str>) -> GroupMechanisms {
    let mut mechanisms = GroupMechanisms { pre_vote: false, check_quorum: false, ..GroupMechanisms::default() };
    match mutation {
        Some("single_vote") => mechanisms.single_vote = false,
        Some("complete_log_vote") => mechanisms.complete_log_vote = false,
        Some("incarnation_identity") => mechanisms.incarnation_identity = false,
        Some("one_at_a_time") => mechanisms.one_at_a_time = false,
        Some("loss_statement") => mechanisms.loss_statement = false,
        Some("forming_fence") => mechanisms.forming_fence = false,
        _ => {}
    }
    mechanisms
}
