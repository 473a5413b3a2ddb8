//! A fleet of nodes with simulated back ends on a virtual clock, in one process.
//!
//! The harness records the executions at the back ends and the outcomes that callers receive.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::edge::{Answer, AttemptResult, CallArrival, EdgeInput, EdgeOutput};
use quillhatch_calls::gate::{AnswerEnd, GateInput, GateOutput};
use quillhatch_control::io::{PlatformReading, RequestNumber};
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_messages::Payload;
use quillhatch_node::{Node, NodeInput, NodeOptions, NodeOutput};
use quillhatch_settings::parse_configuration;
use quillhatch_types::hash::digest;
use quillhatch_types::{
    AttemptId, CallId, CallerName, ClassName, Configuration, Feedback, Incarnation, NodeAddress, NodeId, Refusal,
    RequestKey, Revision, RootId, ServiceName, SiteName, Timestamp, ZoneName,
};

const LATENCY: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);

enum Event {
    Input(NodeAddress, Option<Incarnation>, Box<NodeInput>),
    BackendAnswer(NodeAddress, AttemptId),
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    Completed,
    Refused(Refusal),
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: BTreeMap<NodeAddress, (NodeId, Node)>,
    pub configuration: Arc<Configuration>,
    /// The nodes whose back ends executed a call, by key and in order.
    pub executions: BTreeMap<RequestKey, Vec<NodeAddress>>,
    pub outcomes: BTreeMap<CallId, CallOutcome>,
    pub replies: BTreeMap<RequestNumber, OperatorReply>,
    pub bytes_sent: u64,
    /// Nodes that reported after a stop that they are ready to exit.
    pub exited: Vec<NodeAddress>,
    events: BTreeMap<(Timestamp, u64), Event>,
    edges_by_attempt: BTreeMap<AttemptId, NodeAddress>,
    keys_by_attempt: BTreeMap<AttemptId, RequestKey>,
    /// The last number used for a call, an operator request or a scheduled event.
    last_sequence: u64,
    next_platform_reading: Timestamp,
}

pub fn address(port: u16) -> NodeAddress {
    NodeAddress(([127, 0, 0, 1], port).into())
}

pub const EDGE: u16 = 7900;

/// The example configuration `prairie.json`.
pub fn example_configuration() -> Configuration {
    let document = include_str!("../../../../docs/examples/configuration/prairie.json");
    parse_configuration("prairie.json", document).expect("the example is valid").0
}

impl Fleet {
    pub fn new() -> Self {
        Self::with(example_configuration())
    }

