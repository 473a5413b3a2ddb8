//! Encodes the state as a snapshot for members that join later.

use std::collections::BTreeMap;

use quillhatch_messages::generated::control as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::{Epoch, Generation, NodeId, PlanId, Revision, ServiceName, SiteName, SlotAssignment, SlotId};

use crate::convert::{
    address_from_wire, assignment_from_wire, assignment_to_wire, gate_from_wire, gate_to_wire, limits_from_wire,
    limits_to_wire, optional_plan_from_wire, optional_plan_to_wire, required_run, run_from_wire, run_to_wire,
    runs_from_wire, runs_to_wire,
};
use crate::error::DecodeError;
use crate::mechanisms::ControlMechanisms;
use crate::operator::Plan;
use crate::state::{HistoryRecord, PlanRecord, ServiceState, SlotImport, SlotRecord};

type DecodeResult<T> = Result<T, DecodeError>;

impl ServiceState {
    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let settled =
            |(owner, epoch): (&NodeId, &Epoch)| wire::Settled { owner: Some(run_to_wire(*owner)), epoch: epoch.0 };
        let state = wire::State {
            generation: self.generation.0,
            epoch: self.epoch.0,
            claims_lost: self.claims_lost,
            revision: self.revision.0,
            voters_epoch: self.voters_epoch.0,
            gates: self.gates.values().map(gate_to_wire).collect(),
            slots: self.numbered_slots().map(|(slot, record)| slot_to_wire(slot, record)).collect(),
            voters: runs_to_wire(&self.voters),
            previous_voters: runs_to_wire(&self.previous_voters),
            settled: self.settled.iter().map(settled).collect(),
            retired: self.retired.iter().map(ToString::to_string).collect(),
            plans: self.plans.values().map(plan_to_wire).collect(),
            retries: self.retries.values().map(limits_to_wire).collect(),
            history: self.history.iter().map(history_to_wire).collect(),
            next_sequence: self.next_sequence,
        };
        encode(&state)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a valid snapshot.
    pub fn decode(
        bytes: &[u8],
        service: ServiceName,
        site: SiteName,
        mechanisms: ControlMechanisms,
    ) -> DecodeResult<Self> {
        let state: wire::State = decode(bytes)?;
        let mut decoded = ServiceState::new(service, site, mechanisms);
        decoded.generation = Generation(state.generation);
        decoded.epoch = Epoch(state.epoch);
        decoded.claims_lost = state.claims_lost;
        decoded.revision = Revision(state.revision);
        decoded.voters_epoch = Epoch(state.voters_epoch);
        for gate in &state.gates {
            let gate = gate_from_wire(gate)?;
            decoded.gates.insert(gate.node.address, gate);
        }
        decoded.slots = state.slots.iter().enumerate().map(slot_from_wire).collect::<DecodeResult<_>>()?;
        decoded.voters = runs_from_wire(&state.voters)?;
        decoded.previous_voters = runs_from_wire(&state.previous_voters)?;
        for settled in &state.settled {
            decoded.settled.insert(required_run(&settled.owner)?, Epoch(settled.epoch));
        }
        decoded.retired = state.retired.iter().map(|text| address_from_wire(text)).collect::<DecodeResult<_>>()?;
        decoded.plans = plans_from_wire(&state.plans)?;
        for limits in &state.retries {
            let limits = limits_from_wire(limits)?;
            decoded.retries.insert(limits.class.clone(), limits);
        }
        decoded.history = state.history.iter().map(history_from_wire).collect::<DecodeResult<_>>()?;
        decoded.next_sequence = state.next_sequence;
        Ok(decoded)
    }
}

fn slot_to_wire(slot: SlotId, record: &SlotRecord) -> wire::SlotRecord {
    let assignment = SlotAssignment { slot, epoch: record.epoch, state: record.state.clone() };
    let mut encoded = assignment_to_wire(&assignment);
    if encoded.owner.is_none() {
        encoded.owner = record.sealed_owner.map(run_to_wire);
    }
    let import = record.import.as_ref().map(|import| wire::SlotTransfer {
        seal_epoch: import.seal_epoch.0,
        from: import.from.to_string(),
        owner: Some(run_to_wire(import.owner)),
        epoch: u64::from(import.opened),
        ..Default::default()
    });
    wire::SlotRecord { slot: Some(encoded), import, refused_seal: record.refused_seal.0 }
}

fn slot_from_wire((number, record): (usize, &wire::SlotRecord)) -> DecodeResult<SlotRecord> {
    let slot = record.slot.clone().unwrap_or_default();
    let assignment = assignment_from_wire(number, &slot)?;
    let sealed_owner = match slot.kind {
        wire::SlotKind::SEALED => slot.owner.as_ref().map(run_from_wire).transpose()?,
        _ => None,
    };
    let import = record.import.as_ref().map(import_from_wire).transpose()?;
    let refused_seal = Epoch(record.refused_seal);
    Ok(SlotRecord { epoch: assignment.epoch, state: assignment.state, sealed_owner, import, refused_seal })
}

fn import_from_wire(import: &wire::SlotTransfer) -> DecodeResult<SlotImport> {
    Ok(SlotImport {
        from: SiteName::new(&import.from)?,
        seal_epoch: Epoch(import.seal_epoch),
        owner: required_run(&import.owner)?,
        opened: import.epoch != 0,
    })
}

fn plan_to_wire(record: &PlanRecord) -> wire::PlanRecord {
    wire::PlanRecord {
        plan: serde_json::to_vec(&record.plan).unwrap_or_default(),
        state: serde_json::to_vec(&record.state).unwrap_or_default(),
        steps_done: record.steps_done,
        begun: record.begun,
        order: record.order,
    }
}

fn plans_from_wire(plans: &[wire::PlanRecord]) -> DecodeResult<BTreeMap<PlanId, PlanRecord>> {
    let decode_one = |record: &wire::PlanRecord| {
        let plan: Plan = serde_json::from_slice(&record.plan)?;
        let state = serde_json::from_slice(&record.state)?;
        let id = plan.id.clone();
        let (steps_done, begun, order) = (record.steps_done, record.begun, record.order);
        Ok((id, PlanRecord { plan, state, steps_done, begun, order }))
    };
    plans.iter().map(decode_one).collect()
}

fn history_to_wire(entry: &HistoryRecord) -> wire::HistoryRecord {
    wire::HistoryRecord { sequence: entry.sequence, plan: optional_plan_to_wire(&entry.plan), what: entry.what.clone() }
}

fn history_from_wire(entry: &wire::HistoryRecord) -> DecodeResult<HistoryRecord> {
    Ok(HistoryRecord {
        sequence: entry.sequence,
        plan: optional_plan_from_wire(&entry.plan)?,
        what: entry.what.clone(),
    })
}
