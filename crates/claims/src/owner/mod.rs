//! The owner grants each key of its slots to one attempt, after recording the claim on a majority of voters.
//!
//! Every gate runs one owner per service. Its driver calls [`ClaimOwner::step`] with tables and leases from control,
//! requests from the gate, messages from voters and other owners, and an [`OwnerInput::Tick`] at
//! [`ClaimOwner::next_wake`]. It checks [`ClaimOwner::may_dispatch`] just before it sends an attempt to the back end.

mod delivery;
mod grant;
pub mod io;
mod pages;
mod paging;
mod settle;
mod slot;
mod table;

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{
    AttemptId, Digest, Epoch, NodeId, Refusal, RefusalReason, RequestKey, RootId, ServiceName, ServiceTable, SlotId,
    Timestamp,
};

use crate::claim::{ClaimOrigin, ClaimStatus, HeldClaim};
use crate::mechanisms::ClaimMechanisms;
use crate::message::{ClaimBody, ClaimMessage, RecordId, Verdict};
use crate::quorum::VoterRoster;
use crate::settings::OwnerSettings;
use crate::store::ClaimStore;

use delivery::ClaimDeliveries;
use grant::ClaimRequest;
use io::{ClaimDecision, OwnerInput, OwnerOutput};
use slot::LocalSlot;

#[cfg(test)]
mod tests;

/// An attempt that requested a claim and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClaimTicket {
    slot: SlotId,
    key: RequestKey,
    origin: ClaimOrigin,
    digest: Option<Digest>,
    root: RootId,
    /// The time before which the call may be dispatched.
    deadline: Timestamp,
    granted: bool,
}

impl ClaimTicket {
    fn claim(&self, status: ClaimStatus, expires: Timestamp) -> HeldClaim {
        HeldClaim { origin: self.origin, digest: self.digest, root: self.root, status, expires }
    }
}

/// The owner of one service's claims at one gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    node: NodeId,
    service: ServiceName,
    settings: OwnerSettings,
    mechanisms: ClaimMechanisms,
    table: Option<Arc<ServiceTable>>,
    roster: VoterRoster,
    /// The epoch of the last table for which [`OwnerOutput::VotersSettled`] was emitted.
    settled_epoch: Option<Epoch>,
    lease_until: Timestamp,
    sequence: u64,
    slots: BTreeMap<SlotId, LocalSlot>,
    tickets: BTreeMap<AttemptId, ClaimTicket>,
    store: ClaimStore,
    deliveries: ClaimDeliveries,
}

impl ClaimOwner {
    /// Creates an owner without slots, for `service` at `node`.
    pub fn new(node: NodeId, service: ServiceName, settings: OwnerSettings) -> Self {
        Self::with_mechanisms(node, service, settings, ClaimMechanisms::default())
    }

    /// Creates an owner with some checks disabled, for the simulation and the model.
    pub fn with_mechanisms(
        node: NodeId,
        service: ServiceName,
        settings: OwnerSettings,
        mechanisms: ClaimMechanisms,
    ) -> Self {
        let store = ClaimStore::new(settings.answer_capacity_bytes);
        ClaimOwner {
            node,
            service,
            settings,
            mechanisms,
            table: None,
            roster: VoterRoster::default(),
            settled_epoch: None,
            lease_until: Timestamp::ZERO,
            sequence: 0,
            slots: BTreeMap::new(),
            tickets: BTreeMap::new(),
            store,
            deliveries: ClaimDeliveries::default(),
        }
    }

