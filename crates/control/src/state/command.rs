//! The commands that a group commits to its replicated log.

use quillhatch_messages::generated::control as wire;
use quillhatch_messages::generated::control::mod_Command::OneOfbody as Body;
use quillhatch_messages::{decode, encode};
use quillhatch_types::{Epoch, GateEntry, Generation, NodeAddress, NodeId, PlanId, Revision, SiteName, SlotId};

use crate::convert::{
    address_from_wire, gate_from_wire, gate_to_wire, limits_from_wire, limits_to_wire, optional_plan_from_wire,
    optional_plan_to_wire, required_run, run_from_wire, run_to_wire, runs_from_wire, runs_to_wire, slot_from_wire,
    slots_from_wire, slots_to_wire,
};
use crate::error::{field, DecodeError};
use crate::operator::{Plan, PlanState};
use crate::state::RetryLimits;

/// Identifies the transfer of a slot between sites by the slot and the epoch of its seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotTransfer {
    /// The slot.
    pub slot: SlotId,
    /// The epoch of the seal at the old site.
    pub seal_epoch: Epoch,
}

/// The site that owns a slot when a group is founded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotHome {
    /// The owning site.
    pub site: SiteName,
    /// Offers of the slot whose seal epoch is at most this one predate the founding and are invalid.
    pub floor: Epoch,
}

/// A progress update of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanNote {
    /// The plan.
    pub plan: PlanId,
    /// The new state of the plan, if it changes.
    pub state: Option<PlanState>,
    /// The number of completed steps.
    pub steps_done: u32,
    /// Whether the first step has begun.
    pub begun: bool,
    /// What happened and why.
    pub note: String,
}

