//! Which task waits for the outputs about which call, attempt or operator's request.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use quillhatch_calls::edge::io::{Answer, StrongValidator};
use quillhatch_control::io::RequestNumber;
use quillhatch_control::operator::OperatorReply;
use quillhatch_types::{AttemptId, CallContext, CallId, Feedback, NodeId, RecordedAnswer, Refusal, ServiceName};
use tokio::sync::{mpsc, oneshot};

use super::FIRST_REQUEST;

/// The part of an answer that a resumed attempt asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The first byte wanted.
    pub offset: u64,
    /// The validator that the rest must carry.
    pub validator: StrongValidator,
}

/// What the task of a call is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallCommand {
    /// Send an attempt.
    Send {
        /// The node of the gate.
        target: NodeId,
        /// What the gate is told.
        context: Box<CallContext>,
        /// The part wanted, if the attempt continues a broken answer.
        range: Option<RangeRequest>,
    },
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Answer the caller.
    Finish(Answer),
    /// End the caller's stream visibly broken.
    BreakOff,
}

/// What the task of an attempt at the gate is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptCommand {
    /// Hand the attempt to the back end.
    Dispatch {
        /// The time left for the back end.
        remaining: Duration,
    },
    /// Answer the edge in the place of the back end.
    Refuse {
        /// The refusal.
        refusal: Refusal,
        /// What the edge is told with it.
        feedback: Feedback,
    },
    /// Answer the edge with a recorded answer.
    Replay {
        /// The recorded answer.
        answer: RecordedAnswer,
        /// What the edge is told with it.
        feedback: Feedback,
    },
    /// Stop the back end's work.
    Cancel,
}

/// Something that has not ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ActiveRequest {
    /// A call at the edge.
    #[display("call {call} to {service}")]
    Call {
        /// The call.
        call: CallId,
        /// Its service.
        service: ServiceName,
    },
    /// An attempt at the gate.
    #[display("attempt {attempt} at {service}")]
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its service.
        service: ServiceName,
    },
}

struct Entry<Command> {
    sender: mpsc::UnboundedSender<Command>,
    service: ServiceName,
}

/// The channels to all tasks. Each carries the few commands of one call, so they need no bound of their own.
pub(super) struct Channels {
    calls: BTreeMap<CallId, Entry<CallCommand>>,
    attempts: BTreeMap<AttemptId, Entry<AttemptCommand>>,
    requests: BTreeMap<RequestNumber, oneshot::Sender<OperatorReply>>,
    next_request: RequestNumber,
}

impl Default for Channels {
    fn default() -> Self {
        Channels {
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: FIRST_REQUEST,
        }
    }
}

impl Channels {
    pub(super) fn open_call(&mut self, call: CallId, service: ServiceName) -> mpsc::UnboundedReceiver<CallCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.calls.insert(call, Entry { sender, service });
        receiver
    }

    pub(super) fn close_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    pub(super) fn open_attempt(
        &mut self,
        attempt: AttemptId,
        service: ServiceName,
    ) -> Option<mpsc::UnboundedReceiver<AttemptCommand>> {
        if self.attempts.contains_key(&attempt) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.attempts.insert(attempt, Entry { sender, service });
        Some(receiver)
    }

    pub(super) fn close_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    pub(super) fn open_request(&mut self) -> (RequestNumber, oneshot::Receiver<OperatorReply>) {
        let request = self.next_request;
        self.next_request = RequestNumber(request.0 + 1);
        let (sender, receiver) = oneshot::channel();
        // Operators who no longer wait must not pile up.
        self.requests.retain(|_, waiting| !waiting.is_closed());
        self.requests.insert(request, sender);
        (request, receiver)
    }

    pub(super) fn to_call(&self, call: CallId, command: CallCommand) {
        if let Some(entry) = self.calls.get(&call) {
            // A task that has ended has no use for the command.
            let _ = entry.sender.send(command);
        }
    }

    pub(super) fn to_attempt(&self, attempt: AttemptId, command: AttemptCommand) {
        if let Some(entry) = self.attempts.get(&attempt) {
            // A task that has ended has no use for the command.
            let _ = entry.sender.send(command);
        }
    }

    pub(super) fn reply(&mut self, request: RequestNumber, reply: OperatorReply) {
        if let Some(sender) = self.requests.remove(&request) {
            // The operator may have gone.
            let _ = sender.send(reply);
        }
    }

    pub(super) fn active_requests(&self) -> Vec<ActiveRequest> {
        let calls =
            self.calls.iter().map(|(call, entry)| ActiveRequest::Call { call: *call, service: entry.service.clone() });
        let attempts = self
            .attempts
            .iter()
            .map(|(attempt, entry)| ActiveRequest::Attempt { attempt: *attempt, service: entry.service.clone() });
        calls.chain(attempts).collect()
    }
}