    /// Processes one input at `now` and appends the resulting outputs to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: OwnerInput, outputs: &mut Vec<OwnerOutput>) {
        match input {
            OwnerInput::Claim { ticket, key, slot, digest, root, key_from_caller, remaining } => {
                let request = ClaimRequest { ticket, key, slot, digest, root, key_from_caller, remaining };
                self.claim(now, request, outputs);
            }
            OwnerInput::Message { from, message } => self.handle_message(now, from, message, outputs),
            OwnerInput::Finished { ticket, record } => self.finish(now, ticket, record, outputs),
            OwnerInput::Released { ticket } => self.release(now, ticket, outputs),
            OwnerInput::Abandoned { ticket } => {
                self.tickets.remove(&ticket);
            }
            OwnerInput::Table(table) => self.apply_table(now, table, outputs),
            OwnerInput::Lease { until } => self.lease_until = until,
            OwnerInput::ExportSlot { slot } => self.export_slot(now, slot, outputs),
            OwnerInput::ImportSlot { slot, epoch, claims } => self.import_slot(now, slot, epoch, claims, outputs),
            OwnerInput::SettingsChanged(settings) => {
                self.store.set_answer_capacity(settings.answer_capacity_bytes);
                self.settings = settings;
            }
            OwnerInput::Tick => self.tick(now, outputs),
        }
    }

    /// When [`ClaimOwner::step`] should next be called with [`OwnerInput::Tick`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let slots = self.slots.values().filter_map(LocalSlot::next_due).min();
        [self.deliveries.next_due(), slots, self.store.next_expiry()].into_iter().flatten().min()
    }

    /// Whether the granted attempt may be sent to the back end at `now`; must be called just before it is sent.
    ///
    /// Returns false after the deadline: no voter drops the claim before the deadline, but after a longer pause of the
    /// process another attempt may have claimed the key. Also returns false without a lease or after the slot was lost,
    /// so that the gate does not act on outdated state. On false, the gate refuses the attempt as not run and sends
    /// [`OwnerInput::Released`].
    pub fn may_dispatch(&self, now: Timestamp, ticket: AttemptId) -> bool {
        let Some(ticket) = self.tickets.get(&ticket) else {
            return false;
        };
        let in_time = now < ticket.deadline || !self.mechanisms.dispatch_deadline;
        ticket.granted && in_time && now < self.lease_until && self.is_open_at(ticket.slot, ticket.origin.epoch)
    }

    /// The number of claims held to replay answers and to refuse retries.
    pub fn held_claims(&self) -> usize {
        self.store.len()
    }

    /// The total size of the recorded answers, in bytes.
    pub fn held_answer_bytes(&self) -> usize {
        self.store.answer_bytes()
    }

    /// The number of attempts of a slot that requested a claim and have not ended.
    ///
    /// A planned handover waits a limited time for this to reach zero, so that retries find an answer at the new owner.
    pub fn unfinished_calls(&self, slot: SlotId) -> usize {
        self.tickets.values().filter(|ticket| ticket.slot == slot).count()
    }

    /// Whether the owner grants claims of the slot.
    pub fn is_open(&self, slot: SlotId) -> bool {
        self.slots.get(&slot).is_some_and(LocalSlot::is_open)
    }

    fn is_open_at(&self, slot: SlotId, epoch: Epoch) -> bool {
        self.slots.get(&slot).is_some_and(|slot| slot.is_open() && slot.epoch == epoch)
    }

    fn handle_message(&mut self, now: Timestamp, from: NodeId, message: ClaimMessage, outputs: &mut Vec<OwnerOutput>) {
        if message.service != self.service {
            return;
        }
        let (slot, epoch) = (message.slot, message.epoch);
        if let ClaimBody::Settled(entry) = message.body {
            self.handle_settled(now, from, slot, entry, outputs);
            return;
        }
        let Some(voter) = self.roster.member(from, self.mechanisms) else {
            return;
        };
        match message.body {
            ClaimBody::RecordReply { id, verdict } => {
                self.check_fence(now, slot, epoch, verdict, outputs);
                match id {
                    RecordId::Claim { kind, origin } => {
                        self.handle_claim_reply(now, voter, kind, origin, verdict, outputs)
                    }
                    RecordId::Page { round, number, through } => {
                        if verdict == Verdict::Accepted {
                            self.handle_page_recorded(now, voter, slot, epoch, round, number, through, outputs);
                        }
                    }
                }
            }
            ClaimBody::CollectReply { after, verdict, claims, more } => {
                self.check_fence(now, slot, epoch, verdict, outputs);
                if verdict == Verdict::Accepted {
                    self.handle_page_collected(now, voter, slot, epoch, after, claims, more, outputs);
                }
            }
            ClaimBody::Record { .. } | ClaimBody::Collect { .. } | ClaimBody::Settled(_) => {}
        }
    }

    /// Gives up the slot if a voter refuses its current epoch, because the voter has promised the slot to another
    /// owner.
    fn check_fence(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        epoch: Epoch,
        verdict: Verdict,
        outputs: &mut Vec<OwnerOutput>,
    ) {
        let fenced = matches!(verdict, Verdict::Fenced { .. });
        let current =
            self.slots.get(&slot).is_some_and(|held| held.epoch == epoch && held.phase != slot::SlotPhase::Fenced);
        if fenced && current {
            self.lose_slot(now, slot, RefusalReason::NotOwner, outputs);
            self.slots.insert(slot, LocalSlot { epoch, phase: slot::SlotPhase::Fenced });
            outputs.push(OwnerOutput::SlotLost { slot, epoch });
        }
    }

    fn tick(&mut self, now: Timestamp, outputs: &mut Vec<OwnerOutput>) {
        self.store.expire(now);
        self.retry_deliveries(now, outputs);
        let slots: Vec<SlotId> = self.slots.keys().copied().collect();
        for slot in slots {
            self.send_pages(now, slot, outputs);
        }
    }

    fn send(&self, to: NodeId, slot: SlotId, epoch: Epoch, body: ClaimBody, outputs: &mut Vec<OwnerOutput>) {
        let message = ClaimMessage { service: self.service.clone(), slot, epoch, body };
        outputs.push(OwnerOutput::Send { to, message });
    }
}

fn resolve(ticket: AttemptId, decision: ClaimDecision, outputs: &mut Vec<OwnerOutput>) {
    outputs.push(OwnerOutput::Resolved { ticket, resolution: decision });
}

fn refuse(ticket: AttemptId, refusal: Refusal, outputs: &mut Vec<OwnerOutput>) {
    resolve(ticket, ClaimDecision::Refused(refusal), outputs);
}
