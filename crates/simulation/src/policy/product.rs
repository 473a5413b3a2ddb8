//! The product: a [`Node`] behind the seam, driven as the program drives it.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_calls::edge::io::{Answer, EdgeInput, EdgeOutput};
use quillhatch_calls::gate::io::{GateInput, GateOutput};
use quillhatch_control::io::{ControlEvent, Machine, MachineStatus, PlatformReading, RequestNumber};
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest};
use quillhatch_messages::Payload;
use quillhatch_node::{Node, NodeEvent, NodeInput, NodeMechanisms, NodeOptions, NodeOutput};
use quillhatch_types::{
    AttemptId, CallId, DeploymentName, Feedback, Incarnation, NodeId, ParentContext, Refusal, RefusalReason, Revision,
    SiteName, Timestamp,
};

use super::{HostInput, HostOutput, ListedAs, NodeStart, OperatorAction, OperatorResult, PlatformView, Policy};

/// Tokens asked for a child call; the edge takes no more than its class allows.
const TOKENS_WANTED: u16 = 3;

/// A message between two nodes with what the frame around it says.
struct NodeMessage {
    /// The run that is meant; any run if absent.
    incarnation: Option<Incarnation>,
    /// The configuration revision of the sender.
    revision: Revision,
    payload: Payload,
}

/// A node of the product.
pub struct Product {
    identity: NodeId,
    site: SiteName,
    node: Node,
    /// Operators' actions whose plan was asked for or confirmed.
    actions: BTreeMap<RequestNumber, u64>,
    leads: bool,
    /// Whether cancellations are swallowed, to show what they are for.
    without_cancellation: bool,
    node_outputs: Vec<NodeOutput>,
}

impl Product {
    /// A node that has just started.
    pub fn new(start: NodeStart, deployment: DeploymentName, mechanisms: NodeMechanisms, cancellation: bool) -> Self {
        let mut options = NodeOptions::new(start.node, start.site.clone(), start.zone, deployment, start.service);
        options.seeds = start.seeds;
        options.mechanisms = mechanisms;
        Product {
            identity: start.node,
            site: start.site,
            node: Node::new(options, start.seed),
            actions: BTreeMap::new(),
            leads: false,
            without_cancellation: !cancellation,
            node_outputs: Vec::new(),
        }
    }

    fn revision(&self) -> Revision {
        self.node.configuration().map_or(Revision::default(), |configuration| configuration.revision)
    }

    /// The node's input, or the program's own answer where it does not ask the node.
    fn translate(&mut self, input: HostInput, outputs: &mut Vec<HostOutput>) -> Option<NodeInput> {
        match input {
            HostInput::Edge(EdgeInput::Arrived(arrival)) if self.node.configuration().is_none() => {
                // Without a configuration the program cannot tell the service and the class of a request.
                let answer = Answer::Refuse(Refusal::not_run(RefusalReason::NotReady));
                outputs.push(HostOutput::Edge(EdgeOutput::Finish { call: arrival.call, answer }));
                None
            }
            HostInput::Edge(EdgeInput::CallerDisconnected { .. }) if self.without_cancellation => None,
            HostInput::Gate(GateInput::Cancelled { .. }) if self.without_cancellation => None,
            HostInput::Edge(input) => Some(NodeInput::Edge(input)),
            HostInput::Gate(input) => Some(NodeInput::Gate(input)),
            HostInput::Platform(view) => Some(NodeInput::Platform(reading(view))),
            HostInput::Operator { number, action } => Some(self.plan(number, action)),
            HostInput::Message { from, message } => self.receive(from, &message),
            HostInput::Stop { grace } => Some(NodeInput::Stop { grace }),
            HostInput::Tick => Some(NodeInput::Tick),
        }
    }

    fn receive(&self, from: NodeId, message: &super::PeerMessage) -> Option<NodeInput> {
        let message = message.downcast_ref::<NodeMessage>()?;
        let for_this_run = message.incarnation.is_none_or(|meant| meant == self.identity.incarnation);
        for_this_run.then(|| NodeInput::Message { from, revision: message.revision, payload: message.payload.clone() })
    }

    /// Asks for the plan of an action.
    fn plan(&mut self, number: u64, action: OperatorAction) -> NodeInput {
        let intent = match action {
            OperatorAction::MoveShare { service, destination, percent } => {
                Intent::MoveShare { service, from: self.site.clone(), to: destination, percent: u32::from(percent) }
            }
            OperatorAction::Retire { node, .. } => Intent::Retire { target: node },
        };
        self.ask(number, OperatorRequest::Plan { intent })
    }

