//! The new site's side of a move: collects the offered claims, has a gate record them and then opens the slot.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Epoch, NodeId, SiteName, SlotId, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::message::{GroupBody, OfferOutcome, SlotClaims};
use crate::state::{Command, SlotImport, SlotTransfer};

/// The maximum number of slots whose claims are collected at once. The old site retries offers beyond that.
const MAX_IMPORTS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Import {
    from: Option<SiteName>,
    seal_epoch: Epoch,
    pages: Vec<SlotClaims>,
    page_count: u32,
    sent_at: Option<Timestamp>,
    sent_epoch: Epoch,
}

impl Import {
    fn is_complete(&self) -> bool {
        self.page_count > 0 && self.pages.len() as u32 == self.page_count
    }
}

/// The claims that the leader collects; discarded when it loses the leadership, because the old site offers them again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Imports {
    slots: BTreeMap<SlotId, Import>,
    opened: BTreeMap<SlotId, (Epoch, NodeId)>,
    refusals_wanted: BTreeSet<(SlotId, Epoch)>,
}

impl ServiceHost {
    pub(crate) fn on_offer(&mut self, step: &mut HostStep<'_>, from: NodeId, site: &SiteName, claims: SlotClaims) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, from);
            return;
        }
        let (slot, seal_epoch) = (claims.slot, claims.epoch);
        if let Some(outcome) = self.committed_outcome(slot, seal_epoch) {
            self.answer(step, from, GroupBody::OfferAnswer { slot, seal_epoch, outcome });
            return;
        }
        self.add_page(site, claims);
        self.lead(step);
        let held = self.imports.slots.get(&slot).filter(|import| import.seal_epoch == seal_epoch);
        let pages = held.map_or(0, |import| import.pages.len() as u32);
        let outcome = self.committed_outcome(slot, seal_epoch).unwrap_or(OfferOutcome::Held { pages });
        self.answer(step, from, GroupBody::OfferAnswer { slot, seal_epoch, outcome });
    }

    /// The committed outcome of an offer, if there is one. It never changes.
    fn committed_outcome(&self, slot: SlotId, seal_epoch: Epoch) -> Option<OfferOutcome> {
        let record = self.state.slot(slot)?;
        let opened = |import: &&SlotImport| import.opened && import.seal_epoch == seal_epoch;
        if record.import.as_ref().filter(opened).is_some() {
            return Some(OfferOutcome::Accepted { epoch: record.epoch });
        }
        (record.refused_seal >= seal_epoch).then_some(OfferOutcome::Refused)
    }

    fn add_page(&mut self, site: &SiteName, claims: SlotClaims) {
        let has_capacity = self.imports.slots.len() < MAX_IMPORTS || self.imports.slots.contains_key(&claims.slot);
        if !has_capacity {
            return;
        }
        let import = self.imports.slots.entry(claims.slot).or_default();
        let newer = claims.epoch > import.seal_epoch;
        let repaged = claims.epoch == import.seal_epoch && claims.pages != import.page_count;
        if newer || repaged {
            let from = Some(site.clone());
            *import = Import { from, seal_epoch: claims.epoch, page_count: claims.pages, ..Import::default() };
        }
        if claims.epoch == import.seal_epoch && claims.page as usize == import.pages.len() {
            import.pages.push(claims);
        }
    }

    pub(crate) fn on_withdraw(&mut self, step: &mut HostStep<'_>, from: NodeId, slot: SlotId, seal_epoch: Epoch) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, from);
            return;
        }
        let pending_import = self.state.slot(slot).and_then(|record| record.pending_import());
        let outcome = if pending_import.is_some_and(|import| import.seal_epoch == seal_epoch) {
            Some(OfferOutcome::Held { pages: self.imports.slots.get(&slot).map_or(0, |held| held.pages.len() as u32) })
        } else {
            self.committed_outcome(slot, seal_epoch)
        };
        match outcome {
            Some(outcome) => self.answer(step, from, GroupBody::OfferAnswer { slot, seal_epoch, outcome }),
            // A committed refusal is the proof that the old site needs; it receives the refusal when it retries.
            None => {
                self.imports.refusals_wanted.insert((slot, seal_epoch));
                self.lead(step);
            }
        }
    }

    pub(crate) fn on_slot_imported(&mut self, step: &mut HostStep<'_>, from: NodeId, slot: SlotId, epoch: Epoch) {
        self.imports.opened.insert(slot, (epoch, from));
        self.lead(step);
    }

    /// Sends collected claims to the gates that record them.
    pub(crate) fn send_imports(&mut self, step: &mut HostStep<'_>) {
        let mut due = Vec::new();
        for (slot, record) in self.state.numbered_slots() {
            let Some(pending) = record.pending_import() else {
                continue;
            };
            let Some(import) = self.imports.slots.get_mut(&slot) else {
                continue;
            };
            let ready = import.seal_epoch == pending.seal_epoch && import.is_complete();
            let recent = import.sent_at.is_some_and(|at| step.now.since(at) < self.settings.timing.resend);
            if ready && !(recent && import.sent_epoch == record.epoch) {
                import.sent_at = Some(step.now);
                import.sent_epoch = record.epoch;
                due.push((pending.owner, record.epoch, import.pages.clone()));
            }
        }
        for (owner, epoch, pages) in due {
            for page in pages {
                self.answer(step, owner, GroupBody::Import(SlotClaims { epoch, ..page }));
            }
        }
        self.drop_finished_imports();
    }

    fn drop_finished_imports(&mut self) {
        let state = &self.state;
        let finished = |slot: &SlotId, import: &Import| {
            let record = state.slot(*slot);
            record.is_none_or(|record| {
                let opened = |known: &SlotImport| known.opened && known.seal_epoch >= import.seal_epoch;
                record.import.as_ref().is_some_and(opened) || record.refused_seal >= import.seal_epoch
            })
        };
        self.imports.slots.retain(|slot, import| !finished(slot, import));
    }

    /// The next command of an import, if one is due.
    pub(crate) fn import_command(&mut self, step: &HostStep<'_>) -> Option<Command> {
        self.open_command().or_else(|| self.refuse_command()).or_else(|| self.accept_command(step))
    }

    fn open_command(&mut self) -> Option<Command> {
        let state = &self.state;
        let without_import = !self.settings.mechanisms.import_before_open;
        let mut pending = state.numbered_slots().filter_map(|(slot, record)| {
            let import = record.pending_import()?;
            let reported = self.imports.opened.get(&slot) == Some(&(record.epoch, import.owner));
            (reported || without_import).then_some(Command::Open { slot, epoch: record.epoch, owner: import.owner })
        });
        let command = pending.next();
        let is_pending = |slot: &SlotId| state.slot(*slot).is_some_and(|record| record.pending_import().is_some());
        self.imports.opened.retain(|slot, _| is_pending(slot));
        command
    }

    fn refuse_command(&mut self) -> Option<Command> {
        while let Some((slot, seal_epoch)) = self.imports.refusals_wanted.pop_first() {
            let transfer = SlotTransfer { slot, seal_epoch };
            let taken = self.state.slot(slot).and_then(|record| record.import.as_ref());
            let already = self.committed_outcome(slot, seal_epoch).is_some();
            if !already && taken.is_none_or(|import| import.seal_epoch < seal_epoch) {
                self.imports.slots.remove(&slot);
                return Some(Command::Refuse(transfer));
            }
        }
        None
    }

    fn accept_command(&self, step: &HostStep<'_>) -> Option<Command> {
        self.imports.slots.iter().filter(|(_, import)| import.is_complete()).find_map(|(slot, import)| {
            let record = self.state.slot(*slot)?;
            let elsewhere = matches!(record.state, quillhatch_types::SlotState::Elsewhere { .. });
            let acceptable = elsewhere && import.seal_epoch > record.epoch && import.seal_epoch > record.refused_seal;
            let orphaned = record.pending_import().is_some_and(|pending| !self.can_import(step, pending.owner));
            if !acceptable && !orphaned {
                return None;
            }
            let transfer = SlotTransfer { slot: *slot, seal_epoch: import.seal_epoch };
            Some(Command::Accept { transfer, from: import.from.clone()?, owner: self.least_loaded_gate(step)? })
        })
    }

    fn can_import(&self, step: &HostStep<'_>, node: NodeId) -> bool {
        let serving = self.state.serving_gates().any(|gate| gate.node == node);
        serving && self.gates.is_fresh(step.now, node, &self.settings.timing)
    }

    fn least_loaded_gate(&self, step: &HostStep<'_>) -> Option<NodeId> {
        let slots_of = |node: NodeId| {
            let held = |record: &&crate::state::SlotRecord| {
                record.state == quillhatch_types::SlotState::Owned { owner: node }
                    || record.pending_import().is_some_and(|import| import.owner == node)
            };
            self.state.slots.iter().filter(held).count()
        };
        let candidates = self.state.serving_gates().map(|gate| gate.node).filter(|node| self.can_import(step, *node));
        candidates.min_by_key(|node| (slots_of(*node), *node))
    }
}
