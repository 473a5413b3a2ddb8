//! The claims of the local gate's attempts: the owner's side, and what must be known of an attempt to end its claim.

use std::collections::BTreeSet;

use quillhatch_calls::gate::{AnswerEnd, GateInput};
use quillhatch_claims::{ClaimMechanisms, ClaimOwner, OwnerInput, OwnerOutput, OwnerSettings};
use quillhatch_types::hash::slot_of_key;
use quillhatch_types::{AttemptId, CallContext, Configuration, NodeId, RecordedAnswer, ServiceName, Timestamp};

/// The claim owner of the local gate.
pub(crate) struct ClaimDesk {
    pub(crate) owner: ClaimOwner,
    service: ServiceName,
    slot_count: u16,
    /// Attempts whose claim was asked for and has not ended.
    open: BTreeSet<AttemptId>,
    /// Attempts that ended without anybody knowing whether the back end ran them.
    uncertain: BTreeSet<AttemptId>,
}

impl ClaimDesk {
    pub(crate) fn new(node: NodeId, service: ServiceName, mechanisms: ClaimMechanisms) -> Self {
        let owner = ClaimOwner::with_mechanisms(node, service.clone(), OwnerSettings::default(), mechanisms);
        ClaimDesk { owner, service, slot_count: 1, open: BTreeSet::new(), uncertain: BTreeSet::new() }
    }

    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        self.owner.next_wake()
    }

    pub(crate) fn held(&self) -> usize {
        self.owner.held_claims()
    }

    /// Takes the service's settings; returns the owner's input, if the service is configured.
    pub(crate) fn configure(&mut self, configuration: &Configuration) -> Option<OwnerInput> {
        let service = configuration.services.get(&self.service)?;
        self.slot_count = service.slot_count;
        Some(OwnerInput::SettingsChanged(OwnerSettings::from_configuration(service)))
    }

    /// The owner's input for an attempt that needs a claim; `None` for one without a key, which no edge sends.
    pub(crate) fn request(&mut self, context: &CallContext) -> Option<OwnerInput> {
        let key = context.key.clone()?;
        self.open.insert(context.attempt_id());
        Some(OwnerInput::Claim {
            ticket: context.attempt_id(),
            slot: slot_of_key(&key, self.slot_count),
            key,
            digest: context.digest,
            root: context.root,
            key_from_caller: context.key_from_caller,
            remaining: context.remaining,
        })
    }

    /// Forgets an attempt whose claim was not granted: the gate says nothing more of its claim.
    pub(crate) fn not_granted(&mut self, attempt: AttemptId) {
        self.open.remove(&attempt);
    }

    /// The number of attempts whose claim was asked for and has not ended.
    pub(crate) fn open_claims(&self) -> usize {
        self.open.len()
    }

    /// Notes how the back end's part ended, before the gate says what becomes of the claim.
    pub(crate) fn observe(&mut self, input: &GateInput) {
        let GateInput::AnswerEnded { attempt, end } = input else { return };
        if matches!(end, AnswerEnd::Broken | AnswerEnd::Cancelled) && self.open.contains(attempt) {
            self.uncertain.insert(*attempt);
        }
    }

    /// Whether the attempt may go to the back end now; true for attempts without a claim.
    pub(crate) fn may_dispatch(&self, now: Timestamp, attempt: AttemptId) -> bool {
        !self.open.contains(&attempt) || self.owner.may_dispatch(now, attempt)
    }

    pub(crate) fn finished(&mut self, attempt: AttemptId, record: Option<RecordedAnswer>) -> OwnerInput {
        self.open.remove(&attempt);
        let uncertain = self.uncertain.remove(&attempt);
        if uncertain && record.is_none() {
            return OwnerInput::Abandoned { ticket: attempt };
        }
        OwnerInput::Finished { ticket: attempt, record }
    }

    pub(crate) fn released(&mut self, attempt: AttemptId) -> OwnerInput {
        self.open.remove(&attempt);
        self.uncertain.remove(&attempt);
        OwnerInput::Released { ticket: attempt }
    }

    pub(crate) fn step(&mut self, now: Timestamp, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut outputs = Vec::new();
        self.owner.step(now, input, &mut outputs);
        outputs
    }
}
