//! Drives the decision code: guards it with a lock, runs its timer and sends its outputs to the tasks that execute
//! them.
//!
//! Use [`Driver::input`] for every event. Outputs are delivered under the same lock, so that the outputs for one call
//! always arrive in the order in which they were decided. Delivery never waits.

mod channels;
mod timer;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use quillhatch_calls::edge::io::{EdgeInput, EdgeOutput};
use quillhatch_calls::gate::io::{GateInput, GateOutput};
use quillhatch_control::io::{ControlEvent, RequestNumber};
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_messages::Payload;
use quillhatch_types::{
    AttemptId, CallId, Configuration, Feedback, Incarnation, NodeAddress, ParentContext, Revision, ServiceName,
    Timestamp,
};
use tokio::sync::{mpsc, oneshot, watch, Notify};

use crate::decisions::{Decisions, NodeEvent, NodeInput, NodeOutput, Statistic};
use channels::TaskChannels;

pub use channels::{ActiveRequest, AttemptCommand, CallCommand, RangeRequest};

/// Sends messages to other nodes; its methods must not wait.
pub trait MessageSink: Send + Sync + 'static {
    /// Queues `payload` for the node at `to`.
    fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload);

    /// Sets the configuration revision now in force, which every message carries.
    fn set_revision(&self, _revision: Revision) {}
}

struct State {
    decisions: Box<dyn Decisions>,
    channels: TaskChannels,
    /// The outputs of the current step; empty between steps, so that the allocation is reused.
    outputs: Vec<NodeOutput>,
}

/// Drives the decision code of one node.
pub struct Driver {
    state: Mutex<State>,
    start: Instant,
    /// Notifies the timer that the next wake may have changed.
    timer: Notify,
    ready_to_exit: watch::Sender<bool>,
    messages: Box<dyn MessageSink>,
}

impl Driver {
    /// Creates a driver for `decisions` that sends messages to other nodes through `messages`.
    ///
    /// [`Driver::run_timer`] must run concurrently.
    pub fn new(decisions: Box<dyn Decisions>, messages: Box<dyn MessageSink>) -> Arc<Self> {
        Arc::new(Driver {
            state: Mutex::new(State { decisions, channels: TaskChannels::default(), outputs: Vec::new() }),
            start: Instant::now(),
            timer: Notify::new(),
            ready_to_exit: watch::Sender::new(false),
            messages,
        })
    }

    /// The time on the node's monotonic clock.
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Steps the decision code with `input` and delivers its outputs.
    pub fn input(&self, input: NodeInput) {
        let mut state = self.lock();
        self.step(&mut state, input);
    }

    /// Passes an event to the edge.
    pub fn edge_input(&self, input: EdgeInput) {
        self.input(NodeInput::Edge(input));
    }

    /// Passes an event to the gate.
    pub fn gate_input(&self, input: GateInput) {
        self.input(NodeInput::Gate(input));
    }

