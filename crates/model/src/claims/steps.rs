//! Runs the real step functions of owners and voters, and caches the result of each distinct step.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_claims::{ClaimEntry, ClaimMessage, ClaimOwner, ClaimVoter, OwnerInput, OwnerOutput};
use quillhatch_types::{AttemptId, NodeId, Timestamp};

use crate::intern::{InternedId, Interner};

/// A message on the network.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{from} -> {to}: {message}")]
pub struct Envelope {
    /// The sender, with its incarnation.
    pub from: NodeId,
    /// The receiver, with its incarnation. A voter's messages reach whichever incarnation is at the address on
    /// delivery.
    pub to: NodeId,
    /// The message.
    pub message: ClaimMessage,
}

/// The input of an owner's step with interned values, as a cache key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepInput {
    /// A message from the network.
    Deliver(InternedId),
    /// A call requests its claim.
    Submit(usize),
    /// A call ended.
    Finish(usize),
    /// A call is cancelled before its dispatch.
    Release(usize),
    /// A published table is received.
    Table(usize),
    /// The request to export the slot.
    Export,
    /// The request to import the slot with these claims.
    Import(InternedId),
}

/// The result of an owner's step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerStep {
    /// The owner after the step.
    pub owner: InternedId,
    /// The messages sent.
    pub sent: Vec<InternedId>,
    /// The other outputs.
    pub outputs: Vec<OwnerOutput>,
}

/// The result of a voter's step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStep {
    /// The voter after the step.
    pub voter: InternedId,
    /// The messages sent.
    pub sent: Vec<InternedId>,
}

type OwnerKey = (InternedId, usize, StepInput, Timestamp);
type VoterKey = (InternedId, NodeId, InternedId, Timestamp);

/// All interned values and cached steps of an exploration.
#[derive(Debug, Default)]
pub struct StepCache {
    owners: RefCell<Interner<ClaimOwner>>,
    voters: RefCell<Interner<ClaimVoter>>,
    envelopes: RefCell<Interner<Envelope>>,
    handovers: RefCell<Interner<Vec<ClaimEntry>>>,
    owner_steps: RefCell<HashMap<OwnerKey, Rc<OwnerStep>>>,
    voter_steps: RefCell<HashMap<VoterKey, Rc<VoterStep>>>,
    dispatch_checks: RefCell<HashMap<(InternedId, AttemptId, Timestamp), bool>>,
}

impl StepCache {
    /// Returns the ID of an owner's state.
    pub fn intern_owner(&self, owner: ClaimOwner) -> InternedId {
        self.owners.borrow_mut().id(owner)
    }

    /// Returns the ID of a voter's state.
    pub fn intern_voter(&self, voter: ClaimVoter) -> InternedId {
        self.voters.borrow_mut().id(voter)
    }

    /// Returns the ID of a list of claims that moves between sites.
    pub fn intern_handover(&self, claims: Vec<ClaimEntry>) -> InternedId {
        self.handovers.borrow_mut().id(claims)
    }

    /// Returns a list of claims that moves between sites.
    pub fn handover(&self, id: InternedId) -> Vec<ClaimEntry> {
        self.handovers.borrow().value(id).as_ref().clone()
    }

    /// Returns a message.
    pub fn envelope(&self, id: InternedId) -> Rc<Envelope> {
        self.envelopes.borrow().value(id)
    }

    /// Whether the owner allows the dispatch of the attempt to the back end.
    pub fn may_dispatch(&self, owner: InternedId, ticket: AttemptId, now: Timestamp) -> bool {
        let check = || self.owners.borrow().value(owner).may_dispatch(now, ticket);
        *self.dispatch_checks.borrow_mut().entry((owner, ticket, now)).or_insert_with(check)
    }

    /// Steps the owner in state `owner`. `index` and `id` identify it, and `input` creates the input unless the step is
    /// cached.
    pub fn step_owner(
        &self,
        owner: InternedId,
        index: usize,
        id: NodeId,
        now: Timestamp,
        step: StepInput,
        input: impl FnOnce() -> OwnerInput,
    ) -> Rc<OwnerStep> {
        let key = (owner, index, step, now);
        if let Some(cached) = self.owner_steps.borrow().get(&key) {
            return Rc::clone(cached);
        }
        let mut stepped = self.owners.borrow().value(owner).as_ref().clone();
        let mut all_outputs = Vec::new();
        stepped.step(now, input(), &mut all_outputs);
        let mut sent = Vec::new();
        let mut outputs = Vec::new();
        for output in all_outputs {
            match output {
                OwnerOutput::Send { to, message } => sent.push(self.intern_envelope(id, to, message)),
                other => outputs.push(other),
            }
        }
        let result = Rc::new(OwnerStep { owner: self.intern_owner(stepped), sent, outputs });
        self.owner_steps.borrow_mut().insert(key, Rc::clone(&result));
        result
    }

    /// Delivers a message to a voter.
    pub fn step_voter(&self, voter: InternedId, id: NodeId, envelope: InternedId, now: Timestamp) -> Rc<VoterStep> {
        let key = (voter, id, envelope, now);
        if let Some(cached) = self.voter_steps.borrow().get(&key) {
            return Rc::clone(cached);
        }
        let mut stepped = self.voters.borrow().value(voter).as_ref().clone();
        let mut replies = Vec::new();
        let envelope = self.envelope(envelope);
        stepped.handle(now, envelope.from, envelope.message.clone(), &mut replies);
        let sent = replies.into_iter().map(|(to, message)| self.intern_envelope(id, to, message)).collect();
        let result = Rc::new(VoterStep { voter: self.intern_voter(stepped), sent });
        self.voter_steps.borrow_mut().insert(key, Rc::clone(&result));
        result
    }

    fn intern_envelope(&self, from: NodeId, to: NodeId, message: ClaimMessage) -> InternedId {
        self.envelopes.borrow_mut().id(Envelope { from, to, message })
    }
}
