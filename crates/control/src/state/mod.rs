//! The replicated state of a service's group at one site.
//!
//! Every member applies the same [`Command`]s in the same order and so computes the same state. A command that no
//! longer fits the state is rejected and changes nothing, so a duplicate or late proposal is safe.

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

/// The number of finished plans retained for `explain`.
pub const MAX_FINISHED_PLANS: usize = 32;

/// The number of history entries retained for `explain`.
pub const MAX_HISTORY_ENTRIES: usize = 512;

/// The retry limits that a plan set for a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryLimits {
    /// The class.
    pub class: ClassName,
    /// The number of retry tokens that the first edge assigns to a root call.
    pub budget: u16,
    /// The maximum ratio of retries to first attempts, in percent.
    pub ratio_percent: u8,
}

/// The transfer of a slot from another site to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotImport {
    /// The site that sealed the slot.
    pub from: SiteName,
    /// The epoch of the seal.
    pub seal_epoch: Epoch,
    /// The gate that records the claims and opens the slot.
    pub owner: NodeId,
    /// Whether `owner` has opened the slot.
    pub opened: bool,
}

/// The state of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRecord {
    /// The epoch of the latest change to `state`.
    pub epoch: Epoch,
    /// Whether the slot is owned, vacant, sealed or at another site.
    pub state: SlotState,
    /// The gate that owned the slot when it was sealed.
    pub sealed_owner: Option<NodeId>,
    /// The latest transfer from another site.
    pub import: Option<SlotImport>,
    /// Offers whose seal epoch is at most this one are never accepted.
    pub refused_seal: Epoch,
}

impl SlotRecord {
    /// The transfer from another site that is accepted but not yet opened, if there is one.
    pub fn pending_import(&self) -> Option<&SlotImport> {
        self.import.as_ref().filter(|import| !import.opened && self.state == SlotState::Vacant)
    }
}

/// A confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanRecord {
    /// The plan.
    pub plan: Plan,
    /// The current state of the plan.
    pub state: PlanState,
    /// The number of completed steps.
    pub steps_done: u32,
    /// Whether the first step has begun.
    pub begun: bool,
    /// The sequence number of its confirmation in the history; the oldest finished plans are dropped first.
    pub order: u64,
}

impl PlanRecord {
    /// The plan's entry in the list of plans.
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
    /// The sequence number of the entry.
    pub sequence: u64,
    /// The plan that the entry belongs to, if any.
    pub plan: Option<PlanId>,
    /// What happened and why.
    pub what: String,
}

/// Why a command was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The group is not founded yet, or is already founded.
    #[display("the group's state is not in the right phase")]
    Phase,
    /// The subject of the command does not exist, or its state has changed since the command was proposed.
    #[display("the state has moved on")]
    MovedOn,
    /// The state has changed since the plan was made.
    #[display("the plan rests on {planned}, but now there is {current}")]
    BasisChanged {
        /// The generation, epoch and revision that the plan was made for.
        planned: String,
        /// The current generation, epoch and revision.
        current: String,
    },
    /// Another plan of the service is active.
    #[display("plan {plan} of the same service is at work")]
    OtherPlan {
        /// The active plan.
        plan: PlanId,
    },
    /// The plan is already confirmed.
    #[display("the plan was confirmed before")]
    AlreadyConfirmed,
}

/// The replicated state of one service's group at one site.
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

    /// The current epoch, which increases with every change of the routing table.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether [`Command::Found`] has been applied.
    pub fn is_founded(&self) -> bool {
        !self.slots.is_empty()
    }

    /// The record of a slot.
    pub fn slot(&self, slot: SlotId) -> Option<&SlotRecord> {
        self.slots.get(usize::from(slot.0))
    }

    /// All slots with their ids.
    pub fn numbered_slots(&self) -> impl Iterator<Item = (SlotId, &SlotRecord)> {
        self.slots.iter().enumerate().map(|(number, record)| (SlotId(number as u16), record))
    }

    /// The plan that is running or being undone, if there is one.
    pub fn active_plan(&self) -> Option<&PlanRecord> {
        self.plans.values().find(|record| record.state.is_active())
    }

    /// A confirmed plan.
    pub fn plan(&self, id: &PlanId) -> Option<&PlanRecord> {
        self.plans.get(id)
    }

    /// The gates that accept calls.
    pub fn serving_gates(&self) -> impl Iterator<Item = &GateEntry> {
        self.gates.values().filter(|gate| gate.status == GateStatus::Serving)
    }

    /// The gate at the address of `node`, if the table lists it with the same incarnation.
    pub fn gate(&self, node: NodeId) -> Option<&GateEntry> {
        self.gates.get(&node.address).filter(|gate| gate.node == node)
    }

    /// Whether `node` owns a slot.
    pub fn owns_slots(&self, node: NodeId) -> bool {
        self.slots.iter().any(|record| record.state == SlotState::Owned { owner: node })
    }

    /// Builds the routing table from the state.
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
        if self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }
}