    /// Queues a message to another node, like [`NodeOutput::Send`].
    pub fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload) {
        self.messages.send(to, incarnation, payload);
    }

    /// Registers a call at the edge and returns the receiver of its commands.
    pub fn register_call(&self, call: CallId, service: ServiceName) -> mpsc::UnboundedReceiver<CallCommand> {
        self.lock().channels.register_call(call, service)
    }

    /// Removes a call at the edge from the registered ones.
    pub fn unregister_call(&self, call: CallId) {
        self.lock().channels.unregister_call(call);
    }

    /// Registers an attempt at the gate and returns the receiver of its commands; `None` if the same attempt is already
    /// registered.
    pub fn register_attempt(
        &self,
        attempt: AttemptId,
        service: ServiceName,
    ) -> Option<mpsc::UnboundedReceiver<AttemptCommand>> {
        self.lock().channels.register_attempt(attempt, service)
    }

    /// Removes an attempt at the gate from the registered ones.
    pub fn unregister_attempt(&self, attempt: AttemptId) {
        self.lock().channels.unregister_attempt(attempt);
    }

    /// Passes an operator's request to the decision code and returns the receiver of the reply.
    pub fn operator_request(&self, body: OperatorRequest) -> oneshot::Receiver<OperatorReply> {
        let mut state = self.lock();
        let (request, receiver) = state.channels.register_request();
        self.step(&mut state, NodeInput::Operator { request, body: Box::new(body) });
        receiver
    }

    /// The feedback that the gate sends to the edge with the answer to `attempt`.
    pub fn feedback(&self, attempt: Option<AttemptId>) -> Feedback {
        let mut state = self.lock();
        state.decisions.feedback(self.now(), attempt)
    }

    /// The context that a child call of `parent` inherits; see [`Decisions::lend_tokens`].
    pub fn lend_tokens(&self, parent: CallId, wanted: u16) -> Option<ParentContext> {
        let mut state = self.lock();
        let lent = state.decisions.lend_tokens(self.now(), parent, wanted);
        self.timer.notify_one();
        lent
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().decisions.configuration()
    }

    /// Whether the node has finished starting and accepts calls.
    pub fn is_ready(&self) -> bool {
        self.lock().decisions.is_ready()
    }

    /// The counters and gauges of the decision code.
    pub fn statistics(&self) -> Vec<Statistic> {
        self.lock().decisions.statistics()
    }

    /// The calls at the edge and the attempts at the gate that have not ended.
    pub fn active_requests(&self) -> Vec<ActiveRequest> {
        self.lock().channels.active_requests()
    }

    /// Returns a receiver whose value becomes true when the decision code is ready for the process to exit.
    pub fn ready_to_exit(&self) -> watch::Receiver<bool> {
        self.ready_to_exit.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Ignores poisoning: a panic in the step of one call must not stop the whole node.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, state: &mut State, input: NodeInput) {
        let State { decisions, channels, outputs } = state;
        let scheduled = decisions.next_wake();
        decisions.step(self.now(), input, outputs);
        for output in outputs.drain(..) {
            self.deliver(channels, output);
        }
        if decisions.next_wake() != scheduled {
            self.timer.notify_one();
        }
    }

    fn deliver(&self, channels: &mut TaskChannels, output: NodeOutput) {
        match output {
            NodeOutput::Edge(output) => deliver_to_call(channels, output),
            NodeOutput::Gate(output) => deliver_to_attempt(channels, output),
            NodeOutput::Send { to, incarnation, payload } => self.messages.send(to, incarnation, payload),
            NodeOutput::Operator { request, reply } => channels.reply(request, *reply),
            NodeOutput::Event(event) => self.handle_event(&event),
            NodeOutput::Ready => log::info!("the node takes calls"),
            NodeOutput::ReadyToExit => {
                self.ready_to_exit.send_replace(true);
            }
        }
    }

    fn handle_event(&self, event: &NodeEvent) {
        log::info!(target: "quillhatch::state", "{event}");
        if let NodeEvent::Control(ControlEvent::ConfigurationAccepted { revision }) = event {
            self.messages.set_revision(*revision);
        }
    }
}

fn deliver_to_call(channels: &mut TaskChannels, output: EdgeOutput) {
    match output {
        EdgeOutput::Send { target, context } => {
            let call = context.call;
            channels.send_to_call(call, CallCommand::Send { target, context, range: None });
        }
        EdgeOutput::Resume { target, context, offset, validator } => {
            let call = context.call;
            let range = Some(RangeRequest { offset, validator });
            channels.send_to_call(call, CallCommand::Send { target, context, range });
        }
        EdgeOutput::CancelAttempt { attempt } => channels.send_to_call(attempt.call, CallCommand::Cancel(attempt)),
        EdgeOutput::Finish { call, answer } => channels.send_to_call(call, CallCommand::Finish(answer)),
        EdgeOutput::AbortStream { call } => channels.send_to_call(call, CallCommand::BreakOff),
        // The decision code handles these outputs itself.
        EdgeOutput::ReturnTokens { .. } | EdgeOutput::FetchTable { .. } => {}
    }
}

fn deliver_to_attempt(channels: &mut TaskChannels, output: GateOutput) {
    match output {
        GateOutput::Dispatch { attempt, remaining } => {
            channels.send_to_attempt(attempt, AttemptCommand::Dispatch { remaining });
        }
        GateOutput::Refuse { attempt, refusal, feedback } => {
            channels.send_to_attempt(attempt, AttemptCommand::Refuse { refusal, feedback });
        }
        GateOutput::Replay { attempt, answer, feedback } => {
            channels.send_to_attempt(attempt, AttemptCommand::Replay { answer, feedback });
        }
        GateOutput::CancelDispatched { attempt } => channels.send_to_attempt(attempt, AttemptCommand::Cancel),
        // The decision code handles these outputs itself.
        GateOutput::RequestClaim(_)
        | GateOutput::ClaimFinished { .. }
        | GateOutput::ClaimReleased { .. }
        | GateOutput::Idle => {}
    }
}

impl std::fmt::Debug for Driver {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Driver").field("now", &self.now()).finish_non_exhaustive()
    }
}

/// A sink that discards every message, for nodes and tests without peers.
#[derive(Clone, Copy, Debug)]
pub struct NullMessageSink;

impl MessageSink for NullMessageSink {
    fn send(&self, _to: NodeAddress, _incarnation: Option<Incarnation>, _payload: Payload) {}
}

/// The number of the first operator request.
const FIRST_REQUEST: RequestNumber = RequestNumber(1);
