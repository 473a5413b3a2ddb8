//! Inputs and outputs of the edge.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AttemptId, CallContext, CallId, CallerName, ClassName, Configuration, Digest, Feedback, NodeAddress, NodeId,
    ParentContext, Refusal, RequestKey, RootId, ServiceName, ServiceTable, SiteName,
};

/// A call that a caller, or the node's own back end, hands to the edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallArrival {
    /// A fresh random identity drawn by the driver.
    pub call: CallId,
    /// The root of the tree: a fresh random identity, or the parent's root.
    pub root: RootId,
    /// Who calls.
    pub caller: CallerName,
    /// The service called.
    pub service: ServiceName,
    /// The class of the call.
    pub class: ClassName,
    /// The caller's idempotency key, if it gave one.
    pub key: Option<RequestKey>,
    /// A key drawn at random by the driver, used when the class is not repeatable and the caller gave no key.
    pub generated_key: RequestKey,
    /// A hash of the request, present when `key` is.
    pub digest: Option<Digest>,
    /// The time the caller still waits, if it said so.
    pub remaining: Option<Duration>,
    /// The call in progress at this node's gate that makes this call, if any.
    pub parent: Option<ParentContext>,
    /// Whether the request's body can be sent again: it was empty or is held in memory.
    pub replayable_body: bool,
    /// Whether the node's own back end makes the call. Without a `parent` it then gets no retry budget.
    pub outgoing: bool,
}

/// A validator under which parts of an answer from different targets belong together (a strong `ETag`).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StrongValidator(pub String);

/// How far the body of an answer came before it broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyState {
    /// Bytes of the whole answer that the caller has received.
    pub received: u64,
    /// The whole length, if the answer said so.
    pub length: Option<u64>,
    /// The validator under which the rest may come from another target, if the answer gave one and accepts ranges.
    pub validator: Option<StrongValidator>,
}

/// How an attempt came out, as far as the head of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The head of the back end's answer arrived.
    Answered {
        /// The status code.
        status: u16,
    },
    /// The gate refused or replied in the place of the back end.
    Refused(Refusal),
    /// No byte of the attempt left the edge.
    ConnectFailed,
    /// The connection was lost, or the time ran out, after bytes had left and before an answer.
    Lost,
    /// The answer to a resumed attempt does not continue the broken one (another validator or no partial content).
    ResumeRefused,
}

/// What can happen to an edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EdgeInput {
    /// A call arrived.
    Arrived(CallArrival),
    /// The caller went away.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// The head of an attempt's answer arrived, or the attempt failed before that.
    AttemptAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// How it came out.
        result: AttemptResult,
        /// What the gate said with the answer.
        feedback: Option<Feedback>,
    },
    /// The body of a relayed answer ended.
    BodyEnded {
        /// The attempt.
        attempt: AttemptId,
        /// `None` if the answer is whole; else how far it came.
        broken: Option<BodyState>,
    },
    /// A newer routing table of a service at one site.
    Table(Arc<ServiceTable>),
    /// A newer configuration is in force.
    Configuration(Arc<Configuration>),
    /// Membership suspects or clears a node.
    Suspicion {
        /// The node.
        node: NodeAddress,
        /// Whether it is suspected to have failed.
        suspected: bool,
    },
    /// The node begins to stop: no new call is accepted.
    Stop,
    /// Time has passed.
    Tick,
}

/// The final decision on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Relay the answer of this attempt to the caller.
    Relay(AttemptId),
    /// Give the caller this refusal.
    Refuse(Refusal),
}

/// What an edge wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EdgeOutput {
    /// Send an attempt to a gate.
    Send {
        /// The node of the gate.
        target: NodeId,
        /// What the gate is told.
        context: Box<CallContext>,
    },
    /// Send an attempt that asks for the rest of a broken answer, from byte `offset` on.
    Resume {
        /// The node of the gate.
        target: NodeId,
        /// What the gate is told.
        context: Box<CallContext>,
        /// The first byte wanted.
        offset: u64,
        /// The validator that the rest must carry.
        validator: StrongValidator,
    },
    /// Stop an attempt whose answer is no longer wanted.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller. Each call that arrived gets exactly one.
    Finish {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// End the caller's stream visibly broken; follows a `Finish` with `Relay`.
    BreakOff {
        /// The call.
        call: CallId,
    },
    /// Give retry tokens back to the parent call at the local gate. Each child call gives back at most once.
    ReturnTokens {
        /// The parent call.
        parent: CallId,
        /// The tokens left.
        tokens: u16,
    },
    /// Ask the service's group at `site` for its table: it is not known yet, or an answer carried a newer epoch.
    FetchTable {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
    },
}
