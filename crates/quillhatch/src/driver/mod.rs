//! Drives the decision code: one lock around it, a timer, and channels to the tasks that carry outputs out.
//!
//! Use [`Driver::input`] for every event. Outputs are handed on under the same lock, so that two outputs about the same
//! call always arrive in the order in which they were decided; handing on never waits.

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
use channels::Channels;

pub use channels::{ActiveRequest, AttemptCommand, CallCommand, RangeRequest};

/// Takes messages to other nodes; must not wait.
pub trait MessageSink: Send + Sync + 'static {
    /// Queues `payload` for the node at `to`.
    fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload);

    /// Tells the configuration revision now in force, which every message carries.
    fn set_revision(&self, _revision: Revision) {}
}

struct State {
    decisions: Box<dyn Decisions>,
    channels: Channels,
    outputs: Vec<NodeOutput>,
}

/// Drives the decision code of one node.
pub struct Driver {
    state: Mutex<State>,
    start: Instant,
    timer: Notify,
    ready_to_exit: watch::Sender<bool>,
    messages: Box<dyn MessageSink>,
}

impl Driver {
    /// A driver around `decisions` that hands messages to other nodes to `messages`.
    ///
    /// Run [`Driver::run_timer`] next to it.
    pub fn new(decisions: Box<dyn Decisions>, messages: Box<dyn MessageSink>) -> Arc<Self> {
        Arc::new(Driver {
            state: Mutex::new(State { decisions, channels: Channels::default(), outputs: Vec::new() }),
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

    /// Steps the decision code and hands on what it wants done.
    pub fn input(&self, input: NodeInput) {
        let mut state = self.lock();
        self.step(&mut state, input);
    }

    /// Hands an event to the edge.
    pub fn edge_input(&self, input: EdgeInput) {
        self.input(NodeInput::Edge(input));
    }

    /// Hands an event to the gate.
    pub fn gate_input(&self, input: GateInput) {
        self.input(NodeInput::Gate(input));
    }

    /// Queues a message to another node, as an output of the decision code does.
    pub fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload) {
        self.messages.send(to, incarnation, payload);
    }

    /// Registers a call of the edge; its commands arrive at the receiver.
    pub fn open_call(&self, call: CallId, service: ServiceName) -> mpsc::UnboundedReceiver<CallCommand> {
        self.lock().channels.open_call(call, service)
    }

    /// Forgets a call of the edge.
    pub fn close_call(&self, call: CallId) {
        self.lock().channels.close_call(call);
    }

    /// Registers an attempt at the gate; `None` if the same attempt is here already.
    pub fn open_attempt(
        &self,
        attempt: AttemptId,
        service: ServiceName,
    ) -> Option<mpsc::UnboundedReceiver<AttemptCommand>> {
        self.lock().channels.open_attempt(attempt, service)
    }

    /// Forgets an attempt at the gate.
    pub fn close_attempt(&self, attempt: AttemptId) {
        self.lock().channels.close_attempt(attempt);
    }

    /// Asks the node on behalf of an operator; the reply arrives at the receiver.
    pub fn operator_request(&self, body: OperatorRequest) -> oneshot::Receiver<OperatorReply> {
        let mut state = self.lock();
        let (request, receiver) = state.channels.open_request();
        self.step(&mut state, NodeInput::Operator { request, body: Box::new(body) });
        receiver
    }

    /// What the gate tells the edge with the answer to `attempt`.
    pub fn feedback(&self, attempt: Option<AttemptId>) -> Feedback {
        let mut state = self.lock();
        state.decisions.feedback(self.now(), attempt)
    }

    /// What a call made below `parent` inherits; see [`Decisions::lend_tokens`].
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

    /// Whether the node takes calls.
    pub fn is_ready(&self) -> bool {
        self.lock().decisions.is_ready()
    }

    /// Counts and levels of the decision code.
    pub fn statistics(&self) -> Vec<Statistic> {
        self.lock().decisions.statistics()
    }

    /// The calls at the edge and the attempts at the gate that have not ended.
    pub fn active_requests(&self) -> Vec<ActiveRequest> {
        self.lock().channels.active_requests()
    }

    /// Turns true when the node has stopped.
    pub fn ready_to_exit(&self) -> watch::Receiver<bool> {
        self.ready_to_exit.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in one call's step must not take the whole node down with it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, state: &mut State, input: NodeInput) {
        let State { decisions, channels, outputs } = state;
        let scheduled = decisions.next_wake();
        decisions.step(self.now(), input, outputs);
        for output in outputs.drain(..) {
            self.carry_out(channels, output);
        }
        if decisions.next_wake() != scheduled {
            self.timer.notify_one();
        }
    }

    fn carry_out(&self, channels: &mut Channels, output: NodeOutput) {
        match output {
            NodeOutput::Edge(output) => carry_out_edge(channels, output),
            NodeOutput::Gate(output) => carry_out_gate(channels, output),
            NodeOutput::Send { to, incarnation, payload } => self.messages.send(to, incarnation, payload),
            NodeOutput::Operator { request, reply } => channels.reply(request, *reply),
            NodeOutput::Event(event) => self.event(&event),
            NodeOutput::Ready => log::info!("the node takes calls"),
            NodeOutput::ReadyToExit => {
                self.ready_to_exit.send_replace(true);
            }
        }
    }

    fn event(&self, event: &NodeEvent) {
        log::info!(target: "quillhatch::state", "{event}");
        if let NodeEvent::Control(ControlEvent::ConfigurationAccepted { revision }) = event {
            self.messages.set_revision(*revision);
        }
    }
}

fn carry_out_edge(channels: &mut Channels, output: EdgeOutput) {
    match output {
        EdgeOutput::Send { target, context } => {
            let call = context.call;
            channels.to_call(call, CallCommand::Send { target, context, range: None });
        }
        EdgeOutput::Resume { target, context, offset, validator } => {
            let call = context.call;
            let range = Some(RangeRequest { offset, validator });
            channels.to_call(call, CallCommand::Send { target, context, range });
        }
        EdgeOutput::CancelAttempt { attempt } => channels.to_call(attempt.call, CallCommand::Cancel(attempt)),
        EdgeOutput::Finish { call, answer } => channels.to_call(call, CallCommand::Finish(answer)),
        EdgeOutput::BreakOff { call } => channels.to_call(call, CallCommand::BreakOff),
        // These two are for other parts of the node and end inside the decision code.
        EdgeOutput::ReturnTokens { .. } | EdgeOutput::FetchTable { .. } => {}
    }
}

fn carry_out_gate(channels: &mut Channels, output: GateOutput) {
    match output {
        GateOutput::Dispatch { attempt, remaining } => {
            channels.to_attempt(attempt, AttemptCommand::Dispatch { remaining });
        }
        GateOutput::Refuse { attempt, refusal, feedback } => {
            channels.to_attempt(attempt, AttemptCommand::Refuse { refusal, feedback });
        }
        GateOutput::Replay { attempt, answer, feedback } => {
            channels.to_attempt(attempt, AttemptCommand::Replay { answer, feedback });
        }
        GateOutput::CancelDispatched { attempt } => channels.to_attempt(attempt, AttemptCommand::Cancel),
        // These are for other parts of the node and end inside the decision code.
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

/// Drops every message: for nodes and tests without peers.
#[derive(Clone, Copy, Debug)]
pub struct NullMessageSink;

impl MessageSink for NullMessageSink {
    fn send(&self, _to: NodeAddress, _incarnation: Option<Incarnation>, _payload: Payload) {}
}

/// The first number given to an operator's request.
const FIRST_REQUEST: RequestNumber = RequestNumber(1);
