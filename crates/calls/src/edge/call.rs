//! The state of one call in progress at the edge.

use std::time::Duration;

use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, ClassConfiguration, NodeAddress, NodeId, Outcome, Priority, Refusal,
    RequestKey, Timestamp,
};

use super::budget::RetryBudget;
use super::caller::{KeyHash, KeyHistory};
use super::deadline::Deadline;
use super::io::{BodyState, CallArrival};

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The number of the attempt.
    pub(crate) number: u8,
    /// The node it was sent to.
    pub(crate) target: NodeAddress,
    /// When it was sent.
    pub(crate) sent_at: Timestamp,
}

/// The phase of a call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No attempt is in flight and the call waits for nothing.
    Idle,
    /// An attempt was sent and has not been answered yet.
    InFlight(Attempt),
    /// Waits for the backoff delay before the next attempt.
    Backoff {
        /// When the next attempt is sent.
        until: Timestamp,
    },
    /// Waits for a table that names the owner of its slot.
    WaitingOwner {
        /// When the wait times out.
        until: Timestamp,
        /// The refusal sent to the caller if no owner is found.
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
    /// The number of calls above it in the call tree.
    pub(crate) depth: u8,
    /// Its priority: the more important of its class's and its parent's.
    pub(crate) priority: Priority,
    /// Whether it may run more than once, as its class says.
    pub(crate) repeatable: bool,
    /// The deadline of its class: the time limit of a resumed download, and the base of the threshold from which an
    /// unanswered attempt counts as a failure of its target.
    pub(crate) class_deadline: Duration,
    /// The deadline for the head of the answer, or of the resumed one.
    pub(crate) deadline: Deadline,
    /// Its retry tokens.
    pub(crate) budget: RetryBudget,
    /// Whether its attempts are ranked as retries.
    pub(crate) ranks_as_retry: bool,
    /// Attempts sent so far, which is also the number of the next one.
    pub(crate) attempts: u8,
    /// Whether a retry was charged for the next attempt, which is not sent yet.
    pub(crate) retry_charged: bool,
    pub(crate) phase: Phase,
    /// The refusal of an attempt that is the strongest evidence that the call may have run.
    pub(crate) worst_refusal: Option<Refusal>,
    /// Targets that failed or refused it.
    pub(crate) tried: Vec<NodeAddress>,
    /// The owner that refused the last attempt as not the owner, or as draining, stopping or not ready.
    pub(crate) rejecting_owner: Option<NodeId>,
    /// Whether a wait for an owner timed out since the last attempt.
    pub(crate) owner_wait_expired: bool,
    /// Resumed attempts sent so far.
    pub(crate) resumes: u8,
    /// The interrupted answer that a resumed attempt continues.
    pub(crate) interrupted: Option<BodyState>,
    /// When its timer fires.
    pub(crate) timer: Option<Timestamp>,
    /// The hash of the caller's key and its earlier uses.
    pub(crate) key: Option<(KeyHash, KeyHistory)>,
}

impl Call {
    /// Creates a call from its arrival. The parent's root overrides the root of the arrival.
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
            retry_charged: false,
            phase: Phase::Idle,
            worst_refusal: None,
            tried: Vec::new(),
            rejecting_owner: None,
            owner_wait_expired: false,
            resumes: 0,
            interrupted: None,
            timer: None,
            key: None,
            arrival,
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.arrival.call
    }

    /// The attempt that is in flight or whose answer is being relayed.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::InFlight(attempt) | Phase::Relaying(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(crate) fn attempt_id(&self, attempt: Attempt) -> AttemptId {
        AttemptId { call: self.id(), attempt: attempt.number }
    }

    /// The idempotency key: the caller's, or else the generated one.
    pub(crate) fn run_key(&self) -> &RequestKey {
        self.arrival.key.as_ref().unwrap_or(&self.arrival.generated_key)
    }

    /// Records the refusal of an attempt, unless an earlier one is stronger evidence that the call ran.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) {
        let known = self.worst_refusal.map(|worst| severity(worst.outcome));
        if known.is_none_or(|known| severity(refusal.outcome) >= known) {
            self.worst_refusal = Some(refusal);
        }
    }

    /// The refusal for the caller: `refusal`, unless an earlier attempt is stronger evidence that the call ran.
    pub(crate) fn final_refusal(&self, refusal: Refusal) -> Refusal {
        match self.worst_refusal {
            Some(worst) if severity(worst.outcome) > severity(refusal.outcome) => worst,
            _ => refusal,
        }
    }

    /// The call context that the next attempt carries to the gate.
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

/// Orders outcomes by how strong their evidence is that the call ran.
fn severity(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::NotRun => 0,
        Outcome::Unknown => 1,
        Outcome::Failed => 2,
    }
}
