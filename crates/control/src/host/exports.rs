//! The old site's side of a move: offers every sealed slot to its destination until it is accepted or refused.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Epoch, NodeId, SiteName, SlotId, SlotState, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::message::{GroupBody, OfferOutcome, SlotClaims};
use crate::state::{Command, SlotTransfer};

#[derive(Clone, Debug, Default)]
struct Export {
    seal_epoch: Epoch,
    pages: BTreeMap<u32, SlotClaims>,
    page_count: Option<u32>,
    wanted_page: u32,
    attempts: usize,
    sent_at: Option<Timestamp>,
    outcome: Option<OfferOutcome>,
    /// The other site has committed the import, so the offer can no longer be withdrawn.
    must_complete: bool,
}

impl Export {
    fn is_complete(&self) -> bool {
        self.page_count.is_some_and(|count| self.pages.len() as u32 == count)
    }
}

/// The sealed slots that the leader exports; discarded when it loses the leadership and rebuilt by the next leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exports {
    slots: BTreeMap<SlotId, Export>,
    withdrawn: BTreeSet<SlotId>,
}

impl Exports {
    /// Withdraws the offers of `slots`: requests proof from the other site that it has not accepted them.
    pub fn withdraw(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        self.withdrawn.extend(slots);
    }

    pub fn clear_withdrawals(&mut self) {
        self.withdrawn.clear();
    }
}

impl ServiceHost {
    fn sealed_slots(&self) -> Vec<(SlotId, Epoch, SiteName)> {
        let sealed = |(slot, record): (SlotId, &crate::state::SlotRecord)| match &record.state {
            SlotState::Sealed { destination } => Some((slot, record.epoch, destination.clone())),
            _ => None,
        };
        self.state.numbered_slots().filter_map(sealed).collect()
    }

    pub(crate) fn send_exports(&mut self, step: &mut HostStep<'_>) {
        let sealed = self.sealed_slots();
        let still_sealed = |slot: &SlotId| sealed.iter().any(|(known, _, _)| known == slot);
        self.exports.slots.retain(|slot, _| still_sealed(slot));
        self.exports.withdrawn.retain(still_sealed);
        for (slot, seal_epoch, destination) in sealed {
            let export = self.exports.slots.entry(slot).or_default();
            if export.seal_epoch != seal_epoch {
                *export = Export { seal_epoch, ..Export::default() };
            }
            let due = export.sent_at.is_none_or(|at| step.now.since(at) >= self.settings.timing.resend);
            if due && export.outcome.is_none() {
                export.sent_at = Some(step.now);
                self.send_export(step, slot, seal_epoch, &destination);
            }
        }
    }

    fn send_export(&mut self, step: &mut HostStep<'_>, slot: SlotId, seal_epoch: Epoch, destination: &SiteName) {
        let from = self.site().clone();
        let must_complete = self.exports.slots.get(&slot).is_some_and(|export| export.must_complete);
        if self.exports.withdrawn.contains(&slot) && !must_complete {
            self.send_to_site(step, destination, GroupBody::Withdraw { from, slot, seal_epoch });
            return;
        }
        let Some(export) = self.exports.slots.get_mut(&slot) else {
            return;
        };
        if let Some(page) = export.pages.get(&export.wanted_page).filter(|_| export.is_complete()) {
            let claims = page.clone();
            self.send_to_site(step, destination, GroupBody::Offer { from, claims });
            return;
        }
        export.attempts += 1;
        let attempt = export.attempts - 1;
        if let Some(gate) = self.exporter(slot, attempt) {
            self.answer(step, gate, GroupBody::Export { slot, epoch: seal_epoch });
        }
    }

    /// The gate that collects the claims: the owner at the time of the seal or, if it does not answer, another gate.
    fn exporter(&self, slot: SlotId, attempt: usize) -> Option<NodeId> {
        let owner = self.state.slot(slot)?.sealed_owner;
        let owner = owner.filter(|node| self.state.gate(*node).is_some());
        let others = self.state.gates.values().map(|gate| gate.node).filter(|node| Some(*node) != owner);
        let candidates: Vec<NodeId> = owner.into_iter().chain(others).collect();
        let index = attempt.checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }

    /// Handles a page of the claims that a gate has collected.
    pub(crate) fn on_exported(&mut self, step: &mut HostStep<'_>, claims: SlotClaims) {
        let slot = claims.slot;
        let Some(export) = self.exports.slots.get_mut(&slot).filter(|export| export.seal_epoch == claims.epoch) else {
            return;
        };
        if export.is_complete() {
            return;
        }
        if export.page_count != Some(claims.pages) {
            // Another gate may have split the claims into different pages, which must not be mixed.
            export.pages.clear();
            export.page_count = Some(claims.pages);
        }
        export.pages.insert(claims.page, claims);
        if export.is_complete() {
            export.sent_at = None;
        }
        self.lead(step);
    }

    pub(crate) fn on_offer_answer(
        &mut self,
        step: &mut HostStep<'_>,
        slot: SlotId,
        seal_epoch: Epoch,
        outcome: OfferOutcome,
    ) {
        let Some(export) = self.exports.slots.get_mut(&slot).filter(|export| export.seal_epoch == seal_epoch) else {
            return;
        };
        match outcome {
            OfferOutcome::Held { pages } => {
                export.must_complete |= self.exports.withdrawn.contains(&slot);
                if pages != export.wanted_page && export.page_count.is_some_and(|count| pages < count) {
                    export.wanted_page = pages;
                    export.sent_at = None;
                }
            }
            decided => export.outcome = Some(decided),
        }
        self.lead(step);
    }

    /// The next command that the other site's answers allow.
    pub(crate) fn export_command(&self) -> Option<Command> {
        if let Some(slot) = self.slot_unsealed_without_proof() {
            return Some(Command::Unseal(slot));
        }
        let decided = |(slot, export): (&SlotId, &Export)| {
            let transfer = SlotTransfer { slot: *slot, seal_epoch: export.seal_epoch };
            let sealed = self.state.slot(*slot).is_some_and(|record| {
                record.epoch == export.seal_epoch && matches!(record.state, SlotState::Sealed { .. })
            });
            match export.outcome.filter(|_| sealed)? {
                OfferOutcome::Accepted { .. } => Some(Command::Complete(transfer)),
                OfferOutcome::Refused => Some(Command::Unseal(transfer)),
                OfferOutcome::Held { .. } => None,
            }
        };
        self.exports.slots.iter().find_map(decided)
    }

    fn slot_unsealed_without_proof(&self) -> Option<SlotTransfer> {
        if self.settings.mechanisms.unseal_needs_proof {
            return None;
        }
        let withdrawn = |(slot, _, _): &(SlotId, Epoch, SiteName)| self.exports.withdrawn.contains(slot);
        let sealed = self.sealed_slots().into_iter().find(withdrawn);
        sealed.map(|(slot, seal_epoch, _)| SlotTransfer { slot, seal_epoch })
    }
}
