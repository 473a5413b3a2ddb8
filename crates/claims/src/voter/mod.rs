//! The voter stores claims for the owners of one service's slots, and fences owners that were replaced.
//!
//! Every node that the service's table lists as a voter runs one. Its driver passes it the messages with role
//! [`ClaimRole::Voter`](crate::ClaimRole) and sends its replies.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, RequestKey, ServiceName, SlotId, Timestamp};

use crate::claim::{ClaimEntry, ClaimStatus, HeldClaim};
use crate::mechanisms::ClaimMechanisms;
use crate::message::{ClaimBody, ClaimMessage, RecordId, RecordKind, Verdict};
use crate::settings::VoterSettings;
use crate::store::ClaimStore;

#[cfg(test)]
mod tests;

/// The highest epoch that the voter has seen for a slot, and the node that may record under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EpochPromise {
    epoch: Epoch,
    /// `None` if the slot was sealed to move it to another site.
    holder: Option<NodeId>,
}

/// The voter of one service at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimVoter {
    service: ServiceName,
    settings: VoterSettings,
    mechanisms: ClaimMechanisms,
    promises: BTreeMap<SlotId, EpochPromise>,
    store: ClaimStore,
}

impl ClaimVoter {
    /// Creates a voter without claims or promises; it must run under an incarnation that has never voted before.
    pub fn new(service: ServiceName, settings: VoterSettings) -> Self {
        Self::with_mechanisms(service, settings, ClaimMechanisms::default())
    }

    /// Creates a voter with some checks disabled, for the simulation and the model.
    pub fn with_mechanisms(service: ServiceName, settings: VoterSettings, mechanisms: ClaimMechanisms) -> Self {
        let store = ClaimStore::new(settings.answer_capacity_bytes);
        ClaimVoter { service, settings, mechanisms, promises: BTreeMap::new(), store }
    }

    /// Applies new settings; claims already held stay, even if they exceed a lower capacity.
    pub fn set_settings(&mut self, settings: VoterSettings) {
        self.store.set_answer_capacity(settings.answer_capacity_bytes);
        self.settings = settings;
    }

    /// The number of claims held.
    pub fn held_claims(&self) -> usize {
        self.store.len()
    }

    /// The total size of the recorded answers, in bytes.
    pub fn held_answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// The claims of a slot, for tests and reports.
    pub fn claims(&self, slot: SlotId) -> impl Iterator<Item = (&RequestKey, &HeldClaim)> {
        self.store.slot(slot)
    }

    /// When [`ClaimVoter::expire`] should be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.store.next_expiry()
    }

    /// Drops expired claims, at most a fixed number of them per call.
    pub fn expire(&mut self, now: Timestamp) {
        self.store.expire(now);
    }

    /// Handles one message from `from` and appends the reply to `outputs`.
    ///
    /// Ignores messages for another service or another role.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
        outputs: &mut Vec<(NodeId, ClaimMessage)>,
    ) {
        if message.service != self.service {
            return;
        }
        self.store.expire(now);
        let (slot, epoch) = (message.slot, message.epoch);
        let body = match message.body {
            ClaimBody::Record { id, claims } => {
                let verdict = self.record(now, from, slot, epoch, &id, &claims);
                ClaimBody::RecordReply { id, verdict }
            }
            ClaimBody::Collect { export, after } => self.collect(now, from, slot, epoch, export, after),
            ClaimBody::RecordReply { .. } | ClaimBody::CollectReply { .. } | ClaimBody::Settled(_) => return,
        };
        outputs.push((from, ClaimMessage { service: message.service, slot, epoch, body }));
    }

    fn record(
        &mut self,
        now: Timestamp,
        from: NodeId,
        slot: SlotId,
        epoch: Epoch,
        id: &RecordId,
        claims: &[ClaimEntry],
    ) -> Verdict {
        let fence = self.promise(slot, EpochPromise { epoch, holder: Some(from) });
        if let Err(promised) = fence {
            if claims.iter().all(|entry| self.settle_own(now, from, slot, entry)) {
                return Verdict::Accepted;
            }
            return Verdict::Fenced { promised };
        }
        let is_new = matches!(id, RecordId::Claim { kind: RecordKind::New, .. });
        for entry in claims {
            let is_held = self.store.get(slot, &entry.key, now).is_some();
            // Only new claims are refused: dropping one that was transferred from another owner would allow a second
            // run.
            if is_new && !is_held && self.store.len() >= self.settings.capacity {
                return Verdict::Full;
            }
            self.store.merge(slot, &entry.key, HeldClaim::from_entry(entry, now), now);
        }
        Verdict::Accepted
    }

    /// Lets a fenced owner report how one of its own claims ended, because that is valid under every epoch.
    fn settle_own(&mut self, now: Timestamp, from: NodeId, slot: SlotId, entry: &ClaimEntry) -> bool {
        let from_granter = entry.origin.incarnation == from.incarnation && entry.status != ClaimStatus::Claimed;
        let held = self.store.get(slot, &entry.key, now).is_some_and(|held| held.origin == entry.origin);
        if from_granter && held {
            self.store.merge(slot, &entry.key, HeldClaim::from_entry(entry, now), now);
        }
        from_granter && held
    }

    fn collect(
        &mut self,
        now: Timestamp,
        from: NodeId,
        slot: SlotId,
        epoch: Epoch,
        export: bool,
        after: Option<RequestKey>,
    ) -> ClaimBody {
        let holder = if export { None } else { Some(from) };
        if let Err(promised) = self.promise(slot, EpochPromise { epoch, holder }) {
            let verdict = Verdict::Fenced { promised };
            return ClaimBody::CollectReply { after, verdict, claims: Vec::new(), more: false };
        }
        let page = self.store.page(slot, after.as_ref(), now, |_| false);
        ClaimBody::CollectReply { after, verdict: Verdict::Accepted, claims: page.entries, more: page.more }
    }

    /// Promises `wanted` for the slot, unless a newer epoch, or the same epoch for another owner, was promised before.
    fn promise(&mut self, slot: SlotId, wanted: EpochPromise) -> Result<(), Epoch> {
        let held = self.promises.entry(slot).or_insert(wanted);
        let fenced = held.epoch > wanted.epoch || (held.epoch == wanted.epoch && held.holder != wanted.holder);
        if fenced && self.mechanisms.epoch_fence {
            return Err(held.epoch);
        }
        if !fenced {
            *held = wanted;
        }
        Ok(())
    }
}
