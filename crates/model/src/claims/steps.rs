//! Runs the real step functions of owners and voters, each distinct step once.

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
    /// The run of the sender.
    pub from: NodeId,
    /// The run of the node that it was sent to; whichever run is at the address then gets it.
    pub to: NodeId,
    /// The message.
    pub message: ClaimMessage,
}

/// What an owner is given, by number, so that steps can be remembered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepInput {
    /// A message of the network.
    Deliver(InternedId),
    /// A call asks for its claim.
    Submit(usize),
    /// A call ended.
    Finish(usize),
    /// A call is withdrawn without having been dispatched.
    Release(usize),
    /// A table that was published.
    Table(usize),
    /// The request to export the slot.
    Export,
    /// The request to import the slot with these claims.
    Import(InternedId),
}

/// What a step of an owner led to, beside its new state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerStep {
    /// The owner after the step.
    pub owner: InternedId,
    /// Messages that it sent.
    pub sent: Vec<InternedId>,
    /// Its other outputs.
    pub outputs: Vec<OwnerOutput>,
}

/// What a step of a voter led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStep {
    /// The voter after the step.
    pub voter: InternedId,
    /// Messages that it sent.
    pub sent: Vec<InternedId>,
}

type OwnerKey = (InternedId, usize, StepInput, Timestamp);
type VoterKey = (InternedId, NodeId, InternedId, Timestamp);

/// All values and steps that came up so far.
#[derive(Debug, Default)]
pub struct Steps {
    owners: RefCell<Interner<ClaimOwner>>,
    voters: RefCell<Interner<ClaimVoter>>,
    envelopes: RefCell<Interner<Envelope>>,
    handovers: RefCell<Interner<Vec<ClaimEntry>>>,
    owner_steps: RefCell<HashMap<OwnerKey, Rc<OwnerStep>>>,
    voter_steps: RefCell<HashMap<VoterKey, Rc<VoterStep>>>,
    checks: RefCell<HashMap<(InternedId, AttemptId, Timestamp), bool>>,
}

impl Steps {
    /// The number of an owner's state.
    pub fn intern_owner(&self, owner: ClaimOwner) -> InternedId {
        self.owners.borrow_mut().id(owner)
    }

    /// The number of a voter's state.
    pub fn intern_voter(&self, voter: ClaimVoter) -> InternedId {
        self.voters.borrow_mut().id(voter)
    }

    /// The number of a list of claims that goes from site to site.
    pub fn intern_handover(&self, claims: Vec<ClaimEntry>) -> InternedId {
        self.handovers.borrow_mut().id(claims)
    }

    /// A list of claims that goes from site to site.
    pub fn handover(&self, id: InternedId) -> Vec<ClaimEntry> {
        self.handovers.borrow().value(id).as_ref().clone()
    }

    /// A message.
    pub fn envelope(&self, id: InternedId) -> Rc<Envelope> {
        self.envelopes.borrow().value(id)
    }

    /// Whether the owner lets the attempt go to the back end.
    pub fn may_dispatch(&self, owner: InternedId, ticket: AttemptId, now: Timestamp) -> bool {
        let check = || self.owners.borrow().value(owner).may_dispatch(now, ticket);
        *self.checks.borrow_mut().entry((owner, ticket, now)).or_insert_with(check)
    }

    /// Steps an owner; `index` and `id` are its place and its identity, and `input` makes the input.
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
        if let Some(known) = self.owner_steps.borrow().get(&key) {
            return Rc::clone(known);
        }
        let mut stepped = self.owners.borrow().value(owner).as_ref().clone();
        let mut all = Vec::new();
        stepped.step(now, input(), &mut all);
        let mut sent = Vec::new();
        let mut outputs = Vec::new();
        for output in all {
            match output {
                OwnerOutput::Send { to, message } => sent.push(self.send(id, to, message)),
                other => outputs.push(other),
            }
        }
        let result = Rc::new(OwnerStep { owner: self.intern_owner(stepped), sent, outputs });
        self.owner_steps.borrow_mut().insert(key, Rc::clone(&result));
        result
    }

    /// Hands a message to a voter.
    pub fn step_voter(&self, voter: InternedId, id: NodeId, envelope: InternedId, now: Timestamp) -> Rc<VoterStep> {
        let key = (voter, id, envelope, now);
        if let Some(known) = self.voter_steps.borrow().get(&key) {
            return Rc::clone(known);
        }
        let mut stepped = self.voters.borrow().value(voter).as_ref().clone();
        let mut replies = Vec::new();
        let envelope = self.envelope(envelope);
        stepped.handle(now, envelope.from, envelope.message.clone(), &mut replies);
        let sent = replies.into_iter().map(|(to, message)| self.send(id, to, message)).collect();
        let result = Rc::new(VoterStep { voter: self.intern_voter(stepped), sent });
        self.voter_steps.borrow_mut().insert(key, Rc::clone(&result));
        result
    }

    fn send(&self, from: NodeId, to: NodeId, message: ClaimMessage) -> InternedId {
        self.envelopes.borrow_mut().id(Envelope { from, to, message })
    }
}
