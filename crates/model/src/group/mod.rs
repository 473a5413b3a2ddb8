//! Models of the group: the real [`quillhatch_group::Group`] under message loss, duplication and reordering, and
//! restarts that lose a node's memory.
//!
//! All durations in the settings are zero and the clock does not advance, so that any timer may expire at any moment.
//! Leases depend on time; the tests of the group crate cover them with a virtual clock instead.

mod observer;
mod scenario;
mod step_cache;
mod world;

use quillhatch_group::GroupMechanisms;

use crate::explore::{explore, Bounds, Exploration};
use crate::{Model, ModelInfo};

use observer::{AGREED_ENTRIES_STAY, LOSS_IS_STATED, OLD_GROUP_IS_FENCED, ONE_LEADER_PER_TERM};
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

/// More states than the models reach; it only bounds the memory used.
const MAX_STATES: usize = 2_000_000;

fn run(scenario: Scenario, mutation: Option<&str>) -> Exploration {
    let bounds = Bounds { depth: scenario.depth, states: MAX_STATES };
    explore(&GroupWorld::new(scenario, mechanisms_without(mutation)), bounds)
}

/// Returns the mechanisms without the one that the mutation disables. Pre-vote and check-quorum are off in all models:
/// they only protect a group from disruption, and safety must not depend on them.
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
