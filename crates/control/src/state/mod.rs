//! The replicated state of a service's group at one site.
//!
//! Every member applies the same [`Command`]s in the same order and so has the same state. A command that no longer
//! fits the state is rejected without any change, which makes a command that was proposed twice, or late, harmless.

mod apply;
mod assign;
mod command;
mod plans;
mod snapshot;
#[cfg(test)]
mod tests;
mod transfer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::{Display, Error};
use quillhatch_types::{
    ClassName, Epoch, GateEntry, GateStatus, Generation, NodeAddress, NodeId, PlanId, Revision, ServiceName,
    ServiceTable, SiteName, SlotAssignment, SlotId, SlotState,
};

use crate::mechanisms::ControlMechanisms;
use crate::operator::{Plan, PlanState, PlanSummary};

pub use command::{Command, PlanNote, SlotHome, SlotTransfer};

/// Finished plans that are remembered for `explain`.
pub const MAXIMUM_FINISHED_PLANS: usize = 32;

/// Entries of the history that are remembered for `explain`.
pub const MAXIMUM_HISTORY: usize = 512;

/// Retry limits of a class that a plan has set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryLimits {
    /// The class.
    pub class: ClassName,
    /// Retry tokens that the first edge gives a root call.
    pub budget: u16,
    /// The largest share of retries in first tries, in percent.
    pub ratio_percent: u8,
}

/// A slot that is being taken over from another site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotImport {
    /// The site that sealed it.
    pub from: SiteName,
    /// The epoch of the seal.
    pub seal_epoch: Epoch,
    /// The gate that records the claims and opens the slot.
    pub owner: NodeId,
    /// Whether it has opened the slot.
    pub opened: bool,
}

/// One slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRecord {
    /// The epoch at which the state was set.
    pub epoch: Epoch,
    /// Who has the slot.
    pub state: SlotState,
    /// The owner at the moment of the seal.
    pub sealed_owner: Option<NodeId>,
    /// The latest take-over from another site.
    pub import: Option<SlotImport>,
    /// Offers with a seal up to this epoch will never be accepted.
    pub refused_seal: Epoch,
}

impl SlotRecord {
    /// The take-over that is not finished yet, if there is one.
    pub fn pending_import(&self) -> Option<&SlotImport> {
        self.import.as_ref().filter(|import| !import.opened && self.state == SlotState::Vacant)
    }
}

/// A confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanRecord {
    /// The plan.
    pub plan: Plan,
    /// What became of it.
    pub state: PlanState,
    /// Steps done.
    pub steps_done: u32,
    /// Whether the first step has begun.
    pub begun: bool,
    /// Its place in the history.
    pub order: u64,
}

impl PlanRecord {
    /// The line in the list of plans.
    pub fn summary(&self) -> PlanSummary {
        let draft = &self.plan.draft;
        PlanSummary {
            id: self.plan.id.clone(),
            service: draft.service.clone(),
            site: draft.site.clone(),
            intent: draft.intent.clone(),
            state: self.state.clone(),
            steps_done: self.steps_done,
            steps: u32::try_from(draft.steps.len()).unwrap_or(u32::MAX),
            waiting_for: None,
        }
    }
}

/// One entry of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryRecord {
    /// Its place.
    pub sequence: u64,
    /// The plan, if it was one.
    pub plan: Option<PlanId>,
    /// What happened and why.
    pub what: String,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The state is not founded yet, or is founded already.
    #[display("the group's state is not in the right phase")]
    Phase,
    /// What the command speaks of is not there, or has moved on.
    #[display("the state has moved on")]
    MovedOn,
    /// The plan rests on something that has changed.
    #[display("the plan rests on {planned}, but now there is {current}")]
    BasisChanged {
        /// What the plan rests on.
        planned: String,
        /// What there is.
        current: String,
    },
    /// Another plan of the service is at work.
    #[display("plan {plan} of the same service is at work")]
    OtherPlan {
        /// That plan.
        plan: PlanId,
    },
    /// The plan was confirmed before.
    #[display("the plan was confirmed before")]
    AlreadyConfirmed,
}

