//! What each command does to the state.

use std::collections::BTreeSet;

use quillhatch_claims::can_drop_previous_voters;
use quillhatch_types::{Epoch, GateEntry, Generation, NodeId, SlotState};

use crate::state::{Command, Rejection, ServiceState, SlotHome, SlotRecord};

impl ServiceState {
    /// Applies an agreed command.
    ///
    /// # Errors
    ///
    /// Returns why the command does not fit the state, which then stays as it was.
    pub fn apply(&mut self, command: &Command) -> Result<(), Rejection> {
        if let Command::Found { generation, epoch, claims_lost, homes } = command {
            return self.found(*generation, *epoch, *claims_lost, homes);
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

    fn found(
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
        self.slots = homes.iter().map(|home| self.first_record(epoch, home)).collect();
        self.record(None, format!("founded as generation {generation} at epoch {epoch}, claims lost: {claims_lost}"));
        Ok(())
    }

    fn first_record(&self, epoch: Epoch, home: &SlotHome) -> SlotRecord {
        let here = &home.site == self.site();
        // Another site's slot keeps epoch zero, so that nothing here outbids what that site knows of it.
        let state = if here { SlotState::Vacant } else { SlotState::Elsewhere { site: home.site.clone() } };
        SlotRecord {
            epoch: if here { epoch } else { Epoch::default() },
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
        self.raise();
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
        self.raise();
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
        let before = std::mem::replace(&mut self.voters, voters);
        // Nothing can have been recorded on voters that were replaced before their owners settled on them, beyond what
        // is also on the older ones; so the older ones stay the ones to ask.
        if self.previous_voters.is_empty() {
            self.previous_voters = before;
        }
        self.voters_epoch = self.raise();
        self.settled.clear();
        self.drop_previous_voters_if_settled();
        Ok(())
    }

    fn settle(&mut self, owner: NodeId, epoch: Epoch) -> Result<(), Rejection> {
        let known = self.settled.get(&owner).copied().unwrap_or_default();
        if self.gate(owner).is_none() || epoch <= known || epoch < self.voters_epoch {
            return Err(Rejection::MovedOn);
        }
        self.settled.insert(owner, epoch);
        self.drop_previous_voters_if_settled();
        Ok(())
    }

    /// Until every owner has settled on the new voters, a takeover has to ask the ones before as well.
    pub(crate) fn drop_previous_voters_if_settled(&mut self) {
        if self.previous_voters.is_empty() {
            return;
        }
        if can_drop_previous_voters(&self.table(), self.voters_epoch, &self.settled) {
            self.previous_voters.clear();
            self.raise();
        }
    }

    fn accept_loss(&mut self) -> Result<(), Rejection> {
        if !self.claims_lost {
            return Err(Rejection::MovedOn);
        }
        self.claims_lost = false;
        self.raise();
        self.record(None, "the loss of claims is accepted: keyed calls are taken again");
        Ok(())
    }
}
