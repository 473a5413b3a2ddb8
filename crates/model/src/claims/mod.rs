//! Models of the claims protocol: the real owners and voters under message loss, duplication and reordering, pauses,
//! retries and restarts.

mod scenario;
mod steps;
mod world;

use quillhatch_claims::ClaimMechanisms;

use crate::explore::{explore, Bounds, Exploration};
use crate::{Model, ModelInfo};

use scenario::Scenario;
use world::{ClaimsWorld, AT_MOST_ONE_RUN};

/// The models of this module.
pub fn models() -> Vec<Model> {
    let properties = vec![AT_MOST_ONE_RUN];
    let model = |name, description, mutations: &[&'static str], explore| Model {
        info: ModelInfo { name, description, properties: properties.clone(), mutations: mutations.to_vec() },
        explore,
    };
    vec![
        model("claims-repeat", "two calls under one key at one owner", &["refuse_repeats"], |mutation| {
            run(scenario::retry(), mutation)
        }),
        model(
            "claims-takeover",
            "the slot goes to another owner while the first may be paused at any point",
            &["majority", "epoch_fence", "takeover_collect", "keep_claimed"],
            |mutation| run(scenario::takeover(), mutation),
        ),
        model(
            "claims-late-replies",
            "the slot goes to another owner, and answers to new claims arrive at any time after they were sent",
            &["majority", "epoch_fence"],
            |mutation| run(scenario::late_replies(), mutation),
        ),
        model(
            "claims-voter-impostor",
            "a voter loses its memory and answers at its address, then the slot changes its owner",
            &["incarnation_check"],
            |mutation| run(scenario::voter_impostor(), mutation),
        ),
        model(
            "claims-voter-restart",
            "a voter loses its memory and is replaced, then the slot changes its owner",
            &["voter_settle"],
            |mutation| run(scenario::voter_restart(), mutation),
        ),
        model(
            "claims-voter-overlap",
            "a voter loses its memory, and the slot changes its owner while the voters change",
            &["voter_overlap"],
            |mutation| run(scenario::voter_overlap(), mutation),
        ),
        model(
            "claims-expiry",
            "all deadlines and the retention pass while an owner is paused",
            &["dispatch_deadline"],
            |mutation| run(scenario::expiry(), mutation),
        ),
        model(
            "claims-move",
            "the slot moves to another site while its owner may be paused at any point",
            &["export_seal", "import_record"],
            |mutation| run(scenario::site_move(), mutation),
        ),
    ]
}

const BOUNDS: Bounds = Bounds { depth: usize::MAX, states: 3_000_000 };

fn run(scenario: Scenario, mutation: Option<&str>) -> Exploration {
    let mechanisms = mutation.and_then(|name| ClaimMechanisms::without(name).ok()).unwrap_or_default();
    explore(&ClaimsWorld::new(scenario, mechanisms), BOUNDS)
}
