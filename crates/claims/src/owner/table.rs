//! Applies the service's table to the slots of this node, and moves slots between sites.

use std::sync::Arc;

use quillhatch_types::{
    Epoch, NodeId, Refusal, RefusalReason, ServiceTable, SlotAssignment, SlotId, SlotState, Timestamp,
};

use super::io::OwnerOutput;
use super::paging::PagedTransfer;
use super::slot::{CollectPurpose, LocalSlot, SlotPhase};
use super::ClaimOwner;
use crate::claim::{ClaimEntry, HeldClaim};
use crate::quorum::VoterRoster;

/// The round of every import. No table has this epoch, so a late reply to an import is not counted for another
/// transfer.
const IMPORT_ROUND: Epoch = Epoch(0);

impl ClaimOwner {
    pub(super) fn table_epoch(&self) -> Epoch {
        self.table.as_ref().map_or(Epoch(0), |table| table.epoch)
    }

    pub(super) fn apply_table(&mut self, now: Timestamp, table: Arc<ServiceTable>, outputs: &mut Vec<OwnerOutput>) {
        let newer = self.table.as_ref().is_none_or(|old| table.supersedes(old));
        if table.service != self.service || !newer {
            return;
        }
        let roster = VoterRoster::of_table(&table);
        let roster_changed = roster != self.roster;
        self.roster = roster;
        self.table = Some(Arc::clone(&table));
        for assignment in &table.slots {
            self.apply_assignment(now, assignment, outputs);
        }
        if roster_changed {
            self.apply_roster_change(now, outputs);
        }
        self.announce_settled(outputs);
    }

    fn apply_assignment(&mut self, now: Timestamp, assignment: &SlotAssignment, outputs: &mut Vec<OwnerOutput>) {
        let slot = assignment.slot;
        let held_epoch = self.slots.get(&slot).map(|held| held.epoch);
        let owned = matches!(assignment.state, SlotState::Owned { owner } if self.is_self(owner));
        if held_epoch.is_some_and(|epoch| epoch > assignment.epoch) {
            return;
        }
        let importer = self.slots.get(&slot).is_some_and(|held| {
            matches!(held.phase, SlotPhase::Importing { .. } | SlotPhase::Imported) && held.epoch == assignment.epoch
        });
        let moved_away = matches!(assignment.state, SlotState::Elsewhere { .. }) && !importer;
        if held_epoch == Some(assignment.epoch) && !(owned && importer) && !moved_away {
            return;
        }
        let reason = match assignment.state {
            SlotState::Sealed { .. } => RefusalReason::SlotMoving,
            SlotState::Owned { .. } | SlotState::Elsewhere { .. } | SlotState::Vacant => RefusalReason::NotOwner,
        };
        self.lose_slot(now, slot, reason, outputs);
        if owned {
            self.take_over(now, slot, assignment.epoch, outputs);
        }
    }

    fn is_self(&self, owner: NodeId) -> bool {
        if self.mechanisms.incarnation_check {
            owner == self.node
        } else {
            owner.address == self.node.address
        }
    }

    fn take_over(&mut self, now: Timestamp, slot: SlotId, epoch: Epoch, outputs: &mut Vec<OwnerOutput>) {
        if !self.mechanisms.takeover_collect {
            self.slots.insert(slot, LocalSlot { epoch, phase: SlotPhase::Open { settling: None } });
            self.open_slot(slot, outputs);
            return;
        }
        self.begin_collecting(now, slot, epoch, CollectPurpose::Takeover, outputs);
    }

    fn begin_collecting(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        purpose: CollectPurpose,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let transfer = PagedTransfer::new(epoch, &self.roster.members());
        self.slots.insert(slot, LocalSlot { epoch, phase: SlotPhase::Collecting { purpose, transfer } });
        self.send_pages(now, slot, outputs);
    }

    /// Stops granting claims of a slot: refuses the pending ones, and drops the claims that the next owner collects.
    ///
    /// Granted calls keep their tickets, so that their ends can still be reported.
    pub(super) fn lose_slot(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        reason: RefusalReason,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        if self.slots.remove(&slot).is_none() {
            return;
        }
        for id in self.deliveries.pending_in(slot) {
            self.release_and_refuse(now, id, Refusal::not_run(reason), outputs);
        }
        let deliveries = &self.deliveries;
        let is_settling = |origin| {
            deliveries.get(&super::delivery::DeliveryId { kind: crate::message::RecordKind::Settle, origin }).is_some()
        };
        self.store.retain_slot(slot, |claim| is_settling(claim.origin));
    }