/// A change of the replicated state, applied by [`ServiceState::apply`](crate::state::ServiceState::apply).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Founds the group and sets the owning site of each slot; always the first command.
    Found {
        /// The generation of the group.
        generation: Generation,
        /// The first epoch.
        epoch: Epoch,
        /// Whether claims were lost before the founding.
        claims_lost: bool,
        /// The owning site by slot.
        homes: Vec<SlotHome>,
    },
    /// Adds or updates a gate.
    SetGate(GateEntry),
    /// Removes a gate.
    RemoveGate(NodeId),
    /// Replaces the group's voters.
    SetVoters(Vec<NodeId>),
    /// An owner has recorded its claims on a majority of the voters.
    Settled {
        /// The owner.
        owner: NodeId,
        /// The epoch of the table with these voters.
        epoch: Epoch,
    },
    /// Closes slots at this site, so that their claims can be moved to another site.
    Seal {
        /// The plan that moves the slots, if it is a plan of this group.
        plan: Option<PlanId>,
        /// The slots.
        slots: Vec<SlotId>,
        /// The site that the slots move to.
        destination: SiteName,
    },
    /// Reopens a sealed slot after the group of the other site has committed a refusal to accept it.
    Unseal(SlotTransfer),
    /// Completes a transfer after the other site has opened the slot.
    Complete(SlotTransfer),
    /// Accepts a slot that another site has sealed.
    Accept {
        /// The slot and its seal.
        transfer: SlotTransfer,
        /// The site that sealed the slot.
        from: SiteName,
        /// The gate that will open the slot.
        owner: NodeId,
    },
    /// The gate has recorded the claims and opened the slot.
    Open {
        /// The slot.
        slot: SlotId,
        /// The epoch at which the gate opened it.
        epoch: Epoch,
        /// The gate.
        owner: NodeId,
    },
    /// Refuses the offer of a slot permanently.
    Refuse(SlotTransfer),
    /// Confirms a plan.
    Confirm(Box<Plan>),
    /// Records the progress of a plan.
    Progress(PlanNote),
    /// Sets the retry limits of a class.
    SetRetries {
        /// The plan.
        plan: PlanId,
        /// The limits.
        limits: RetryLimits,
    },
    /// Accepts the loss of claims: an operator accepts the risk that a key used before the loss runs twice, or the
    /// retention time of the lost claims has passed.
    AcceptLoss,
    /// Sets the configuration revision that the group applies.
    SetRevision(Revision),
    /// Retires a target or reverses its retirement.
    SetRetired {
        /// The peer address of the target's node.
        target: NodeAddress,
        /// Whether the target is retired.
        retired: bool,
    },
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        encode(&wire::Command { body: self.body() })
    }

    fn body(&self) -> Body {
        match self {
            Command::Found { generation, epoch, claims_lost, homes } => Body::found(wire::Found {
                generation: generation.0,
                epoch: epoch.0,
                claims_lost: *claims_lost,
                homes: homes.iter().map(|home| home.site.to_string()).collect(),
                floors: homes.iter().map(|home| home.floor.0).collect(),
            }),
            Command::SetGate(gate) => Body::set_gate(gate_to_wire(gate)),
            Command::RemoveGate(node) => Body::remove_gate(run_to_wire(*node)),
            Command::SetVoters(voters) => Body::set_voters(wire::RunList { runs: runs_to_wire(voters) }),
            Command::Settled { owner, epoch } => {
                Body::settled(wire::Settled { owner: Some(run_to_wire(*owner)), epoch: epoch.0 })
            }
            Command::Seal { plan, slots, destination } => Body::seal(wire::SealSlots {
                plan: optional_plan_to_wire(plan),
                slots: slots_to_wire(slots),
                destination: destination.to_string(),
            }),
            Command::Unseal(transfer) => Body::unseal(transfer_to_wire(transfer)),
            Command::Complete(transfer) => Body::complete(transfer_to_wire(transfer)),
            Command::Accept { transfer, from, owner } => Body::accept(wire::SlotTransfer {
                from: from.to_string(),
                owner: Some(run_to_wire(*owner)),
                ..transfer_to_wire(transfer)
            }),
            Command::Open { slot, epoch, owner } => Body::open(wire::SlotTransfer {
                slot: u32::from(slot.0),
                owner: Some(run_to_wire(*owner)),
                epoch: epoch.0,
                ..Default::default()
            }),
            Command::Refuse(transfer) => Body::refuse(transfer_to_wire(transfer)),
            Command::Confirm(plan) => Body::confirm(wire::PlanRecord { plan: to_json(plan), ..Default::default() }),
            Command::Progress(note) => Body::progress(wire::PlanNote {
                plan: note.plan.to_string(),
                state: note.state.as_ref().map(to_json).unwrap_or_default(),
                steps_done: note.steps_done,
                note: note.note.clone(),
                begun: note.begun,
            }),
            Command::SetRetries { plan, limits } => {
                Body::set_retries(wire::SetRetries { plan: plan.to_string(), limits: Some(limits_to_wire(limits)) })
            }
            Command::AcceptLoss => Body::accept_loss(wire::AcceptLoss { accept: true }),
            Command::SetRevision(revision) => Body::revision(wire::Revision { revision: revision.0 }),
            Command::SetRetired { target, retired } => {
                Body::retired(wire::Retired { address: target.to_string(), retired: *retired })
            }
        }
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let command: wire::Command = decode(bytes)?;
        Ok(match &command.body {
            Body::found(found) => Command::Found {
                generation: Generation(found.generation),
                epoch: Epoch(found.epoch),
                claims_lost: found.claims_lost,
                homes: homes_from_wire(found)?,
            },
            Body::set_gate(gate) => Command::SetGate(gate_from_wire(gate)?),
            Body::remove_gate(node) => Command::RemoveGate(run_from_wire(node)?),
            Body::set_voters(voters) => Command::SetVoters(runs_from_wire(&voters.runs)?),
            Body::settled(settled) => {
                Command::Settled { owner: required_run(&settled.owner)?, epoch: Epoch(settled.epoch) }
            }
            Body::seal(seal) => Command::Seal {
                plan: optional_plan_from_wire(&seal.plan)?,
                slots: slots_from_wire(&seal.slots)?,
                destination: SiteName::new(&seal.destination)?,
            },
            Body::unseal(transfer) => Command::Unseal(transfer_from_wire(transfer)?),
            Body::complete(transfer) => Command::Complete(transfer_from_wire(transfer)?),
            Body::accept(accept) => Command::Accept {
                transfer: transfer_from_wire(accept)?,
                from: SiteName::new(&accept.from)?,
                owner: required_run(&accept.owner)?,
            },
            Body::open(open) => Command::Open {
                slot: slot_from_wire(open.slot)?,
                epoch: Epoch(open.epoch),
                owner: required_run(&open.owner)?,
            },
            Body::refuse(transfer) => Command::Refuse(transfer_from_wire(transfer)?),
            Body::confirm(record) => Command::Confirm(serde_json::from_slice(&record.plan)?),
            Body::progress(note) => Command::Progress(note_from_wire(note)?),
            Body::set_retries(set) => Command::SetRetries {
                plan: PlanId::new(&set.plan)?,
                limits: limits_from_wire(set.limits.as_ref().ok_or(field("limits"))?)?,
            },
            Body::accept_loss(_) => Command::AcceptLoss,
            Body::revision(revision) => Command::SetRevision(Revision(revision.revision)),
            Body::retired(retired) => {
                Command::SetRetired { target: address_from_wire(&retired.address)?, retired: retired.retired }
            }
            Body::None => return Err(field("body")),
        })
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn transfer_to_wire(transfer: &SlotTransfer) -> wire::SlotTransfer {
    wire::SlotTransfer { slot: u32::from(transfer.slot.0), seal_epoch: transfer.seal_epoch.0, ..Default::default() }
}

fn transfer_from_wire(transfer: &wire::SlotTransfer) -> Result<SlotTransfer, DecodeError> {
    Ok(SlotTransfer { slot: slot_from_wire(transfer.slot)?, seal_epoch: Epoch(transfer.seal_epoch) })
}

fn homes_from_wire(found: &wire::Found) -> Result<Vec<SlotHome>, DecodeError> {
    if found.homes.len() != found.floors.len() {
        return Err(field("floors"));
    }
    let home = |(site, floor): (&String, &u64)| Ok(SlotHome { site: SiteName::new(site)?, floor: Epoch(*floor) });
    found.homes.iter().zip(&found.floors).map(home).collect()
}

fn note_from_wire(note: &wire::PlanNote) -> Result<PlanNote, DecodeError> {
    let state = if note.state.is_empty() { None } else { Some(serde_json::from_slice(&note.state)?) };
    Ok(PlanNote {
        plan: PlanId::new(&note.plan)?,
        state,
        steps_done: note.steps_done,
        begun: note.begun,
        note: note.note.clone(),
    })
}
