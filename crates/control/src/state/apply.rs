//! Applies commands to the state.

use std::collections::BTreeSet;

use quillhatch_claims::can_drop_previous_voters;
use quillhatch_types::{Epoch, GateEntry, Generation, NodeId, SlotState};

use crate::state::{Command, Rejection, ServiceState, SlotHome, SlotRecord};

impl ServiceState {
    /// Applies a command that the group has committed.
    ///
    /// # Errors
    ///
    /// Returns why the command does not fit the state, which is then unchanged.
    pub fn apply(&mut self, command: &Command) -> Result<(), Rejection> {
        if let Command::Found { generation, epoch, claims_lost, homes } = command {
            return self.found_group(*generation, *epoch, *claims_lost, homes);
        }
        if !self.is_founded() {
            return Err(Rejection::Phase);
        }
        match command {
            Command::Found { .. } => Err(Rejection::Phase),
            Command::SetGate(gate) => self.set_gate(gate),
            Command::RemoveGate(node) => self.remove_gate(*node),
            Command::SetVoters(voters) => self.set_voters(voters),
            Command::Settled { owner, epoch } => self.settle(*owner, *epoch),
            Command::Seal { plan, slots, destination } => self.seal(plan.as_ref(), slots, destination),
            Command::Unseal(transfer) => self.unseal(transfer),
            Command::Complete(transfer) => self.complete(transfer),
            Command::Accept { transfer, from, owner } => self.accept(transfer, from, *owner),
            Command::Open { slot, epoch, owner } => self.open(*slot, *epoch, *owner),
            Command::Refuse(transfer) => self.refuse(transfer),
            Command::Confirm(plan) => self.confirm(plan),
            Command::Progress(note) => self.progress(note),
            Command::SetRetries { plan, limits } => self.set_retries(plan, limits),
            Command::AcceptLoss => self.accept_loss(),
            Command::SetRevision(revision) => {
                if *revision <= self.revision {
                    return Err(Rejection::MovedOn);
                }
                self.revision = *revision;
                Ok(())
            }
            Command::SetRetired { target, retired } => {
                let changed = if *retired { self.retired.insert(*target) } else { self.retired.remove(target) };
                if changed {
                    Ok(())
                } else {
                    Err(Rejection::MovedOn)
                }
            }
        }
    }

    fn found_group(
        &mut self,
        generation: Generation,
        epoch: Epoch,
        claims_lost: bool,
        homes: &[SlotHome],
    ) -> Result<(), Rejection> {
        if self.is_founded() || homes.is_empty() {
            return Err(Rejection::Phase);
        }
        self.generation = generation;
        self.epoch = epoch;
        self.claims_lost = claims_lost;
        self.voters_epoch = epoch;
        self.slots = homes.iter().map(|home| self.initial_slot_record(epoch, home)).collect();
        self.record(None, format!("founded as generation {generation} at epoch {epoch}, claims lost: {claims_lost}"));
        Ok(())
    }

    fn initial_slot_record(&self, epoch: Epoch, home: &SlotHome) -> SlotRecord {
        let local = &home.site == self.site();
        // A slot of another site gets epoch zero, so that this site's record never takes precedence over the record of
        // that site.
        let state = if local { SlotState::Vacant } else { SlotState::Elsewhere { site: home.site.clone() } };
        SlotRecord {
            epoch: if local { epoch } else { Epoch::default() },
            state,
            sealed_owner: None,
            import: None,
            refused_seal: home.floor,
        }
    }

    fn set_gate(&mut self, gate: &GateEntry) -> Result<(), Rejection> {
        if self.gates.get(&gate.node.address) == Some(gate) {
            return Err(Rejection::MovedOn);
        }
        self.gates.insert(gate.node.address, gate.clone());
        self.advance_epoch();
        self.rebalance();
        self.record(None, format!("gate {} is {:?}", gate.node, gate.status));
        Ok(())
    }

    fn remove_gate(&mut self, node: NodeId) -> Result<(), Rejection> {
        if self.gate(node).is_none() {
            return Err(Rejection::MovedOn);
        }
        self.gates.remove(&node.address);
        self.settled.remove(&node);
        self.advance_epoch();
        self.rebalance();
        self.drop_previous_voters_if_settled();
        self.record(None, format!("gate {node} is removed"));
        Ok(())
    }

    fn set_voters(&mut self, voters: &[NodeId]) -> Result<(), Rejection> {
        let voters: BTreeSet<NodeId> = voters.iter().copied().collect();
        if voters == self.voters || voters.is_empty() {
            return Err(Rejection::MovedOn);
        }
        let replaced = std::mem::replace(&mut self.voters, voters);
        // Voters that are replaced before all owners have settled on them hold no claim records that the older voters
        // lack, so takeovers continue to query the older voters.
        if self.previous_voters.is_empty() {
            self.previous_voters = replaced;
        }
        self.voters_epoch = self.advance_epoch();
        self.settled.clear();
        self.drop_previous_voters_if_settled();
        Ok(())
    }

    fn settle(&mut self, owner: NodeId, epoch: Epoch) -> Result<(), Rejection> {
        let settled_epoch = self.settled.get(&owner).copied().unwrap_or_default();
        if self.gate(owner).is_none() || epoch <= settled_epoch || epoch < self.voters_epoch {
            return Err(Rejection::MovedOn);
        }
        self.settled.insert(owner, epoch);
        self.drop_previous_voters_if_settled();
        Ok(())
    }

    /// Drops the previous voters once every owner has settled on the new ones. Until then a takeover must query both.
    pub(crate) fn drop_previous_voters_if_settled(&mut self) {
        if self.previous_voters.is_empty() {
            return;
        }
        if can_drop_previous_voters(&self.table(), self.voters_epoch, &self.settled) {
            self.previous_voters.clear();
            self.advance_epoch();
        }
    }

    fn accept_loss(&mut self) -> Result<(), Rejection> {
        if !self.claims_lost {
            return Err(Rejection::MovedOn);
        }
        self.claims_lost = false;
        self.advance_epoch();
        self.record(None, "the loss of claims is accepted: keyed calls are taken again");
        Ok(())
    }
}