    /// Redirects all transfers and deliveries in flight to the voters of the new table.
    fn apply_roster_change(&mut self, now: Timestamp, outputs: &mut Vec<OwnerOutput>) {
        let members = self.roster.members();
        let current = self.roster.current().iter().copied().collect();
        let round = self.table_epoch();
        let settle_needed = self.roster.is_changing() && self.mechanisms.voter_settle;
        let slots: Vec<SlotId> = self.slots.keys().copied().collect();
        for slot in slots {
            if self.is_open(slot) {
                let settling = settle_needed.then(|| PagedTransfer::new(round, &current));
                self.set_phase(slot, SlotPhase::Open { settling });
            } else if let Some(transfer) = self.slots.get_mut(&slot).and_then(LocalSlot::transfer_mut) {
                transfer.set_voters(&members);
            }
            self.send_pages(now, slot, outputs);
            self.advance_slot(now, slot, outputs);
        }
        for id in self.deliveries.ids() {
            self.send_delivery(now, id, outputs);
            self.review_delivery(now, id, outputs);
        }
    }

    /// Reports, once per table, that this owner no longer needs the previous voters.
    pub(super) fn announce_settled(&mut self, outputs: &mut Vec<OwnerOutput>) {
        let Some(table) = self.table.as_ref().filter(|_| self.roster.is_changing()) else {
            return;
        };
        if self.settled_epoch == Some(table.epoch) {
            return;
        }
        let owned_here =
            |assignment: &&SlotAssignment| matches!(assignment.state, SlotState::Owned { owner } if owner == self.node);
        let is_settled = |assignment: &SlotAssignment| {
            self.slots.get(&assignment.slot).is_some_and(|held| held.phase == SlotPhase::Open { settling: None })
        };
        if table.slots.iter().filter(owned_here).all(is_settled) {
            let epoch = table.epoch;
            self.settled_epoch = Some(epoch);
            outputs.push(OwnerOutput::VotersSettled { epoch });
        }
    }

    /// Seals the slot on a majority under the epoch of the table, and collects its claims.
    ///
    /// Even the last owner collects the claims from the voters: another node may have owned the slot after it, and the
    /// voters' promise prevents a paused owner from recording claims that would be missing from the export.
    pub(super) fn export_slot(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        let assignment = self.table.as_ref().and_then(|table| table.slot(slot));
        let Some(assignment) = assignment.filter(|held| matches!(held.state, SlotState::Sealed { .. })) else {
            return;
        };
        let epoch = assignment.epoch;
        match self.slots.get(&slot) {
            Some(held) if held.epoch == epoch && held.phase == SlotPhase::Exported => {
                self.complete_export(now, slot, outputs)
            }
            Some(held) if held.epoch >= epoch => {}
            _ if !self.mechanisms.export_seal => {
                self.slots.insert(slot, LocalSlot { epoch, phase: SlotPhase::Exported });
                self.complete_export(now, slot, outputs);
            }
            _ => self.begin_collecting(now, slot, epoch, CollectPurpose::Export, outputs),
        }
    }

    pub(super) fn complete_export(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        self.set_phase(slot, SlotPhase::Exported);
        let Some(epoch) = self.slots.get(&slot).map(|held| held.epoch) else {
            return;
        };
        let unexpired = self.store.slot(slot).filter(|(_, claim)| !claim.is_expired(now));
        let claims: Vec<ClaimEntry> = unexpired.map(|(key, claim)| claim.to_entry(key, now)).collect();
        outputs.push(OwnerOutput::SlotExported { slot, epoch, claims });
    }

    pub(super) fn import_slot(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        claims: Vec<ClaimEntry>,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let assigned = self.table.as_ref().and_then(|table| table.slot(slot));
        // The group may agree on the import before it assigns an owner: the slot is then vacant under the import's
        // epoch.
        let is_superseded = |assigned: &SlotAssignment| {
            assigned.epoch > epoch || (assigned.epoch == epoch && assigned.state != SlotState::Vacant)
        };
        if assigned.is_some_and(is_superseded) {
            return;
        }
        match self.slots.get(&slot) {
            Some(held) if held.epoch == epoch && held.phase == SlotPhase::Imported => {
                self.complete_import(slot, outputs)
            }
            Some(held) if held.epoch >= epoch => {}
            _ => self.begin_import(now, slot, epoch, claims, outputs),
        }
    }

    fn begin_import(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        claims: Vec<ClaimEntry>,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        self.lose_slot(now, slot, RefusalReason::SlotMoving, outputs);
        for entry in claims {
            self.store.merge(slot, &entry.key, HeldClaim::from_entry(&entry, now), now);
        }
        let transfer = PagedTransfer::new(IMPORT_ROUND, &self.roster.members());
        self.slots.insert(slot, LocalSlot { epoch, phase: SlotPhase::Importing { transfer } });
        if self.mechanisms.import_record {
            self.send_pages(now, slot, outputs);
        } else {
            self.complete_import(slot, outputs);
        }
    }

    pub(super) fn complete_import(&mut self, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        self.set_phase(slot, SlotPhase::Imported);
        if let Some(epoch) = self.slots.get(&slot).map(|held| held.epoch) {
            outputs.push(OwnerOutput::SlotImported { slot, epoch });
        }
    }
}
