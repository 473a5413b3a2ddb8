//! Collects all claims of a slot from the voters, and records them on the voters, one page at a time.

use quillhatch_types::{Epoch, NodeId, RequestKey, SlotId, Timestamp};

use super::io::OwnerOutput;
use super::paging::PagedTransfer;
use super::slot::{CollectPurpose, SlotPhase};
use super::ClaimOwner;
use crate::claim::{ClaimEntry, ClaimStatus, HeldClaim};
use crate::message::{ClaimBody, RecordId};

impl ClaimOwner {
    /// Sends every page and page request of the slot that is due.
    pub(super) fn send_pages(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        let Some(transfer) = self.slots.get(&slot).and_then(|held| held.transfer()) else {
            return;
        };
        for voter in transfer.due(now) {
            self.send_page(now, slot, voter, outputs);
        }
    }

    fn send_page(&mut self, now: Timestamp, slot: SlotId, voter: NodeId, outputs: &mut Vec<OwnerOutput>) {
        let Some(held) = self.slots.get_mut(&slot) else {
            return;
        };
        let epoch = held.epoch;
        let collecting = match &held.phase {
            SlotPhase::Collecting { purpose, .. } => Some(*purpose),
            _ => None,
        };
        let Some(transfer) = held.transfer_mut() else {
            return;
        };
        let round = transfer.round;
        let Some(cursor) = transfer.cursor_mut(voter) else {
            return;
        };
        cursor.retry_at = now + self.settings.retry_interval;
        let body = match collecting {
            Some(purpose) => {
                ClaimBody::Collect { export: purpose == CollectPurpose::Export, after: cursor.after.clone() }
            }
            None => {
                // Claims that are not yet granted are left out: their own deliveries record them on both sets of
                // voters, or release them.
                let pending = |claim: &HeldClaim| self.deliveries.is_pending(claim.origin);
                let page = self.store.page(slot, cursor.after.as_ref(), now, pending);
                let through = page.entries.last().map(|entry| entry.key.clone());
                cursor.through.clone_from(&through);
                cursor.last = !page.more;
                let id = RecordId::Page { round, number: cursor.page, through };
                ClaimBody::Record { id, claims: page.entries }
            }
        };
        self.send(voter, slot, epoch, body, outputs);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_page_collected(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        slot: SlotId,
        epoch: Epoch,
        after: Option<RequestKey>,
        claims: Vec<ClaimEntry>,
        more: bool,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let Some(held) = self.slots.get_mut(&slot).filter(|held| held.epoch == epoch) else {
            return;
        };
        let SlotPhase::Collecting { transfer, .. } = &mut held.phase else {
            return;
        };
        let Some(cursor) = transfer.cursor_mut(voter).filter(|cursor| !cursor.done && cursor.after == after) else {
            return;
        };
        if let Some(last) = claims.last() {
            cursor.after = Some(last.key.clone());
        }
        cursor.page += 1;
        cursor.done = !more;
        cursor.retry_at = now;
        let is_adopted = |entry: &&ClaimEntry| self.mechanisms.keep_claimed || entry.status != ClaimStatus::Claimed;
        for entry in claims.iter().filter(is_adopted) {
            self.store.merge(slot, &entry.key, HeldClaim::from_entry(entry, now), now);
        }
        if more {
            self.send_page(now, slot, voter, outputs);
        }
        self.advance_slot(now, slot, outputs);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn handle_page_recorded(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        slot: SlotId,
        epoch: Epoch,
        round: Epoch,
        number: u32,
        through: Option<RequestKey>,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let Some(held) = self.slots.get_mut(&slot).filter(|held| held.epoch == epoch) else {
            return;
        };
        if matches!(held.phase, SlotPhase::Collecting { .. }) {
            return;
        }
        let Some(transfer) = held.transfer_mut().filter(|transfer| transfer.round == round) else {
            return;
        };
        // The content of a page may change between tries, so only the reply to the last try counts.
        let is_current = |cursor: &&mut super::paging::PageCursor| {
            !cursor.done && cursor.page == number && cursor.through == through && cursor.retry_at > Timestamp::ZERO
        };
        let Some(cursor) = transfer.cursor_mut(voter).filter(is_current) else {
            return;
        };
        cursor.after = through.or_else(|| cursor.after.take());
        cursor.page += 1;
        cursor.done = cursor.last;
        cursor.retry_at = now;
        if !cursor.done {
            self.send_page(now, slot, voter, outputs);
        }
        self.advance_slot(now, slot, outputs);
    }

    /// Moves the slot to its next phase if a quorum of voters has completed the current one.
    pub(super) fn advance_slot(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        let Some(held) = self.slots.get(&slot) else {
            return;
        };
        let Some(done) = held.transfer().map(PagedTransfer::done) else {
            return;
        };
        let quorum = self.roster.is_quorum(&done, self.mechanisms);
        match &held.phase {
            SlotPhase::Collecting { purpose: CollectPurpose::Takeover, .. } if quorum => {
                self.begin_recording(now, slot, outputs)
            }
            SlotPhase::Collecting { purpose: CollectPurpose::Export, .. } if quorum => {
                self.complete_export(now, slot, outputs)
            }
            SlotPhase::Recording { .. } if quorum => self.open_slot(slot, outputs),
            SlotPhase::Importing { .. } if quorum => self.complete_import(slot, outputs),
            SlotPhase::Open { .. } if self.roster.is_current_quorum(&done, self.mechanisms) => {
                self.set_phase(slot, SlotPhase::Open { settling: None });
                self.announce_settled(outputs);
            }
            _ => {}
        }
    }

    pub(super) fn set_phase(&mut self, slot: SlotId, phase: SlotPhase) {
        if let Some(held) = self.slots.get_mut(&slot) {
            held.phase = phase;
        }
    }

    /// Records the collected claims under the new epoch, so that the next takeover finds them on every majority.
    fn begin_recording(&mut self, now: Timestamp, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        if self.store.page(slot, None, now, |_| false).entries.is_empty() {
            self.open_slot(slot, outputs);
            return;
        }
        let round = self.table_epoch();
        self.set_phase(slot, SlotPhase::Recording { transfer: PagedTransfer::new(round, &self.roster.members()) });
        self.send_pages(now, slot, outputs);
    }

    pub(super) fn open_slot(&mut self, slot: SlotId, outputs: &mut Vec<OwnerOutput>) {
        self.set_phase(slot, SlotPhase::Open { settling: None });
        if let Some(epoch) = self.slots.get(&slot).map(|held| held.epoch) {
            outputs.push(OwnerOutput::SlotOpened { slot, epoch });
        }
        self.announce_settled(outputs);
    }
}
