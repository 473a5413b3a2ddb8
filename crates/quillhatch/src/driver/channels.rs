//! Maps calls, attempts and operator requests to the channels of the tasks that receive their outputs.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use quillhatch_calls::edge::io::{Answer, StrongValidator};
use quillhatch_control::io::RequestNumber;
use quillhatch_control::operator::OperatorReply;
use quillhatch_types::{AttemptId, CallContext, CallId, Feedback, NodeId, RecordedAnswer, Refusal, ServiceName};
use tokio::sync::{mpsc, oneshot};

use super::FIRST_REQUEST;

/// The part of an answer that an attempt requests to resume it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The offset of the first byte to send.
    pub offset: u64,
    /// The validator that the response must have.
    pub validator: StrongValidator,
}

/// A command to the task of a call at the edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallCommand {
    /// Send an attempt.
    Send {
        /// The node of the gate.
        target: NodeId,
        /// The context to send to the gate.
        context: Box<CallContext>,
        /// The part to request if the attempt resumes an interrupted answer.
        range: Option<RangeRequest>,
    },
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Answer the caller.
    Finish(Answer),
    /// Abort the answer so that the caller can tell that it is incomplete.
    BreakOff,
}

/// A command to the task of an attempt at the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptCommand {
    /// Send the request to the back end.
    Dispatch {
        /// The time left for the back end.
        remaining: Duration,
    },
    /// Refuse the attempt.
    Refuse {
        /// The refusal.
        refusal: Refusal,
        /// The feedback to send with the answer.
        feedback: Feedback,
    },
    /// Answer the edge with a recorded answer.
    Replay {
        /// The recorded answer.
        answer: RecordedAnswer,
        /// The feedback to send with the answer.
        feedback: Feedback,
    },
    /// Cancel the request to the back end.
    Cancel,
}

/// A call or attempt that has not ended.
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

struct ChannelEntry<Command> {
    sender: mpsc::UnboundedSender<Command>,
    service: ServiceName,
}

/// The channels to all tasks. Each carries only the few commands of one call or attempt, so the channels are unbounded.
pub(super) struct TaskChannels {
    calls: BTreeMap<CallId, ChannelEntry<CallCommand>>,
    attempts: BTreeMap<AttemptId, ChannelEntry<AttemptCommand>>,
    requests: BTreeMap<RequestNumber, oneshot::Sender<OperatorReply>>,
    next_request: RequestNumber,
}

impl Default for TaskChannels {
    fn default() -> Self {
        TaskChannels {
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: FIRST_REQUEST,
        }
    }
}

impl TaskChannels {
    pub(super) fn register_call(&mut self, call: CallId, service: ServiceName) -> mpsc::UnboundedReceiver<CallCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.calls.insert(call, ChannelEntry { sender, service });
        receiver
    }

    pub(super) fn unregister_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    pub(super) fn register_attempt(
        &mut self,
        attempt: AttemptId,
        service: ServiceName,
    ) -> Option<mpsc::UnboundedReceiver<AttemptCommand>> {
        if self.attempts.contains_key(&attempt) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        self.attempts.insert(attempt, ChannelEntry { sender, service });
        Some(receiver)
    }

    pub(super) fn unregister_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    pub(super) fn register_request(&mut self) -> (RequestNumber, oneshot::Receiver<OperatorReply>) {
        let request = self.next_request;
        self.next_request = RequestNumber(request.0 + 1);
        let (sender, receiver) = oneshot::channel();
        // Removes requests whose operator has disconnected, which would otherwise accumulate.
        self.requests.retain(|_, sender| !sender.is_closed());
        self.requests.insert(request, sender);
        (request, receiver)
    }

    pub(super) fn send_to_call(&self, call: CallId, command: CallCommand) {
        if let Some(entry) = self.calls.get(&call) {
            // Sending fails only if the task has ended, and then the command has no effect.
            let _ = entry.sender.send(command);
        }
    }

    pub(super) fn send_to_attempt(&self, attempt: AttemptId, command: AttemptCommand) {
        if let Some(entry) = self.attempts.get(&attempt) {
            // Sending fails only if the task has ended, and then the command has no effect.
            let _ = entry.sender.send(command);
        }
    }

    pub(super) fn reply(&mut self, request: RequestNumber, reply: OperatorReply) {
        if let Some(sender) = self.requests.remove(&request) {
            // Sending fails if the operator has disconnected.
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
