//! Specifies what a site's leader does in a slot move, by the rules of `host/exports.rs` and `host/imports.rs` of the
//! control crate.

use quillhatch_control::state::SlotRecord;
use quillhatch_types::{Epoch, SlotState};

use super::agreed::{gate_number, SlotCommand};
use super::checks::Checks;
use super::site::{Export, Message, Outcome, Site};

/// A leader with the agreed record of the slot, on which it acts.
pub(super) struct Leader<'a> {
    pub checks: Checks,
    pub record: SlotRecord,
    pub site: &'a mut Site,
}

impl Leader<'_> {
    /// Returns the epoch of the seal if the slot is sealed at this site.
    pub fn seal(&self) -> Option<Epoch> {
        matches!(self.record.state, SlotState::Sealed { .. }).then_some(self.record.epoch)
    }

    /// Removes exports and imports that the agreed state has completed; mirrors `send_exports` and
    /// `drop_finished_imports`.
    pub fn drop_finished(&mut self) {
        match self.seal() {
            Some(seal) if self.site.export.seal != seal => self.site.export = Export { seal, ..Export::default() },
            Some(_) => {}
            None => self.site.export = Export::default(),
        }
        let record = &self.record;
        let finished = |seal: &Epoch| {
            let import = record.import.as_ref();
            import.is_some_and(|import| import.opened && import.seal_epoch >= *seal) || record.refused_seal >= *seal
        };
        if self.site.import.gathered.as_ref().is_some_and(finished) {
            self.site.import.gathered = None;
        }
        if record.pending_import().is_none() {
            self.site.import.opened = None;
        }
    }

    /// Returns the message to the other site; mirrors `send_export`.
    pub fn message(&self) -> Option<Message> {
        let (seal, export) = (self.seal()?, self.site.export);
        if export.outcome.is_some() {
            return None;
        }
        if export.withdrawn && !export.must_complete {
            return Some(Message::Withdraw(seal));
        }
        export.collected.then_some(Message::Offer(seal))
    }

    /// Handles a message and returns the answer, if any.
    pub fn receive(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::Offer(seal) => Some(self.on_offer(seal)),
            Message::Withdraw(seal) => self.on_withdraw(seal),
            Message::Answer { seal, outcome } => {
                self.on_offer_answer(seal, outcome);
                None
            }
            Message::Imported(epoch) => {
                if self.record.pending_import().is_some() {
                    self.site.import.opened = Some(epoch);
                }
                None
            }
        }
    }

    fn on_offer(&mut self, seal: Epoch) -> Message {
        let settled = self.settled_outcome(seal);
        if settled.is_none() && self.site.import.gathered.is_none_or(|gathered| seal > gathered) {
            self.site.import.gathered = Some(seal);
        }
        Message::Answer { seal, outcome: settled.unwrap_or(Outcome::Held) }
    }

    fn settled_outcome(&self, seal: Epoch) -> Option<Outcome> {
        let import = self.record.import.as_ref().filter(|import| import.seal_epoch == seal);
        if import.is_some_and(|import| import.opened || !self.checks.accepted_when_open) {
            return Some(Outcome::Accepted);
        }
        (self.record.refused_seal >= seal).then_some(Outcome::Refused)
    }

    fn on_withdraw(&mut self, seal: Epoch) -> Option<Message> {
        let pending = self.record.pending_import().is_some_and(|import| import.seal_epoch == seal);
        let outcome = if pending { Some(Outcome::Held) } else { self.settled_outcome(seal) };
        if outcome.is_none() && !self.checks.refusal_is_agreed {
            return Some(Message::Answer { seal, outcome: Outcome::Refused });
        }
        if outcome.is_none() {
            self.site.import.refusals_wanted.insert(seal);
        }
        outcome.map(|outcome| Message::Answer { seal, outcome })
    }

    fn on_offer_answer(&mut self, seal: Epoch, outcome: Outcome) {
        let sealed = self.seal().is_some();
        let export = &mut self.site.export;
        if !sealed || (export.seal != seal && self.checks.answer_names_seal) {
            return;
        }
        match outcome {
            Outcome::Held => export.must_complete |= export.withdrawn && self.checks.withdrawal_yields,
            settled => export.outcome = Some(settled),
        }
    }

    /// Returns the commands that the leader may propose to its group; mirrors `export_command` and `import_command`.
    pub fn commands(&self) -> Vec<SlotCommand> {
        let export = self.export_command().into_iter();
        export.chain(self.open_command()).chain(self.refuse_commands()).chain(self.accept_command()).collect()
    }

    fn export_command(&self) -> Option<SlotCommand> {
        let seal = self.seal()?;
        if self.site.export.withdrawn && !self.checks.unseal_needs_proof {
            return Some(SlotCommand::Unseal(seal));
        }
        match self.site.export.outcome? {
            Outcome::Accepted => Some(SlotCommand::Complete(seal)),
            Outcome::Refused => Some(SlotCommand::Unseal(seal)),
            Outcome::Held => None,
        }
    }

    fn open_command(&self) -> Option<SlotCommand> {
        let gate = gate_number(self.record.pending_import()?.owner);
        let epoch = self.record.epoch;
        let recorded = self.site.import.opened == Some(epoch);
        (recorded || !self.checks.import_before_open).then_some(SlotCommand::Open { epoch, gate })
    }

    fn accept_command(&self) -> Option<SlotCommand> {
        let seal = self.site.import.gathered?;
        let elsewhere = matches!(self.record.state, SlotState::Elsewhere { .. });
        let acceptable = elsewhere && seal > self.record.epoch && seal > self.record.refused_seal;
        acceptable.then_some(SlotCommand::Accept { seal, gate: 0 })
    }

    fn refuse_commands(&self) -> impl Iterator<Item = SlotCommand> + '_ {
        let undecided = |seal: &&Epoch| {
            let imported = self.record.import.as_ref().is_some_and(|import| import.seal_epoch >= **seal);
            self.settled_outcome(**seal).is_none() && !imported
        };
        self.site.import.refusals_wanted.iter().filter(undecided).map(|seal| SlotCommand::Refuse(*seal))
    }

    /// Proposes a command to the group. Like `refuse_command`, this removes the request for the refusal.
    pub fn propose(&mut self, command: SlotCommand) {
        if let SlotCommand::Refuse(seal) = command {
            self.site.import.refusals_wanted.remove(&seal);
            self.site.import.gathered = None;
        }
    }

    /// Sends the gathered claims to the gate, which records them; mirrors `send_imports`.
    pub fn record_claims(&mut self) -> Option<Message> {
        let pending = self.record.pending_import()?;
        if self.site.import.gathered != Some(pending.seal_epoch) {
            return None;
        }
        self.site.recorded.insert(pending.seal_epoch);
        Some(Message::Imported(self.record.epoch))
    }
}
