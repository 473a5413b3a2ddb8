//! Slots that come and go with the service's table, and slots that move between sites.

use std::sync::Arc;

use quillhatch_types::{
    Epoch, NodeId, Refusal, RefusalReason, ServiceTable, SlotAssignment, SlotId, SlotState, Timestamp,
};

use super::io::OwnerOutput;
use super::paging::Paging;
use super::slot::{Phase, Purpose, Slot};
use super::ClaimOwner;
use crate::claim::{ClaimEntry, HeldClaim};
use crate::quorum::Roster;

/// The round of every import; no table has this epoch, so a late answer to it counts for no other transfer.
const IMPORT_ROUND: Epoch = Epoch(0);

impl ClaimOwner {
    pub(super) fn table_epoch(&self) -> Epoch {
        self.table.as_ref().map_or(Epoch(0), |table| table.epoch)
    }

    pub(super) fn take_table(&mut self, now: Timestamp, table: Arc<ServiceTable>, outputs: &mut Vec<OwnerOutput>) {
        let newer = self.table.as_ref().is_none_or(|old| table.supersedes(old));
        if table.service != self.service || !newer {
            return;
        }
        let roster = Roster::of_table(&table);
        let roster_changed = roster != self.roster;
        self.roster = roster;
        self.table = Some(Arc::clone(&table));
        for assignment in &table.slots {
            self.take_assignment(now, assignment, outputs);
        }
        if roster_changed {
            self.follow_roster(now, outputs);
        }
        self.announce_settled(outputs);
    }

    fn take_assignment(&mut self, now: Timestamp, assignment: &SlotAssignment, outputs: &mut Vec<OwnerOutput>) {
        let slot = assignment.slot;
        let held_epoch = self.slots.get(&slot).map(|held| held.epoch);
        let owned = matches!(assignment.state, SlotState::Owned { owner } if self.is_self(owner));
        if held_epoch.is_some_and(|epoch| epoch > assignment.epoch) {
            return;
        }
        let importer = self.slots.get(&slot).is_some_and(|held| {
            matches!(held.phase, Phase::Importing { .. } | Phase::Imported) && held.epoch == assignment.epoch
        });
        let handed_over = matches!(assignment.state, SlotState::Elsewhere { .. }) && !importer;
        if held_epoch == Some(assignment.epoch) && !(owned && importer) && !handed_over {
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
            self.slots.insert(slot, Slot { epoch, phase: Phase::Open { settling: None } });
            self.open_slot(slot, outputs);
            return;
        }
        self.begin_collecting(now, slot, epoch, Purpose::Takeover, outputs);
    }

    fn begin_collecting(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        purpose: Purpose,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let paging = Paging::new(epoch, &self.roster.members());
        self.slots.insert(slot, Slot { epoch, phase: Phase::Collecting { purpose, paging } });
        self.send_pages(now, slot, outputs);
    }

