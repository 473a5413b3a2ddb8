//! Models of a slot that moves between two sites.
//!
//! Each site's agreed state is the real [`ServiceState`](quillhatch_control::state::ServiceState) with its real
//! commands. The leaders are a small specification of `host/exports.rs` and `host/imports.rs` of the control crate,
//! since the real ones run only within a complete node.

mod agreed;
mod checks;
mod leader;
mod site;
mod world;

use crate::explore::{explore, Bounds, Exploration, Property};
use crate::{Model, ModelInfo};

use checks::Checks;
use world::{Limits, SlotWorld};

/// At most one site's table contains an owner of the slot.
pub(crate) const ONE_OWNER: Property = Property("one-owner");
/// An imported slot is open only if the new site has recorded the old site's claims.
pub(crate) const CLAIMS_BEFORE_OPEN: Property = Property("claims-before-open");
/// A slot is reopened at the old site only if the new site can never accept the offer made under that seal.
pub(crate) const REOPENED_AFTER_REFUSAL: Property = Property("reopened-after-refusal");
/// If all messages arrive and the leaders don't change any more, exactly one site owns the slot in the end.
pub(crate) const ONE_OWNER_AGAIN: Property = Property("one-owner-again");

const SAFETY_PROPERTIES: [Property; 3] = [ONE_OWNER, CLAIMS_BEFORE_OPEN, REOPENED_AFTER_REFUSAL];
const PROPERTIES: [Property; 4] = [ONE_OWNER, CLAIMS_BEFORE_OPEN, REOPENED_AFTER_REFUSAL, ONE_OWNER_AGAIN];

const BOUNDS: Bounds = Bounds { depth: usize::MAX, states: 2_000_000 };

/// The models of this module.
pub fn models() -> Vec<Model> {
    vec![
        Model {
            info: ModelInfo {
                name: "slot-move",
                description:
                    "a slot moves to another site and may be withdrawn; two changes of leader, one of the new owner",
                properties: PROPERTIES.to_vec(),
                mutations: vec![
                    "seal_before_move",
                    "unseal_needs_proof",
                    "import_before_open",
                    "refusal_is_agreed",
                    "accepted_when_open",
                    "withdrawal_yields",
                ],
            },
            explore: |mutation| run(Limits { seals: 1, leader_changes: 2, reassignments: 1 }, mutation),
        },
        Model {
            info: ModelInfo {
                name: "slot-move-again",
                description: "a slot moves twice, the same way or at once back; one change of leader",
                properties: PROPERTIES.to_vec(),
                mutations: vec![
                    "seal_before_move",
                    "unseal_needs_proof",
                    "import_before_open",
                    "refusal_is_agreed",
                    "answer_names_seal",
                ],
            },
            explore: |mutation| run(Limits { seals: 2, leader_changes: 1, reassignments: 0 }, mutation),
        },
    ]
}

/// Explores the properties. A mutation is checked against the safety properties first, so that its trace shows a
/// violation of one of them if there is any.
fn run(limits: Limits, mutation: Option<&str>) -> Exploration {
    let checks = mutation.map(Checks::without).unwrap_or_default();
    let explore_for = |properties| explore(&SlotWorld::new(limits, checks, properties), BOUNDS);
    if mutation.is_some() {
        let exploration = explore_for(&SAFETY_PROPERTIES);
        if exploration.violation.is_some() {
            return exploration;
        }
    }
    explore_for(&PROPERTIES)
}
