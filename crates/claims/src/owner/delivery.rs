//! Records of single claims in flight to the voters: their replies are counted, and they are sent again a limited
//! number of times.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{AttemptId, Epoch, NodeId, RequestKey, SlotId, Timestamp};

use crate::claim::ClaimOrigin;
use crate::message::RecordKind;

/// Identifies a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct DeliveryId {
    pub kind: RecordKind,
    pub origin: ClaimOrigin,
}

/// The record of one claim in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClaimDelivery {
    pub slot: SlotId,
    pub key: RequestKey,
    /// The epoch under which the record is sent.
    pub epoch: Epoch,
    /// The attempt that waits for a new claim; none for the end of a claim.
    pub ticket: Option<AttemptId>,
    pub accepted: BTreeSet<NodeId>,
    pub refused: BTreeSet<NodeId>,
    pub tries: u8,
    pub retry_at: Timestamp,
}

/// All deliveries of an owner, with their timers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ClaimDeliveries {
    by_id: BTreeMap<DeliveryId, ClaimDelivery>,
    timers: BTreeSet<(Timestamp, DeliveryId)>,
}

impl ClaimDeliveries {
    pub fn insert(&mut self, id: DeliveryId, delivery: ClaimDelivery) {
        self.remove(&id);
        self.timers.insert((delivery.retry_at, id));
        self.by_id.insert(id, delivery);
    }

    pub fn remove(&mut self, id: &DeliveryId) -> Option<ClaimDelivery> {
        let delivery = self.by_id.remove(id)?;
        self.timers.remove(&(delivery.retry_at, *id));
        Some(delivery)
    }

    pub fn get(&self, id: &DeliveryId) -> Option<&ClaimDelivery> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &DeliveryId) -> Option<&mut ClaimDelivery> {
        self.by_id.get_mut(id)
    }

    /// Whether the claim of `origin` still waits for a majority.
    pub fn is_pending(&self, origin: ClaimOrigin) -> bool {
        self.by_id.contains_key(&DeliveryId { kind: RecordKind::New, origin })
    }

    pub fn ids(&self) -> Vec<DeliveryId> {
        self.by_id.keys().copied().collect()
    }

    /// The new claims of a slot that wait for a majority.
    pub fn pending_in(&self, slot: SlotId) -> Vec<DeliveryId> {
        let pending =
            |(id, delivery): &(&DeliveryId, &ClaimDelivery)| id.kind == RecordKind::New && delivery.slot == slot;
        self.by_id.iter().filter(pending).map(|(id, _)| *id).collect()
    }

    /// The deliveries whose replies are overdue.
    pub fn due(&self, now: Timestamp) -> Vec<DeliveryId> {
        self.timers.iter().take_while(|(at, _)| *at <= now).map(|(_, id)| *id).collect()
    }

    /// Counts another try and schedules the next one at `retry_at`.
    pub fn reschedule(&mut self, id: DeliveryId, retry_at: Timestamp) {
        let Some(delivery) = self.by_id.get_mut(&id) else {
            return;
        };
        self.timers.remove(&(delivery.retry_at, id));
        delivery.tries = delivery.tries.saturating_add(1);
        delivery.retry_at = retry_at;
        self.timers.insert((retry_at, id));
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at)
    }
}
