//! A plan: what would be done for an intent, in numbered steps, and what that rests on.

use derive_more::Display;
use quillhatch_types::{ClassName, Epoch, Generation, NodeAddress, PlanId, Revision, ServiceName, SiteName, SlotId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::operator::Intent;

/// What one step does.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum StepAction {
    /// Move slots to another site.
    #[display("move {} slots to {to}: seal, hand the claims over, open there, then watch protected calls", slots.len())]
    MoveSlots {
        /// The slots.
        slots: Vec<SlotId>,
        /// The site that takes them.
        to: SiteName,
    },
    /// Let a gate take no new call.
    #[display("close the gate of {target} for new calls")]
    CloseGate {
        /// The peer address of the target's node.
        target: NodeAddress,
    },
    /// Give the slots of a closed gate to others.
    #[display("hand the slots of {target} to the other gates")]
    HandSlotsOn {
        /// The peer address of the target's node.
        target: NodeAddress,
    },
    /// Wait until a closed gate is idle, then remove it.
    #[display("remove {target} when its running calls have ended")]
    RemoveGate {
        /// The peer address of the target's node.
        target: NodeAddress,
    },
    /// Change a class's retry limits at one site.
    #[display("set the retries of class {class} at {site} to budget {budget}, ratio {ratio} percent")]
    SetRetries {
        /// The site.
        site: SiteName,
        /// The class.
        class: ClassName,
        /// Retry tokens of a root call.
        budget: u16,
        /// The largest share of retries in first tries, in percent.
        ratio: u8,
        /// Retry tokens before the plan, for its undo.
        previous_budget: u16,
        /// The share before the plan, for its undo.
        previous_ratio: u8,
    },
    /// Stop another plan and undo it.
    #[display("stop plan {plan} and undo what it did")]
    UndoPlan {
        /// The plan.
        plan: PlanId,
    },
}

/// One numbered step.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{number}. {action}")]
pub struct PlanStep {
    /// The number, from one.
    pub number: u32,
    /// What it does.
    pub action: StepAction,
}

/// The load that a target is expected to have when the plan is done, against what it can bear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedLoad {
    /// The site of the target.
    pub site: SiteName,
    /// The target's node.
    pub target: NodeAddress,
    /// Calls running now; absent if not measured.
    pub running: Option<u32>,
    /// Calls expected to run when the plan is done; absent if not measured.
    pub expected: Option<u32>,
    /// The measured concurrency limit; absent if not measured.
    pub limit: Option<u32>,
}

impl ExpectedLoad {
    /// Whether the expected load is above the measured limit.
    pub fn exceeds_limit(&self) -> bool {
        matches!((self.expected, self.limit), (Some(expected), Some(limit)) if expected > limit)
    }
}

/// What a plan rests on; it is refused when any of it has changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("generation {generation}, epoch {epoch}, revision {revision}")]
pub struct PlanBasis {
    /// The generation of the group that runs the plan.
    pub generation: Generation,
    /// The epoch of its table.
    pub epoch: Epoch,
    /// The configuration revision that the group has accepted.
    pub revision: Revision,
}

/// Everything in a plan but its id, which is a hash over it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanDraft {
    /// What it is for.
    pub intent: Intent,
    /// The service.
    pub service: ServiceName,
    /// The site whose group runs it.
    pub site: SiteName,
    /// What it rests on.
    pub basis: PlanBasis,
    /// What it does, in order.
    pub steps: Vec<PlanStep>,
    /// The expected load of each target concerned.
    pub loads: Vec<ExpectedLoad>,
    /// What could go wrong.
    pub risks: Vec<String>,
    /// How it is undone.
    pub undo: String,
}

/// A plan with its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// A hash over the draft, after a hash of the group that runs it.
    pub id: PlanId,
    /// What the plan says.
    #[serde(flatten)]
    pub draft: PlanDraft,
}

const PREFIX_BYTES: usize = 4;
const HASH_BYTES: usize = 8;

/// The first part of the ids of all plans that the group of `service` at `site` runs.
///
/// By it any node finds the group that a bare id belongs to.
pub fn group_prefix(service: &ServiceName, site: &SiteName) -> String {
    let digest = Sha256::digest(format!("{service}\n{site}").as_bytes());
    hexadecimal(&digest[..PREFIX_BYTES])
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl PlanDraft {
    /// Computes the id. The text hashed is the draft's JSON, whose field order is fixed by the type.
    pub fn seal(self) -> Plan {
        let text = serde_json::to_vec(&self).unwrap_or_default();
        let hash = hexadecimal(&Sha256::digest(&text)[..HASH_BYTES]);
        let name = format!("{}-{hash}", group_prefix(&self.service, &self.site));
        let id = PlanId::try_from(name).unwrap_or_else(|_| unreachable!("hexadecimal digits and a dash are a name"));
        Plan { id, draft: self }
    }
}

impl Plan {
    /// The plan that this one cancels, if it is a cancellation.
    pub fn cancelled_plan(&self) -> Option<&PlanId> {
        match &self.draft.intent {
            Intent::CancelPlan { id } => Some(id),
            _ => None,
        }
    }
}
