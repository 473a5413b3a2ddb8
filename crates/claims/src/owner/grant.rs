//! From the request for a claim to its grant or refusal.

use std::collections::BTreeSet;
use std::time::Duration;

use quillhatch_types::{
    AttemptId, Digest, NodeId, Refusal, RefusalReason, RequestKey, RootId, SlotId, SlotState, Timestamp,
};

use super::delivery::{Delivery, DeliveryId};
use super::io::{ClaimDecision, OwnerOutput};
use super::slot::Phase;
use super::{refuse, resolve, ClaimOwner, Ticket};
use crate::claim::{ClaimOrigin, ClaimStatus, HeldClaim};
use crate::message::{ClaimBody, RecordId, RecordKind, Verdict};

/// What the gate knows of an attempt that needs a claim.
#[derive(Clone, Debug)]
pub(super) struct ClaimRequest {
    pub ticket: AttemptId,
    pub key: RequestKey,
    pub slot: SlotId,
    pub digest: Option<Digest>,
    pub root: RootId,
    pub key_from_caller: bool,
    pub remaining: Duration,
}

impl ClaimOwner {
    pub(super) fn claim(&mut self, now: Timestamp, request: ClaimRequest, outputs: &mut Vec<OwnerOutput>) {
        if self.tickets.contains_key(&request.ticket) {
            return;
        }
        match self.decide(now, &request) {
            Some(decision) => resolve(request.ticket, decision, outputs),
            None => self.begin_claim(now, request, outputs),
        }
    }

    /// The answer that can be given at once; none if the claim must be recorded.
    fn decide(&self, now: Timestamp, request: &ClaimRequest) -> Option<ClaimDecision> {
        if let Some(refusal) = self.not_owner(now, request.slot) {
            return Some(ClaimDecision::Refused(refusal));
        }
        if request.remaining.is_zero() {
            return Some(ClaimDecision::Refused(Refusal::not_run(RefusalReason::DeadlinePassed)));
        }
        if let Some(decision) = self.decide_repeat(now, request) {
            return Some(decision);
        }
        // An edge-drawn key is new by itself; a caller's may stand for a run whose claim was lost.
        if request.key_from_caller && self.table.as_ref().is_some_and(|table| table.claims_lost) {
            return Some(ClaimDecision::Refused(Refusal::not_run(RefusalReason::ClaimsLost)));
        }
        if self.store.len() >= self.settings.capacity {
            return Some(ClaimDecision::Refused(Refusal::not_run(RefusalReason::ClaimStoreFull)));
        }
        None
    }

    fn not_owner(&self, now: Timestamp, slot: SlotId) -> Option<Refusal> {
        let not_owner = Refusal::not_run(RefusalReason::NotOwner);
        let moving = Refusal::not_run(RefusalReason::SlotMoving).with_retry_after(self.settings.moving_retry_after);
        let Some(held) = self.slots.get(&slot) else {
            return Some(if self.is_sealed(slot) { moving } else { not_owner });
        };
        match &held.phase {
            Phase::Open { .. } if now < self.lease_until => None,
            Phase::Open { .. } | Phase::Fenced => Some(not_owner),
            Phase::Collecting { .. }
            | Phase::Recording { .. }
            | Phase::Exported
            | Phase::Importing { .. }
            | Phase::Imported => Some(moving),
        }
    }

    fn is_sealed(&self, slot: SlotId) -> bool {
        let assignment = self.table.as_ref().and_then(|table| table.slot(slot));
        assignment.is_some_and(|assignment| matches!(assignment.state, SlotState::Sealed { .. }))
    }

    /// The answer to a key that was claimed before.
    fn decide_repeat(&self, now: Timestamp, request: &ClaimRequest) -> Option<ClaimDecision> {
        let held = self.store.get(request.slot, &request.key, now)?;
        let free = held.status == ClaimStatus::Released;
        if free || (held.status == ClaimStatus::Claimed && !self.mechanisms.refuse_repeats) {
            return None;
        }
        if let (Some(one), Some(other)) = (held.digest, request.digest) {
            if one != other {
                return Some(ClaimDecision::Refused(Refusal::not_run(RefusalReason::KeyConflict)));
            }
        }
        Some(match &held.status {
            ClaimStatus::Finished(Some(answer)) => ClaimDecision::Replay(answer.as_ref().clone()),
            ClaimStatus::Finished(None) => ClaimDecision::Refused(Refusal::failed(RefusalReason::AnswerNotKept)),
            ClaimStatus::Claimed | ClaimStatus::Released => {
                ClaimDecision::Refused(Refusal::unknown(RefusalReason::KeyInProgress))
            }
        })
    }

    fn begin_claim(&mut self, now: Timestamp, request: ClaimRequest, outputs: &mut Vec<OwnerOutput>) {
        let Some(epoch) = self.slots.get(&request.slot).map(|slot| slot.epoch) else {
            return;
        };
        self.sequence += 1;
        let origin = ClaimOrigin { epoch, sequence: self.sequence, incarnation: self.node.incarnation };
        let deadline = now + request.remaining;
        let claim = HeldClaim {
            origin,
            digest: request.digest,
            root: request.root,
            status: ClaimStatus::Claimed,
            expires: deadline + self.settings.retention,
        };
        self.store.merge(request.slot, &request.key, claim, now);
        let ticket = Ticket {
            slot: request.slot,
            key: request.key.clone(),
            origin,
            digest: request.digest,
            root: request.root,
            deadline,
            granted: false,
        };
        self.tickets.insert(request.ticket, ticket);
        let delivery = Delivery {
            slot: request.slot,
            key: request.key,
            epoch,
            ticket: Some(request.ticket),
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            tries: 1,
            retry_at: now + self.settings.retry_interval,
        };
        let id = DeliveryId { kind: RecordKind::New, origin };
        self.deliveries.insert(id, delivery);
        self.send_delivery(now, id, outputs);
    }