/// The replicated state; see the module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceState {
    service: ServiceName,
    site: SiteName,
    mechanisms: ControlMechanisms,
    pub(crate) generation: Generation,
    pub(crate) epoch: Epoch,
    pub(crate) claims_lost: bool,
    pub(crate) revision: Revision,
    pub(crate) gates: BTreeMap<NodeAddress, GateEntry>,
    pub(crate) slots: Vec<SlotRecord>,
    pub(crate) voters: BTreeSet<NodeId>,
    pub(crate) previous_voters: BTreeSet<NodeId>,
    pub(crate) voters_epoch: Epoch,
    pub(crate) settled: BTreeMap<NodeId, Epoch>,
    pub(crate) retired: BTreeSet<NodeAddress>,
    pub(crate) plans: BTreeMap<PlanId, PlanRecord>,
    pub(crate) retries: BTreeMap<ClassName, RetryLimits>,
    pub(crate) history: VecDeque<HistoryRecord>,
    pub(crate) next_sequence: u64,
}

impl ServiceState {
    /// The state before the first command.
    pub fn new(service: ServiceName, site: SiteName, mechanisms: ControlMechanisms) -> Self {
        Self {
            service,
            site,
            mechanisms,
            generation: Generation::default(),
            epoch: Epoch::default(),
            claims_lost: false,
            revision: Revision::default(),
            gates: BTreeMap::new(),
            slots: Vec::new(),
            voters: BTreeSet::new(),
            previous_voters: BTreeSet::new(),
            voters_epoch: Epoch::default(),
            settled: BTreeMap::new(),
            retired: BTreeSet::new(),
            plans: BTreeMap::new(),
            retries: BTreeMap::new(),
            history: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The site of the group.
    pub fn site(&self) -> &SiteName {
        &self.site
    }

    /// The highest epoch; rises with every change of the table.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the first command was applied.
    pub fn is_founded(&self) -> bool {
        !self.slots.is_empty()
    }

    /// The record of a slot.
    pub fn slot(&self, slot: SlotId) -> Option<&SlotRecord> {
        self.slots.get(usize::from(slot.0))
    }

    /// All slots with their numbers.
    pub fn numbered_slots(&self) -> impl Iterator<Item = (SlotId, &SlotRecord)> {
        self.slots.iter().enumerate().map(|(number, record)| (SlotId(number as u16), record))
    }

    /// The plan that is at work, if there is one.
    pub fn active_plan(&self) -> Option<&PlanRecord> {
        self.plans.values().find(|record| record.state.is_active())
    }

    /// A confirmed plan.
    pub fn plan(&self, id: &PlanId) -> Option<&PlanRecord> {
        self.plans.get(id)
    }

    /// Gates that take calls.
    pub fn serving_gates(&self) -> impl Iterator<Item = &GateEntry> {
        self.gates.values().filter(|gate| gate.status == GateStatus::Serving)
    }

    /// The gate of this very run, if it is in the table.
    pub fn gate(&self, node: NodeId) -> Option<&GateEntry> {
        self.gates.get(&node.address).filter(|gate| gate.node == node)
    }

    /// Whether `node` owns a slot.
    pub fn owns_slots(&self, node: NodeId) -> bool {
        self.slots.iter().any(|record| record.state == SlotState::Owned { owner: node })
    }

    /// The routing table that the state stands for.
    pub fn table(&self) -> ServiceTable {
        ServiceTable {
            service: self.service.clone(),
            site: self.site.clone(),
            generation: self.generation,
            epoch: self.epoch,
            slots: self.numbered_slots().map(|(slot, record)| self.assignment(slot, record)).collect(),
            gates: self.gates.values().cloned().collect(),
            voters: self.voters.iter().copied().collect(),
            previous_voters: self.previous_voters.iter().copied().collect(),
            claims_lost: self.claims_lost,
        }
    }

    fn assignment(&self, slot: SlotId, record: &SlotRecord) -> SlotAssignment {
        let sealed = matches!(record.state, SlotState::Sealed { .. });
        let state = match record.sealed_owner {
            Some(owner) if sealed && !self.mechanisms.seal_before_move => SlotState::Owned { owner },
            _ => record.state.clone(),
        };
        SlotAssignment { slot, epoch: record.epoch, state }
    }

    pub(crate) fn record(&mut self, plan: Option<PlanId>, what: impl Into<String>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.history.push_back(HistoryRecord { sequence, plan, what: what.into() });
        if self.history.len() > MAXIMUM_HISTORY {
            self.history.pop_front();
        }
    }
}
