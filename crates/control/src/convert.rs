//! Conversions between the generated protobuf types and the types of this workspace.

use quillhatch_messages::generated::control as wire;
use quillhatch_types::{
    ClassName, Epoch, GateEntry, GateStatus, Incarnation, NodeAddress, NodeId, PlanId, SiteName, SlotAssignment,
    SlotId, SlotState, ZoneName,
};

use crate::error::{field, DecodeError};
use crate::io::LoadReport;
use crate::state::RetryLimits;

type DecodeResult<T> = Result<T, DecodeError>;

pub(crate) fn run_to_wire(node: NodeId) -> wire::Run {
    wire::Run { address: node.address.to_string(), incarnation: node.incarnation.0 }
}

pub(crate) fn address_from_wire(text: &str) -> DecodeResult<NodeAddress> {
    text.parse().map(NodeAddress).map_err(|_| field("address"))
}

pub(crate) fn run_from_wire(run: &wire::Run) -> DecodeResult<NodeId> {
    Ok(NodeId { address: address_from_wire(&run.address)?, incarnation: Incarnation(run.incarnation) })
}

pub(crate) fn runs_to_wire<'a>(nodes: impl IntoIterator<Item = &'a NodeId>) -> Vec<wire::Run> {
    nodes.into_iter().map(|node| run_to_wire(*node)).collect()
}

pub(crate) fn runs_from_wire<C: FromIterator<NodeId>>(runs: &[wire::Run]) -> DecodeResult<C> {
    runs.iter().map(run_from_wire).collect()
}

pub(crate) fn required_run(run: &Option<wire::Run>) -> DecodeResult<NodeId> {
    run_from_wire(run.as_ref().ok_or(field("run"))?)
}

pub(crate) fn slot_from_wire(slot: u32) -> DecodeResult<SlotId> {
    u16::try_from(slot).map(SlotId).map_err(|_| field("slot"))
}

pub(crate) fn slots_to_wire(slots: &[SlotId]) -> Vec<u32> {
    slots.iter().map(|slot| u32::from(slot.0)).collect()
}

pub(crate) fn slots_from_wire(slots: &[u32]) -> DecodeResult<Vec<SlotId>> {
    slots.iter().map(|slot| slot_from_wire(*slot)).collect()
}

pub(crate) fn optional_plan_to_wire(plan: &Option<PlanId>) -> String {
    plan.as_ref().map(PlanId::to_string).unwrap_or_default()
}

pub(crate) fn optional_plan_from_wire(plan: &str) -> DecodeResult<Option<PlanId>> {
    if plan.is_empty() {
        return Ok(None);
    }
    Ok(Some(PlanId::new(plan)?))
}

pub(crate) fn assignment_to_wire(assignment: &SlotAssignment) -> wire::Slot {
    let (kind, owner, site) = match &assignment.state {
        SlotState::Vacant => (wire::SlotKind::VACANT, None, String::new()),
        SlotState::Owned { owner } => (wire::SlotKind::OWNED, Some(run_to_wire(*owner)), String::new()),
        SlotState::Sealed { destination } => (wire::SlotKind::SEALED, None, destination.to_string()),
        SlotState::Elsewhere { site } => (wire::SlotKind::ELSEWHERE, None, site.to_string()),
    };
    wire::Slot { epoch: assignment.epoch.0, kind, owner, site }
}

pub(crate) fn assignment_from_wire(number: usize, slot: &wire::Slot) -> DecodeResult<SlotAssignment> {
    let state = match slot.kind {
        wire::SlotKind::VACANT => SlotState::Vacant,
        wire::SlotKind::OWNED => SlotState::Owned { owner: required_run(&slot.owner)? },
        wire::SlotKind::SEALED => SlotState::Sealed { destination: SiteName::new(&slot.site)? },
        wire::SlotKind::ELSEWHERE => SlotState::Elsewhere { site: SiteName::new(&slot.site)? },
    };
    let slot_id = u16::try_from(number).map(SlotId).map_err(|_| field("slots"))?;
    Ok(SlotAssignment { slot: slot_id, epoch: Epoch(slot.epoch), state })
}

pub(crate) fn gate_to_wire(gate: &GateEntry) -> wire::Gate {
    wire::Gate {
        node: Some(run_to_wire(gate.node)),
        zone: gate.zone.to_string(),
        draining: gate.status == GateStatus::Draining,
        connections: gate.connections,
    }
}

pub(crate) fn gate_from_wire(gate: &wire::Gate) -> DecodeResult<GateEntry> {
    Ok(GateEntry {
        node: required_run(&gate.node)?,
        zone: ZoneName::new(&gate.zone)?,
        status: if gate.draining { GateStatus::Draining } else { GateStatus::Serving },
        connections: gate.connections,
    })
}

pub(crate) fn limits_to_wire(limits: &RetryLimits) -> wire::RetryLimits {
    wire::RetryLimits {
        class: limits.class.to_string(),
        budget: u32::from(limits.budget),
        ratio: u32::from(limits.ratio_percent),
    }
}

pub(crate) fn limits_from_wire(limits: &wire::RetryLimits) -> DecodeResult<RetryLimits> {
    Ok(RetryLimits {
        class: ClassName::new(&limits.class)?,
        budget: u16::try_from(limits.budget).map_err(|_| field("budget"))?,
        ratio_percent: u8::try_from(limits.ratio).map_err(|_| field("ratio"))?,
    })
}

pub(crate) fn load_to_wire(load: &LoadReport) -> wire::Load {
    wire::Load {
        running: load.running,
        limit: load.limit,
        completions: load.completions_per_second,
        protected_refusals: load.protected_refusals,
    }
}

pub(crate) fn load_from_wire(load: &wire::Load) -> DecodeResult<LoadReport> {
    if !load.completions.is_finite() {
        return Err(field("completions"));
    }
    Ok(LoadReport {
        running: load.running,
        limit: load.limit,
        completions_per_second: load.completions,
        protected_refusals: load.protected_refusals,
    })
}
