//! Claims of the local gate's attempts: the claim owner, and the state of attempts needed to finish their claims.

use std::collections::BTreeSet;

use quillhatch_calls::gate::{AnswerEnd, GateInput};
use quillhatch_claims::{ClaimMechanisms, ClaimOwner, OwnerInput, OwnerOutput, OwnerSettings};
use quillhatch_types::hash::slot_of_key;
use quillhatch_types::{AttemptId, CallContext, Configuration, NodeId, RecordedAnswer, ServiceName, Timestamp};

/// The claim owner of the local gate, with the attempts that have a pending claim.
pub(crate) struct GateClaims {
    pub(crate) owner: ClaimOwner,
    service: ServiceName,
    slot_count: u16,
    /// Attempts whose claim was requested and is not finished.
    pending: BTreeSet<AttemptId>,
    /// Attempts with a pending claim whose answer broke off or was cancelled, so that it is unknown whether the back end
    /// executed them.
    uncertain: BTreeSet<AttemptId>,
}

impl GateClaims {
    pub(crate) fn new(node: NodeId, service: ServiceName, mechanisms: ClaimMechanisms) -> Self {
        let owner = ClaimOwner::with_mechanisms(node, service.clone(), OwnerSettings::default(), mechanisms);
        GateClaims { owner, service, slot_count: 1, pending: BTreeSet::new(), uncertain: BTreeSet::new() }
    }

    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        self.owner.next_wake()
    }

    pub(crate) fn held_claims(&self) -> usize {
        self.owner.held_claims()
    }

    /// Applies the service's settings. Returns the input that passes them to the owner, or `None` if the service is not
    /// configured.
    pub(crate) fn configure(&mut self, configuration: &Configuration) -> Option<OwnerInput> {
        let service = configuration.services.get(&self.service)?;
        self.slot_count = service.slot_count;
        Some(OwnerInput::SettingsChanged(OwnerSettings::from_configuration(service)))
    }

    /// Returns the input that requests a claim for an attempt, or `None` if the attempt has no key, which no edge sends.
    pub(crate) fn request(&mut self, context: &CallContext) -> Option<OwnerInput> {
        let key = context.key.clone()?;
        self.pending.insert(context.attempt_id());
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

    /// Removes an attempt whose claim was not granted. The gate emits no further output about such a claim.
    pub(crate) fn forget_attempt(&mut self, attempt: AttemptId) {
        self.pending.remove(&attempt);
    }

    /// The number of attempts whose claim was requested and is not finished.
    pub(crate) fn pending_claims(&self) -> usize {
        self.pending.len()
    }

    /// Records how the back end's answer ended. Must be called before the gate handles the same input and finishes the
    /// claim.
    pub(crate) fn record_answer_end(&mut self, input: &GateInput) {
        let GateInput::AnswerEnded { attempt, end } = input else { return };
        if matches!(end, AnswerEnd::Broken | AnswerEnd::Cancelled) && self.pending.contains(attempt) {
            self.uncertain.insert(*attempt);
        }
    }

    /// Whether the attempt may be dispatched to the back end now. True for attempts without a claim.
    pub(crate) fn may_dispatch(&self, now: Timestamp, attempt: AttemptId) -> bool {
        !self.pending.contains(&attempt) || self.owner.may_dispatch(now, attempt)
    }

    pub(crate) fn finished(&mut self, attempt: AttemptId, record: Option<RecordedAnswer>) -> OwnerInput {
        self.pending.remove(&attempt);
        let uncertain = self.uncertain.remove(&attempt);
        if uncertain && record.is_none() {
            return OwnerInput::Abandoned { ticket: attempt };
        }
        OwnerInput::Finished { ticket: attempt, record }
    }

    pub(crate) fn released(&mut self, attempt: AttemptId) -> OwnerInput {
        self.pending.remove(&attempt);
        self.uncertain.remove(&attempt);
        OwnerInput::Released { ticket: attempt }
    }

    pub(crate) fn step(&mut self, now: Timestamp, input: OwnerInput) -> Vec<OwnerOutput> {
        let mut outputs = Vec::new();
        self.owner.step(now, input, &mut outputs);
        outputs
    }
}
