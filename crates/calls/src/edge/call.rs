//! The state of one call in progress at the edge.

use std::time::Duration;

use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, ClassConfiguration, NodeAddress, NodeId, Outcome, Priority, Refusal,
    RequestKey, Timestamp,
};

use super::budget::RetryBudget;
use super::caller::{EarlierUse, KeyHash};
use super::deadline::Deadline;
use super::io::{BodyState, CallArrival};

/// An attempt on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The number of the attempt.
    pub(crate) number: u8,
    /// Where it went.
    pub(crate) target: NodeAddress,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing is on its way.
    Idle,
    /// An attempt was sent and not answered yet.
    InFlight(Attempt),
    /// Waits until it is sent again.
    Backoff {
        /// Until when.
        until: Timestamp,
    },
    /// Waits for a table that names the owner of its slot.
    WaitingOwner {
        /// Until when at most.
        until: Timestamp,
        /// What the caller is told if no owner is found.
        refusal: Refusal,
    },
    /// The answer of this attempt is being relayed to the caller.
    Relaying(Attempt),
}

/// A call in progress.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The call as it arrived.
    pub(crate) arrival: CallArrival,
    /// Hops above it.
    pub(crate) depth: u8,
    /// Its priority, inherited ones counted.
    pub(crate) priority: Priority,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// The deadline of its class, for resumed downloads.
    pub(crate) class_deadline: Duration,
    /// When it ends.
    pub(crate) deadline: Deadline,
    /// Its retry tokens.
    pub(crate) budget: RetryBudget,
    /// Whether attempts rank as retries.
    pub(crate) ranks_as_retry: bool,
    /// Attempts sent so far, which is the number of the next one.
    pub(crate) attempts: u8,
    /// Whether the next attempt is paid for as a retry.
    pub(crate) charged: bool,
    /// How far it is.
    pub(crate) phase: Phase,
    /// The attempt result that says most about whether it ran.
    pub(crate) worst: Option<Refusal>,
    /// Targets that failed or refused it.
    pub(crate) tried: Vec<NodeAddress>,
    /// The owner that said it does not own the slot.
    pub(crate) refused_owner: Option<NodeId>,
    /// Whether it waited for an owner, in vain, since the last attempt.
    pub(crate) waited_out: bool,
    /// Resumed attempts sent so far.
    pub(crate) resumes: u8,
    /// The broken answer that a resumed attempt continues.
    pub(crate) broken: Option<BodyState>,
    /// When it wants to be woken.
    pub(crate) timer: Option<Timestamp>,
    /// The hash of the caller's key and what was known of it.
    pub(crate) key: Option<(KeyHash, EarlierUse)>,
}

impl Call {
    /// A call that arrived. The root that the parent belongs to counts, whatever the arrival says.
    pub(crate) fn new(
        mut arrival: CallArrival,
        class: &ClassConfiguration,
        deadline: Deadline,
        budget: RetryBudget,
    ) -> Self {
        if let Some(parent) = &arrival.parent {
            arrival.root = parent.root;
        }
        let parent = arrival.parent.as_ref();
        Call {
            depth: parent.map_or(0, |parent| parent.depth.saturating_add(1)),
            priority: parent.map_or(class.priority, |parent| parent.priority.min(class.priority)),
            ranks_as_retry: parent.is_some_and(|parent| parent.retry),
            repeatable: class.repeatable,
            class_deadline: class.deadline,
            deadline,
            budget,
            attempts: 0,
            charged: false,
            phase: Phase::Idle,
            worst: None,
            tried: Vec::new(),
            refused_owner: None,
            waited_out: false,
            resumes: 0,
            broken: None,
            timer: None,
            key: None,
            arrival,
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.arrival.call
    }

    /// The attempt that is in flight or relayed.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::InFlight(attempt) | Phase::Relaying(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(crate) fn attempt_id(&self, attempt: Attempt) -> AttemptId {
        AttemptId { call: self.id(), attempt: attempt.number }
    }

    /// The key under which it runs at most once.
    pub(crate) fn run_key(&self) -> &RequestKey {
        self.arrival.key.as_ref().unwrap_or(&self.arrival.generated_key)
    }

    /// Remembers what an attempt proved; of two results the one that says more about a run counts.
    pub(crate) fn note(&mut self, refusal: Refusal) {
        let known = self.worst.map(|worst| severity(worst.outcome));
        if known.is_none_or(|known| severity(refusal.outcome) >= known) {
            self.worst = Some(refusal);
        }
    }

    /// What the caller is told: `refusal`, unless an earlier attempt may have run.
    pub(crate) fn final_refusal(&self, refusal: Refusal) -> Refusal {
        match self.worst {
            Some(worst) if severity(worst.outcome) > severity(refusal.outcome) => worst,
            _ => refusal,
        }
    }

    /// What a gate is told with an attempt.
    pub(crate) fn context(&self, tokens: u16, rank: AdmissionRank, remaining: Duration) -> CallContext {
        let arrival = &self.arrival;
        let once = !self.repeatable;
        let key_from_caller = once && arrival.key.is_some();
        CallContext {
            call: arrival.call,
            root: arrival.root,
            attempt: self.attempts,
            depth: self.depth,
            tokens,
            service: arrival.service.clone(),
            class: arrival.class.clone(),
            priority: self.priority,
            rank,
            repeatable: self.repeatable,
            key: once.then(|| self.run_key().clone()),
            key_from_caller,
            digest: arrival.digest.filter(|_| key_from_caller),
            remaining,
        }
    }
}

/// How much an outcome says about a run.
fn severity(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::NotRun => 0,
        Outcome::Unknown => 1,
        Outcome::Failed => 2,
    }
}