    pub fn with(configuration: Configuration) -> Self {
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            nodes: BTreeMap::new(),
            configuration: Arc::new(configuration),
            executions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            replies: BTreeMap::new(),
            bytes_sent: 0,
            exited: Vec::new(),
            events: BTreeMap::new(),
            edges_by_attempt: BTreeMap::new(),
            keys_by_attempt: BTreeMap::new(),
            last_sequence: 0,
            next_platform_reading: Timestamp::ZERO,
        };
        let targets: Vec<_> = fleet
            .configuration
            .services
            .values()
            .flat_map(|service| service.targets.iter().map(|target| (service.name.clone(), target.clone())))
            .collect();
        for (service, target) in targets {
            fleet.start(target.node, target.site, target.zone, Some(service), 1);
        }
        let site = SiteName::new("old").unwrap();
        let zone = ZoneName::new("hall-a").unwrap();
        fleet.start(address(EDGE), site, zone, None, 1);
        fleet
    }

    pub fn start(
        &mut self,
        address: NodeAddress,
        site: SiteName,
        zone: ZoneName,
        service: Option<ServiceName>,
        incarnation_base: u64,
    ) {
        let incarnation = Incarnation(incarnation_base * 100_000 + u64::from(address.0.port()));
        let node = NodeId { address, incarnation };
        let options = NodeOptions::new(node, site, zone, self.configuration.deployment.clone(), service);
        self.nodes.insert(address, (node, Node::new(options, incarnation.0)));
        self.read_platform(address);
    }

    /// Stops a node and its back end without notice.
    pub fn kill(&mut self, address: NodeAddress) {
        self.nodes.remove(&address);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.next_event() <= end {
            self.now = self.now.max(self.next_event());
            self.read_platform_if_due();
            self.tick();
            self.deliver();
        }
        self.now = end;
    }

    fn next_event(&self) -> Timestamp {
        let wakes = self.nodes.values().filter_map(|(_, node)| node.next_wake());
        let delivery = self.events.keys().next().map(|(at, _)| *at);
        wakes.chain(delivery).chain([self.next_platform_reading]).min().unwrap_or(self.next_platform_reading)
    }

    fn read_platform_if_due(&mut self) {
        if self.now < self.next_platform_reading {
            return;
        }
        self.next_platform_reading = self.now + PLATFORM_INTERVAL;
        for address in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.read_platform(address);
        }
    }

    fn read_platform(&mut self, address: NodeAddress) {
        let machine = |node: &NodeAddress| quillhatch_control::io::Machine {
            address: *node,
            status: quillhatch_control::io::MachineStatus::Live,
        };
        let machines = self.nodes.keys().map(machine).collect();
        let reading = PlatformReading { configuration: Some(self.configuration.clone()), machines };
        self.step(address, NodeInput::Platform(reading));
    }

    fn tick(&mut self) {
        let due = |node: &Node| node.next_wake().is_some_and(|wake| wake <= self.now);
        let due: Vec<NodeAddress> =
            self.nodes.iter().filter(|(_, (_, node))| due(node)).map(|(address, _)| *address).collect();
        for address in due {
            self.step(address, NodeInput::Tick);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Event::Input(to, incarnation, input) => {
                    let input = *input;
                    let current = self.nodes.get(&to).map(|(node, _)| node.incarnation);
                    let is_receiver =
                        current.is_some_and(|current| incarnation.is_none_or(|addressed| addressed == current));
                    if is_receiver {
                        self.step(to, input);
                    } else if let NodeInput::Gate(GateInput::Arrived(context)) = input {
                        self.answer(context.attempt_id(), AttemptResult::ConnectFailed, None);
                    }
                }
                Event::BackendAnswer(node, attempt) => self.complete_at_backend(node, attempt),
            }
        }
    }

    fn complete_at_backend(&mut self, address: NodeAddress, attempt: AttemptId) {
        if !self.nodes.contains_key(&address) {
            self.answer(attempt, AttemptResult::Lost, None);
            return;
        }
        let started = GateInput::AnswerStarted { attempt, status: 200, length: Some(2) };
        self.step(address, NodeInput::Gate(started));
        let now = self.now;
        let feedback = self.nodes.get_mut(&address).map(|(_, node)| node.feedback(now, Some(attempt)));
        let end = AnswerEnd::Whole { status: 200, bytes: 2, record: None };
        self.step(address, NodeInput::Gate(GateInput::AnswerEnded { attempt, end }));
        self.answer(attempt, AttemptResult::Answered { status: 200 }, feedback);
    }

    fn answer(&mut self, attempt: AttemptId, result: AttemptResult, feedback: Option<Feedback>) {
        let Some(edge) = self.edges_by_attempt.get(&attempt).copied() else { return };
        let whole = matches!(result, AttemptResult::Answered { .. });
        self.schedule(edge, None, EdgeInput::AttemptAnswered { attempt, result, feedback }.into());
        if whole {
            self.schedule(edge, None, EdgeInput::BodyEnded { attempt, incomplete: None }.into());
        }
    }

    fn schedule(&mut self, to: NodeAddress, incarnation: Option<Incarnation>, input: NodeInput) {
        self.last_sequence += 1;
        self.events.insert((self.now + LATENCY, self.last_sequence), Event::Input(to, incarnation, Box::new(input)));
    }

    pub fn step(&mut self, address: NodeAddress, input: NodeInput) {
        let mut outputs = Vec::new();
        let Some((id, node)) = self.nodes.get_mut(&address) else { return };
        let id = *id;
        node.step(self.now, input, &mut outputs);
        for output in outputs {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, node: NodeId, output: NodeOutput) {
        match output {
            NodeOutput::Edge(output) => self.carry_out_edge(node, output),
            NodeOutput::Gate(output) => self.carry_out_gate(node, output),
            NodeOutput::Send { to, incarnation, payload } => self.send(node, to, incarnation, payload),
            NodeOutput::Operator { request, reply } => {
                self.replies.insert(request, *reply);
            }
            NodeOutput::ReadyToExit => self.exited.push(node.address),
            NodeOutput::Event(_) | NodeOutput::Ready => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload) {
        self.bytes_sent += payload.bytes.len() as u64;
        let revision = Revision(self.configuration.revision.0);
        self.schedule(to, incarnation, NodeInput::Message { from, revision, payload });
    }

    fn carry_out_edge(&mut self, node: NodeId, output: EdgeOutput) {
        match output {
            EdgeOutput::Send { target, context } => {
                self.edges_by_attempt.insert(context.attempt_id(), node.address);
                let incarnation = Some(target.incarnation).filter(|incarnation| incarnation.0 != 0);
                self.schedule(target.address, incarnation, GateInput::Arrived(context).into());
            }
            EdgeOutput::Finish { call, answer } => {
                let outcome = match answer {
                    Answer::Relay(_) => CallOutcome::Completed,
                    Answer::Refuse(refusal) => CallOutcome::Refused(refusal),
                };
                assert!(self.outcomes.insert(call, outcome).is_none(), "a call has one answer");
            }
            _ => {}
        }
    }

    fn carry_out_gate(&mut self, node: NodeId, output: GateOutput) {
        match output {
            GateOutput::Dispatch { attempt, .. } => {
                if let Some(key) = self.keys_by_attempt.get(&attempt) {
                    self.executions.entry(key.clone()).or_default().push(node.address);
                }
                self.last_sequence += 1;
                let answer = Event::BackendAnswer(node.address, attempt);
                self.events.insert((self.now + SERVICE_TIME, self.last_sequence), answer);
            }
            GateOutput::Refuse { attempt, refusal, feedback } => {
                self.answer(attempt, AttemptResult::Refused(refusal), Some(feedback));
            }
            GateOutput::Replay { attempt, feedback, .. } => {
                self.answer(attempt, AttemptResult::Answered { status: 200 }, Some(feedback));
            }
            _ => {}
        }
    }

    /// Sends a call from an external caller to the edge.
    pub fn call(&mut self, service: &str, class: &str, key: Option<&str>) -> CallId {
        self.last_sequence += 1;
        let call = CallId(u128::from(self.last_sequence));
        let key = key.map(|key| RequestKey::new(key).unwrap());
        let generated_key = RequestKey::new(&format!("drawn-{}", self.last_sequence)).unwrap();
        let used_key = key.clone().unwrap_or_else(|| generated_key.clone());
        for attempt in 0..16 {
            self.keys_by_attempt.insert(AttemptId { call, attempt }, used_key.clone());
        }
        let arrival = CallArrival {
            call,
            root: RootId(call.0),
            caller: CallerName::new("caller").unwrap(),
            service: ServiceName::new(service).unwrap(),
            class: ClassName::new(class).unwrap(),
            digest: key.as_ref().map(|key| digest(key.as_str().as_bytes())),
            key,
            generated_key,
            remaining: None,
            parent: None,
            outgoing: false,
            replayable_body: true,
        };
        self.step(address(EDGE), EdgeInput::Arrived(arrival).into());
        call
    }

    pub fn ask(&mut self, node: NodeAddress, request: OperatorRequest) -> OperatorReply {
        self.last_sequence += 1;
        let number = RequestNumber(self.last_sequence);
        self.step(node, NodeInput::Operator { request: number, body: Box::new(request) });
        self.run(Duration::from_secs(6));
        self.replies.remove(&number).expect("each request gets a reply")
    }

    pub fn keys_executed_twice(&self) -> usize {
        self.executions.values().filter(|executions| executions.len() > 1).count()
    }
}