    /// Sends the claim to all voters that have not answered.
    pub(super) fn send_delivery(&self, now: Timestamp, id: DeliveryId, outputs: &mut Vec<OwnerOutput>) {
        let Some(delivery) = self.deliveries.get(&id) else {
            return;
        };
        let held = self.store.get(delivery.slot, &delivery.key, now).filter(|held| held.origin == id.origin);
        let Some(held) = held else {
            return;
        };
        let entry = held.to_entry(&delivery.key, now);
        for voter in self.roster.members() {
            if delivery.accepted.contains(&voter) || delivery.refused.contains(&voter) {
                continue;
            }
            let record_id = RecordId::Claim { kind: id.kind, origin: id.origin };
            let body = ClaimBody::Record { id: record_id, claims: vec![entry.clone()] };
            self.send(voter, delivery.slot, delivery.epoch, body, outputs);
        }
    }

    pub(super) fn claim_reply(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        kind: RecordKind,
        origin: ClaimOrigin,
        verdict: Verdict,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let id = DeliveryId { kind, origin };
        let Some(delivery) = self.deliveries.get_mut(&id) else {
            return;
        };
        match verdict {
            Verdict::Accepted => delivery.accepted.insert(voter),
            Verdict::Fenced { .. } | Verdict::Full => delivery.refused.insert(voter),
        };
        self.review(now, id, outputs);
    }

    /// Draws the conclusion from the answers to a delivery so far.
    pub(super) fn review(&mut self, now: Timestamp, id: DeliveryId, outputs: &mut Vec<OwnerOutput>) {
        let Some(delivery) = self.deliveries.get(&id) else {
            return;
        };
        match id.kind {
            RecordKind::New if self.roster.is_quorum(&delivery.accepted, self.mechanisms) => {
                self.grant(now, id, outputs);
            }
            RecordKind::New => {
                let members = self.roster.members();
                let possible: BTreeSet<NodeId> = members.difference(&delivery.refused).copied().collect();
                if !self.roster.is_quorum(&possible, self.mechanisms) {
                    self.give_up(now, id, Refusal::not_run(RefusalReason::ClaimStoreFull), outputs);
                }
            }
            RecordKind::Settle => {
                let answered = |voter| delivery.accepted.contains(voter) || delivery.refused.contains(voter);
                if self.roster.members().iter().all(answered) {
                    self.deliveries.remove(&id);
                }
            }
        }
    }

    fn grant(&mut self, now: Timestamp, id: DeliveryId, outputs: &mut Vec<OwnerOutput>) {
        let Some(attempt) = self.deliveries.get(&id).and_then(|delivery| delivery.ticket) else {
            return;
        };
        let Some(ticket) = self.tickets.get_mut(&attempt) else {
            return;
        };
        if now >= ticket.deadline {
            self.give_up(now, id, Refusal::not_run(RefusalReason::DeadlinePassed), outputs);
        } else if now >= self.lease_until {
            self.give_up(now, id, Refusal::not_run(RefusalReason::NotOwner), outputs);
        } else {
            ticket.granted = true;
            self.deliveries.remove(&id);
            resolve(attempt, ClaimDecision::Granted, outputs);
        }
    }

    /// Refuses a claim that was not granted: it was never dispatched, so it is void.
    pub(super) fn give_up(&mut self, now: Timestamp, id: DeliveryId, refusal: Refusal, outputs: &mut Vec<OwnerOutput>) {
        let Some(attempt) = self.deliveries.remove(&id).and_then(|delivery| delivery.ticket) else {
            return;
        };
        let Some(ticket) = self.tickets.remove(&attempt) else {
            return;
        };
        self.settle(now, &ticket, ClaimStatus::Released, outputs);
        refuse(attempt, refusal, outputs);
    }

    pub(super) fn retry_deliveries(&mut self, now: Timestamp, outputs: &mut Vec<OwnerOutput>) {
        for id in self.deliveries.due(now) {
            let Some(tries) = self.deliveries.get(&id).map(|delivery| delivery.tries) else {
                continue;
            };
            match id.kind {
                RecordKind::New if tries >= self.settings.record_tries => {
                    self.give_up(now, id, Refusal::not_run(RefusalReason::ClaimNotRecorded), outputs);
                }
                RecordKind::New => {
                    self.deliveries.reschedule(id, now + self.settings.retry_interval);
                    self.send_delivery(now, id, outputs);
                }
                RecordKind::Settle if tries >= self.settings.settle_tries => {
                    self.deliveries.remove(&id);
                }
                RecordKind::Settle => {
                    let backoff = self.settings.retry_interval * (1 << tries.min(MAXIMUM_DOUBLINGS));
                    self.deliveries.reschedule(id, now + backoff);
                    self.send_delivery(now, id, outputs);
                }
            }
        }
    }
}

/// How often the interval between tries is doubled, at most.
const MAXIMUM_DOUBLINGS: u8 = 6;