    /// Stops granting claims of a slot: refuses those that wait, and forgets what the next owner collects.
    ///
    /// Calls that were granted keep their tickets, so that their ends can still be told.
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
            self.give_up(now, id, Refusal::not_run(reason), outputs);
        }
        let deliveries = &self.deliveries;
        let settling = |origin| {
            deliveries.get(&super::delivery::DeliveryId { kind: crate::message::RecordKind::Settle, origin }).is_some()
        };
        self.store.retain_slot(slot, |claim| settling(claim.origin));
    }

    /// Brings everything that is on its way to the voters of the new table.
    fn follow_roster(&mut self, now: Timestamp, outputs: &mut Vec<OwnerOutput>) {
        let members = self.roster.members();
        let current = self.roster.current().iter().copied().collect();
        let round = self.table_epoch();
        let settle_needed = self.roster.is_changing() && self.mechanisms.voter_settle;
        let slots: Vec<SlotId> = self.slots.keys().copied().collect();
        for slot in slots {
            if self.is_open(slot) {
                let settling = settle_needed.then(|| Paging::new(round, &current));
                self.set_phase(slot, Phase::Open { settling });
            } else if let Some(paging) = self.slots.get_mut(&slot).and_then(Slot::paging_mut) {
                paging.set_voters(&members);
            }
            self.send_pages(now, slot, outputs);
            self.review_slot(now, slot, outputs);
        }
        for id in self.deliveries.ids() {
            self.send_delivery(now, id, outputs);
            self.review(now, id, outputs);
        }
    }

    /// Says that the previous voters are not needed by this owner any more, once per table.
    pub(super) fn announce_settled(&mut self, outputs: &mut Vec<OwnerOutput>) {
        let Some(table) = self.table.as_ref().filter(|_| self.roster.is_changing()) else {
            return;
        };
        if self.settled_epoch == Some(table.epoch) {
            return;
        }
        let mine =
            |assignment: &&SlotAssignment| matches!(assignment.state, SlotState::Owned { owner } if owner == self.node);
        let settled = |assignment: &SlotAssignment| {
            self.slots.get(&assignment.slot).is_some_and(|held| held.phase == Phase::Open { settling: None })
        };
        if table.slots.iter().filter(mine).all(settled) {
            let epoch = table.epoch;
            self.settled_epoch = Some(epoch);
            outputs.push(OwnerOutput::VotersSettled { epoch });
        }
    }

    /// Seals the slot on a majority under the epoch of the table, and collects its claims.
    ///
    /// The claims are collected from the voters even by the last owner: another may have owned the slot after it, and
    /// the promise keeps a paused owner from recording claims that would not be handed over.
    pub(super) fn export(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        let assignment = self.table.as_ref().and_then(|table| table.slot(slot));
        let Some(assignment) = assignment.filter(|held| matches!(held.state, SlotState::Sealed { .. })) else {
            return;
        };
        let epoch = assignment.epoch;
        match self.slots.get(&slot) {
            Some(held) if held.epoch == epoch && held.phase == Phase::Exported => self.exported(now, slot, outputs),
            Some(held) if held.epoch >= epoch => {}
            _ if !self.mechanisms.export_seal => {
                self.slots.insert(slot, Slot { epoch, phase: Phase::Exported });
                self.exported(now, slot, outputs);
            }
            _ => self.begin_collecting(now, slot, epoch, Purpose::Export, outputs),
        }
    }

    pub(super) fn exported(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        self.set_phase(slot, Phase::Exported);
        let Some(epoch) = self.slots.get(&slot).map(|held| held.epoch) else {
            return;
        };
        let live = self.store.slot(slot).filter(|(_, claim)| !claim.is_expired(now));
        let claims: Vec<ClaimEntry> = live.map(|(key, claim)| claim.to_entry(key, now)).collect();
        outputs.push(OwnerOutput::SlotExported { slot, epoch, claims });
    }

    pub(super) fn import(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        claims: Vec<ClaimEntry>,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let assigned = self.table.as_ref().and_then(|table| table.slot(slot));
        // The group may agree on the import before it names an owner: the slot is then vacant under the import's epoch.
        let past = |assigned: &SlotAssignment| {
            assigned.epoch > epoch || (assigned.epoch == epoch && assigned.state != SlotState::Vacant)
        };
        if assigned.is_some_and(past) {
            return;
        }
        match self.slots.get(&slot) {
            Some(held) if held.epoch == epoch && held.phase == Phase::Imported => self.imported(slot, outputs),
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
        let paging = Paging::new(IMPORT_ROUND, &self.roster.members());
        self.slots.insert(slot, Slot { epoch, phase: Phase::Importing { paging } });
        if self.mechanisms.import_record {
            self.send_pages(now, slot, outputs);
        } else {
            self.imported(slot, outputs);
        }
    }

    pub(super) fn imported(&mut self, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        self.set_phase(slot, Phase::Imported);
        if let Some(epoch) = self.slots.get(&slot).map(|held| held.epoch) {
            outputs.push(OwnerOutput::SlotImported { slot, epoch });
        }
    }
}
