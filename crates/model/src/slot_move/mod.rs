//! Models of a slot on its way between the groups of two sites.
//!
//! Each site's agreed state is the real [`ServiceState`](quillhatch_control::state::ServiceState) with its real
//! commands. The leaders' duties are a small specification of `host/exports.rs` and `host/imports.rs` of the control
//! crate, since those need a whole node around them.

mod agreed;
mod checks;
mod leader;
mod site;
mod world;

use crate::explore::{explore, Bounds, Exploration, Property};
use crate::{Model, ModelInfo};

use checks::Checks;
use world::{Limits, SlotWorld};

/// The tables of at most one site name an owner of the slot.
pub(crate) const ONE_OWNER: Property = Property("one-owner");
/// A slot that was taken over is open only with the old site's claims recorded at the new one.
pub(crate) const CLAIMS_BEFORE_OPEN: Property = Property("claims-before-open");
/// A slot is opened again at the old site only if the new site can never accept that offer.
pub(crate) const REOPENED_AFTER_REFUSAL: Property = Property("reopened-after-refusal");
/// If from now on all messages arrive and the leaders stay, just one site owns the slot in the end.
pub(crate) const ONE_OWNER_AGAIN: Property = Property("one-owner-again");

const SAFETY: [Property; 3] = [ONE_OWNER, CLAIMS_BEFORE_OPEN, REOPENED_AFTER_REFUSAL];
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

/// A mutation is first held against what must never happen, so that its trace shows the worst that it leads to.
fn run(limits: Limits, mutation: Option<&str>) -> Exploration {
    let checks = mutation.map(Checks::without).unwrap_or_default();
    let explore_for = |properties| explore(&SlotWorld::new(limits, checks, properties), BOUNDS);
    if mutation.is_some() {
        let exploration = explore_for(&SAFETY);
        if exploration.violation.is_some() {
            return exploration;
        }
    }
    explore_for(&PROPERTIES)
}
