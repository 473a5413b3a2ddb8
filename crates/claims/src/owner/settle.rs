//! Settles claims: records that they finished or were released, at this owner or at a former one.

use std::collections::BTreeSet;
use std::sync::Arc;

use quillhatch_types::{AttemptId, NodeId, RecordedAnswer, SlotId, SlotState, Timestamp};

use super::delivery::{ClaimDelivery, DeliveryId};
use super::io::OwnerOutput;
use super::{ClaimOwner, ClaimTicket};
use crate::claim::{recorded_size, ClaimEntry, ClaimOrigin, ClaimStatus, HeldClaim};
use crate::message::{ClaimBody, RecordKind, MAX_ANSWER_BYTES};
use crate::settings::RELEASED_RETENTION;

impl ClaimOwner {
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        record: Option<RecordedAnswer>,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let Some(ticket) = self.tickets.get(&attempt) else {
            return;
        };
        // A call that was not granted cannot have run, so this is an error of the gate; the claim is left unchanged.
        if !ticket.granted {
            return;
        }
        let Some(ticket) = self.tickets.remove(&attempt) else {
            return;
        };
        let limit = self.settings.replay_limit_bytes.min(MAX_ANSWER_BYTES);
        let record = record.filter(|answer| recorded_size(answer) <= limit);
        self.settle(now, &ticket, ClaimStatus::Finished(record.map(Arc::new)), outputs);
    }

    pub(super) fn release(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<OwnerOutput>) {
        let Some(ticket) = self.tickets.remove(&attempt) else {
            return;
        };
        self.deliveries.remove(&DeliveryId { kind: RecordKind::New, origin: ticket.origin });
        self.settle(now, &ticket, ClaimStatus::Released, outputs);
    }

    /// Stores how a claim of this owner ended, and sends it to the voters and, if another node owns the slot now, to
    /// it.
    pub(super) fn settle(
        &mut self,
        now: Timestamp,
        ticket: &ClaimTicket,
        status: ClaimStatus,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let retention = match status {
            ClaimStatus::Released => RELEASED_RETENTION,
            ClaimStatus::Claimed | ClaimStatus::Finished(_) => self.settings.retention,
        };
        let claim = ticket.claim(status, now + retention);
        self.store.merge(ticket.slot, &ticket.key, claim.clone(), now);
        self.deliver_settled(now, ticket.slot, &ticket.key, &claim, outputs);
        if let Some(owner) = self.current_other_owner(ticket.slot) {
            let entry = claim.to_entry(&ticket.key, now);
            self.send(owner, ticket.slot, ticket.origin.epoch, ClaimBody::Settled(entry), outputs);
        }
    }

    /// Stores the end of a claim that was taken over, as reported by the owner that granted it.
    pub(super) fn handle_settled(
        &mut self,
        now: Timestamp,
        from: NodeId,
        slot: SlotId,
        entry: ClaimEntry,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let from_granter = entry.origin.incarnation == from.incarnation && entry.status != ClaimStatus::Claimed;
        let held = self.store.get(slot, &entry.key, now).is_some_and(|held| held.origin == entry.origin);
        if !from_granter || !held || !self.slots.contains_key(&slot) {
            return;
        }
        let claim = HeldClaim::from_entry(&entry, now);
        if self.store.merge(slot, &entry.key, claim.clone(), now) {
            self.deliver_settled(now, slot, &entry.key, &claim, outputs);
        }
    }

    fn deliver_settled(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        key: &quillhatch_types::RequestKey,
        claim: &HeldClaim,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let origin: ClaimOrigin = claim.origin;
        let epoch = self.slots.get(&slot).map_or(origin.epoch, |slot| slot.epoch);
        let delivery = ClaimDelivery {
            slot,
            key: key.clone(),
            epoch,
            ticket: None,
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            tries: 1,
            retry_at: now + self.settings.retry_interval,
        };
        let id = DeliveryId { kind: RecordKind::Settle, origin };
        self.deliveries.insert(id, delivery);
        self.send_delivery(now, id, outputs);
    }

    fn current_other_owner(&self, slot: SlotId) -> Option<NodeId> {
        match self.table.as_ref()?.slot(slot)?.state {
            SlotState::Owned { owner } if owner != self.node => Some(owner),
            _ => None,
        }
    }
}
