//! Transfers slots between sites. Each of the two groups commits its own side of a transfer.
//!
//! A slot is open at no more than one of the two sites: the old site seals it at an epoch and the new site opens it at
//! a higher one. The old site reopens it only after the new site's group has committed a refusal of that seal.

use quillhatch_types::{Epoch, GateStatus, NodeId, PlanId, SiteName, SlotId, SlotState};

use crate::state::{Rejection, ServiceState, SlotImport, SlotRecord, SlotTransfer};

impl ServiceState {
    fn slot_mut(&mut self, slot: SlotId) -> Result<&mut SlotRecord, Rejection> {
        self.slots.get_mut(usize::from(slot.0)).ok_or(Rejection::MovedOn)
    }

    pub(crate) fn seal(
        &mut self,
        plan: Option<&PlanId>,
        slots: &[SlotId],
        destination: &SiteName,
    ) -> Result<(), Rejection> {
        let assignable = |slot: &SlotId| self.slot(*slot).is_some_and(is_assignable);
        let sealed: Vec<SlotId> = slots.iter().copied().filter(assignable).collect();
        if sealed.is_empty() || destination == self.site() {
            return Err(Rejection::MovedOn);
        }
        if plan.is_some_and(|id| !self.plans.get(id).is_some_and(|record| record.state.is_active())) {
            return Err(Rejection::MovedOn);
        }
        let epoch = self.advance_epoch();
        for slot in &sealed {
            let record = self.slot_mut(*slot)?;
            record.sealed_owner = match &record.state {
                SlotState::Owned { owner } => Some(*owner),
                _ => None,
            };
            record.state = SlotState::Sealed { destination: destination.clone() };
            record.epoch = epoch;
        }
        self.rebalance();
        self.record(plan.cloned(), format!("{} slots sealed for {destination} at epoch {epoch}", sealed.len()));
        Ok(())
    }

    /// The record of a slot that is sealed at exactly the epoch of `transfer`.
    fn sealed_slot_mut(&mut self, transfer: &SlotTransfer) -> Result<&mut SlotRecord, Rejection> {
        let record = self.slot_mut(transfer.slot)?;
        let sealed = matches!(record.state, SlotState::Sealed { .. });
        if !sealed || record.epoch != transfer.seal_epoch {
            return Err(Rejection::MovedOn);
        }
        Ok(record)
    }

    pub(crate) fn unseal(&mut self, transfer: &SlotTransfer) -> Result<(), Rejection> {
        let record = self.sealed_slot_mut(transfer)?;
        record.state = SlotState::Vacant;
        // `import` is retained: it proves to the site that sealed the slot earlier that this site accepted that seal.
        record.sealed_owner = None;
        self.advance_epoch();
        self.rebalance();
        self.record(None, format!("slot {} is opened here again", transfer.slot));
        Ok(())
    }

    pub(crate) fn complete(&mut self, transfer: &SlotTransfer) -> Result<(), Rejection> {
        let record = self.sealed_slot_mut(transfer)?;
        let SlotState::Sealed { destination } = record.state.clone() else {
            return Err(Rejection::MovedOn);
        };
        // The record keeps the epoch of the seal. It is lower than the epoch of the acceptance, so the new site's table
        // takes precedence.
        record.state = SlotState::Elsewhere { site: destination.clone() };
        record.sealed_owner = None;
        record.import = None;
        self.advance_epoch();
        self.drop_previous_voters_if_settled();
        self.record(None, format!("slot {} is open at {destination}", transfer.slot));
        Ok(())
    }

    pub(crate) fn accept(&mut self, transfer: &SlotTransfer, from: &SiteName, owner: NodeId) -> Result<(), Rejection> {
        let serving = self.gate(owner).is_some_and(|gate| gate.status == GateStatus::Serving);
        let epoch = self.epoch.max(transfer.seal_epoch).next();
        let record = self.slot_mut(transfer.slot)?;
        let expected = match (&record.state, record.pending_import()) {
            // A seal that is not newer than this site's record is a delayed duplicate of an earlier offer.
            (SlotState::Elsewhere { .. }, _) => transfer.seal_epoch > record.epoch,
            (SlotState::Vacant, Some(import)) => import.seal_epoch <= transfer.seal_epoch && import.owner != owner,
            _ => false,
        };
        if !serving || !expected || transfer.seal_epoch <= record.refused_seal {
            return Err(Rejection::MovedOn);
        }
        record.state = SlotState::Vacant;
        record.epoch = epoch;
        record.import = Some(SlotImport { from: from.clone(), seal_epoch: transfer.seal_epoch, owner, opened: false });
        self.epoch = epoch;
        Ok(())
    }

    pub(crate) fn open(&mut self, slot: SlotId, epoch: Epoch, owner: NodeId) -> Result<(), Rejection> {
        let record = self.slot_mut(slot)?;
        let matches = record.pending_import().is_some_and(|import| import.owner == owner) && record.epoch == epoch;
        if !matches {
            return Err(Rejection::MovedOn);
        }
        record.state = SlotState::Owned { owner };
        if let Some(import) = &mut record.import {
            import.opened = true;
        }
        // The slot keeps the epoch at which its owner opened it; the table gets a newer one.
        self.advance_epoch();
        self.rebalance();
        self.record(None, format!("slot {slot} is open at {owner} under epoch {epoch}"));
        Ok(())
    }

    pub(crate) fn refuse(&mut self, transfer: &SlotTransfer) -> Result<(), Rejection> {
        let record = self.slot_mut(transfer.slot)?;
        let accepted = record.import.as_ref().is_some_and(|import| import.seal_epoch >= transfer.seal_epoch);
        if accepted || record.refused_seal >= transfer.seal_epoch {
            return Err(Rejection::MovedOn);
        }
        record.refused_seal = transfer.seal_epoch;
        Ok(())
    }
}

/// Whether the slot belongs to this site and is not in transfer.
fn is_assignable(record: &SlotRecord) -> bool {
    match &record.state {
        SlotState::Owned { .. } => true,
        SlotState::Vacant => record.pending_import().is_none(),
        SlotState::Sealed { .. } | SlotState::Elsewhere { .. } => false,
    }
}