    fn ask(&mut self, number: u64, body: OperatorRequest) -> NodeInput {
        let next = self.actions.keys().next_back().map_or(1, |last| last.0 + 1);
        let request = RequestNumber(next);
        self.actions.insert(request, number);
        NodeInput::Operator { request, body: Box::new(body) }
    }

    /// Takes the answer to an operator's request; a plan is confirmed at once.
    fn replied(
        &mut self,
        request: RequestNumber,
        reply: OperatorReply,
        outputs: &mut Vec<HostOutput>,
    ) -> Option<NodeInput> {
        let number = *self.actions.get(&request)?;
        let result = match reply {
            OperatorReply::Planned { plan } => {
                return Some(self.ask(number, OperatorRequest::Confirm { plan: plan.id }))
            }
            OperatorReply::Confirmed { .. } => OperatorResult::Confirmed,
            OperatorReply::Undecided { problem } => OperatorResult::Refused(problem),
            OperatorReply::Refused { findings } => OperatorResult::Refused(findings.to_string().trim_end().to_owned()),
            _ => OperatorResult::Refused("an answer to another question".to_owned()),
        };
        outputs.push(HostOutput::Operator { number, result });
        None
    }

    fn note(&mut self, event: &NodeEvent, outputs: &mut Vec<HostOutput>) {
        match event {
            NodeEvent::Control(ControlEvent::Leadership { leading, .. }) => self.leads = *leading,
            // Every node of a fleet reports these; the report would hold little else.
            NodeEvent::Control(ControlEvent::TableChanged { .. } | ControlEvent::ConfigurationAccepted { .. })
            | NodeEvent::Member { .. } => return,
            _ => {}
        }
        outputs.push(HostOutput::Event(event.to_string()));
    }

    /// Hands one input to the node; returns what the program asks it next.
    fn step_node(&mut self, now: Timestamp, input: NodeInput, outputs: &mut Vec<HostOutput>) -> Vec<NodeInput> {
        let mut node_outputs = std::mem::take(&mut self.node_outputs);
        self.node.step(now, input, &mut node_outputs);
        let mut follow_ups = Vec::new();
        for output in node_outputs.drain(..) {
            match output {
                NodeOutput::Edge(EdgeOutput::CancelAttempt { .. })
                | NodeOutput::Gate(GateOutput::CancelDispatched { .. })
                    if self.without_cancellation => {}
                NodeOutput::Edge(output) => outputs.push(HostOutput::Edge(output)),
                NodeOutput::Gate(output) => outputs.push(HostOutput::Gate(output)),
                NodeOutput::Send { to, incarnation, payload } => {
                    let message = NodeMessage { incarnation, revision: self.revision(), payload };
                    outputs.push(HostOutput::Send { to, message: Arc::new(message) });
                }
                NodeOutput::Operator { request, reply } => follow_ups.extend(self.replied(request, *reply, outputs)),
                NodeOutput::Event(event) => self.note(&event, outputs),
                NodeOutput::Ready => {}
                NodeOutput::ReadyToExit => outputs.push(HostOutput::ReadyToExit),
            }
        }
        self.node_outputs = node_outputs;
        follow_ups
    }
}

fn reading(view: PlatformView) -> PlatformReading {
    let machines = view.machines.into_iter().map(|(address, listed)| {
        let status = match listed {
            ListedAs::Live => MachineStatus::Live,
            ListedAs::Leaving => MachineStatus::Leaving,
        };
        Machine { address, status }
    });
    PlatformReading { configuration: view.configuration, machines: machines.collect() }
}

impl Policy for Product {
    fn step(&mut self, now: Timestamp, input: HostInput, outputs: &mut Vec<HostOutput>) {
        let mut inputs: Vec<NodeInput> = self.translate(input, outputs).into_iter().collect();
        while let Some(input) = inputs.pop() {
            inputs.extend(self.step_node(now, input, outputs));
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.node.next_wake()
    }

    fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Option<Feedback> {
        Some(self.node.feedback(now, attempt))
    }

    fn lend_tokens(&mut self, now: Timestamp, parent: CallId) -> Option<ParentContext> {
        self.node.lend_tokens(now, parent, TOKENS_WANTED)
    }

    fn leads_group(&self) -> bool {
        self.leads
    }
}
