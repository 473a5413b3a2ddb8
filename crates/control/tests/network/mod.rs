//! Control nodes of two sites on a virtual clock, with a network that loses, delays and cuts, and with stand-ins for
//! claim owners, back ends and callers that record what ran.
#![allow(dead_code)]

mod claims;
pub mod fixtures;
mod observers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_control::io::{ControlEvent, Machine, MachineStatus, MemberChange, PlatformReading, RequestNumber};
use quillhatch_control::message::ControlMessage;
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_control::{ControlInput, ControlMechanisms, ControlNode, ControlOutput, ControlPayload};
use quillhatch_messages::PayloadKind;
use quillhatch_types::{
    Configuration, Incarnation, NodeAddress, NodeId, RefusalReason, ServiceTable, SiteName, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use claims::{ClaimStandIn, SiteClaims};
use fixtures::{settings, Place};

const STEP: Duration = Duration::from_millis(5);

pub struct SimulatedNode {
    pub control: ControlNode,
    pub id: NodeId,
    pub place: Place,
    pub tables: BTreeMap<SiteName, Arc<ServiceTable>>,
    pub configuration: Option<Arc<Configuration>>,
    pub gate_open: bool,
    pub closed_for: Option<RefusalReason>,
    pub ready_at: Option<Timestamp>,
    pub exit_at: Option<Timestamp>,
    pub paused: bool,
    pub events: Vec<ControlEvent>,
    pub owner: ClaimStandIn,
    backlog: Vec<(NodeId, Vec<u8>, PayloadKind)>,
    platform: Option<Arc<Configuration>>,
}

#[derive(Clone)]
struct Flight {
    from: NodeId,
    to: NodeId,
    kind: PayloadKind,
    bytes: Vec<u8>,
}

pub struct Network {
    pub now: Timestamp,
    pub random: Pcg64,
    pub nodes: BTreeMap<NodeAddress, SimulatedNode>,
    pub loss: f64,
    pub duplicates: f64,
    pub cuts: Vec<(BTreeSet<NodeAddress>, BTreeSet<NodeAddress>)>,
    pub platform: Arc<Configuration>,
    pub leaving: BTreeSet<NodeAddress>,
    pub replies: BTreeMap<RequestNumber, OperatorReply>,
    pub runs: BTreeMap<u64, u32>,
    pub runs_by_site: BTreeMap<SiteName, u32>,
    pub overlapping_owners: u32,
    pub bytes_sent: u64,
    pub largest_payload: usize,
    pub mechanisms: ControlMechanisms,
    calls: u64,
    flights: BTreeMap<(Timestamp, u64), Flight>,
    sites: BTreeMap<SiteName, SiteClaims>,
    sequence: u64,
    requests: u64,
    last_reading: Timestamp,
}

impl Network {
    pub fn new(seed: u64, configuration: Configuration, mechanisms: ControlMechanisms) -> Self {
        let mut network = Network {
            now: Timestamp::from_millis(1),
            random: Pcg64::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            loss: 0.0,
            duplicates: 0.0,
            cuts: Vec::new(),
            platform: Arc::new(configuration),
            leaving: BTreeSet::new(),
            replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            runs_by_site: BTreeMap::new(),
            overlapping_owners: 0,
            bytes_sent: 0,
            largest_payload: 0,
            mechanisms,
            calls: 0,
            flights: BTreeMap::new(),
            sites: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            last_reading: Timestamp::ZERO,
        };
        for place in fixtures::places() {
            network.start(&place);
        }
        network
    }

    /// A network whose groups are founded and whose gates all serve.
    pub fn settled(seed: u64, mechanisms: ControlMechanisms) -> Self {
        let mut network = Network::new(seed, fixtures::configuration(1), mechanisms);
        let done = network.run_until(Duration::from_secs(10), |network| network.is_settled());
        assert!(done, "the groups were not founded");
        network.run(Duration::from_secs(1));
        network
    }

    pub fn is_settled(&self) -> bool {
        self.nodes.values().filter(|node| node.place.is_gate()).all(|node| {
            let table = node.tables.get(&node.place.site);
            node.gate_open && table.is_some_and(|table| table.gates.len() == 3 && table.previous_voters.is_empty())
        })
    }

    /// Starts a fresh run of a node; whatever ran at the address before is gone.
    pub fn start(&mut self, place: &Place) {
        let id = NodeId { address: place.address, incarnation: Incarnation(self.random.gen()) };
        let control = ControlNode::new(settings(id, place, self.mechanisms), self.random.gen());
        let node = SimulatedNode {
            control,
            id,
            place: place.clone(),
            tables: BTreeMap::new(),
            configuration: None,
            gate_open: false,
            closed_for: None,
            ready_at: None,
            exit_at: None,
            paused: false,
            events: Vec::new(),
            owner: ClaimStandIn::default(),
            backlog: Vec::new(),
            platform: None,
        };
        self.nodes.insert(place.address, node);
        self.read_platform(place.address);
    }

    pub fn crash(&mut self, address: NodeAddress) -> Place {
        self.nodes.remove(&address).map(|node| node.place).expect("the node runs")
    }

    pub fn serve_stale(&mut self, address: NodeAddress, configuration: Configuration) {
        self.nodes.get_mut(&address).expect("the node runs").platform = Some(Arc::new(configuration));
        self.read_platform(address);
    }

    pub fn read_platform(&mut self, address: NodeAddress) {
        let status = |address: &NodeAddress| match self.leaving.contains(address) {
            true => MachineStatus::Leaving,
            false => MachineStatus::Live,
        };
        let all = fixtures::places();
        let machines = all.iter().map(|place| Machine { address: place.address, status: status(&place.address) });
        let own = self.nodes.get(&address).and_then(|node| node.platform.clone());
        let configuration = Some(own.unwrap_or_else(|| self.platform.clone()));
        let reading = PlatformReading { configuration, machines: machines.collect() };
        self.feed(address, ControlInput::Platform(reading));
    }

    pub fn member(&mut self, change: MemberChange) {
        let addresses: Vec<NodeAddress> = self.nodes.keys().copied().collect();
        for address in addresses.into_iter().filter(|address| *address != change.node.address) {
            self.feed(address, ControlInput::Member(change.clone()));
        }
    }

    pub fn cut(&mut self, one: impl IntoIterator<Item = NodeAddress>, other: impl IntoIterator<Item = NodeAddress>) {
        self.cuts.push((one.into_iter().collect(), other.into_iter().collect()));
    }

    pub fn is_cut(&self, from: NodeAddress, to: NodeAddress) -> bool {
        let crosses = |(one, other): &(BTreeSet<NodeAddress>, BTreeSet<NodeAddress>)| {
            (one.contains(&from) && other.contains(&to)) || (one.contains(&to) && other.contains(&from))
        };
        self.cuts.iter().any(crosses)
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until `done`, at most for `span`; says whether it was done.
    pub fn run_until(&mut self, span: Duration, done: impl Fn(&Network) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.now = self.now + STEP;
            self.deliver_due();
            self.tick_due();
            for _ in 0..observers::CALLS_PER_STEP {
                self.call_somewhere();
            }
            self.count_overlaps();
            if self.now.since(self.last_reading) > Duration::from_secs(3) {
                self.last_reading = self.now;
                let addresses: Vec<NodeAddress> = self.nodes.keys().copied().collect();
                addresses.into_iter().for_each(|address| self.read_platform(address));
            }
        }
        done(self)
    }

    fn tick_due(&mut self) {
        let due = |node: &&SimulatedNode| !node.paused && node.control.next_wake().is_some_and(|at| at <= self.now);
        let addresses: Vec<NodeAddress> = self.nodes.values().filter(due).map(|node| node.id.address).collect();
        for address in addresses {
            self.feed(address, ControlInput::Tick);
        }
    }

    pub fn feed(&mut self, address: NodeAddress, input: ControlInput) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        let mut outputs = Vec::new();
        node.control.step(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(address, output);
        }
    }

    fn carry_out(&mut self, address: NodeAddress, output: ControlOutput) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        let claims = self.sites.entry(node.place.site.clone()).or_default();
        match output {
            ControlOutput::Send { to, payload } => self.send(address, to, &payload),
            ControlOutput::Operator { request, reply } => {
                let doubled = self.replies.insert(request, *reply).is_some();
                assert!(!doubled, "an operator was answered twice");
            }
            ControlOutput::Table(table) => {
                node.tables.insert(table.site.clone(), table.clone());
                if table.site == node.place.site {
                    let settled = node.owner.on_table(node.id, &table, claims);
                    settled.into_iter().for_each(|input| self.feed(address, input));
                }
            }
            ControlOutput::Configuration(configuration) => node.configuration = Some(configuration),
            ControlOutput::Lease { until, .. } => node.owner.lease = Some(until),
            ControlOutput::CloseGate { reason } => {
                node.gate_open = false;
                node.closed_for = Some(reason);
                self.feed(address, ControlInput::GateIdle);
            }
            ControlOutput::OpenGate => node.gate_open = true,
            ControlOutput::ExportSlot { service, slot, epoch } => {
                let site = &node.place.site;
                let exported = node.owner.export(node.tables.get(site), slot, epoch, claims);
                if let Some(claims) = exported {
                    self.feed(address, ControlInput::SlotExported { service, slot, epoch, claims });
                }
            }
            ControlOutput::ImportSlot { service, slot, epoch, claims: imported } => {
                if node.owner.import(slot, epoch, &imported, claims) {
                    self.feed(address, ControlInput::SlotImported { service, slot, epoch });
                }
            }
            ControlOutput::Ready => node.ready_at = Some(now),
            ControlOutput::ReadyToExit => node.exit_at = Some(now),
            ControlOutput::Event(event) => node.events.push(event),
        }
    }

    fn send(&mut self, from: NodeAddress, to: quillhatch_control::io::Recipient, payload: &ControlPayload) {
        let encoded = payload.encode();
        self.bytes_sent += encoded.bytes.len() as u64;
        self.largest_payload = self.largest_payload.max(encoded.bytes.len());
        let lost = self.random.gen_bool(self.loss);
        if lost || self.is_cut(from, to.address()) {
            return;
        }
        let delay = Duration::from_micros(self.random.gen_range(300..12_000));
        let receiver = match to {
            quillhatch_control::io::Recipient::Run(node) => node,
            quillhatch_control::io::Recipient::Address(address) => NodeId { address, incarnation: Incarnation(0) },
        };
        let Some(sender) = self.nodes.get(&from).map(|node| node.id) else {
            return;
        };
        let flight = Flight { from: sender, to: receiver, kind: encoded.kind, bytes: encoded.bytes };
        if self.random.gen_bool(self.duplicates) {
            let late = Duration::from_millis(self.random.gen_range(10..8_000));
            self.launch(late, flight.clone());
        }
        self.launch(delay, flight);
    }

    fn launch(&mut self, delay: Duration, flight: Flight) {
        self.sequence += 1;
        self.flights.insert((self.now + delay, self.sequence), flight);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.flights.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let flight = entry.remove();
            let Some(node) = self.nodes.get_mut(&flight.to.address) else {
                continue;
            };
            if flight.to.incarnation.0 != 0 && flight.to != node.id {
                continue;
            }
            if node.paused {
                node.backlog.push((flight.from, flight.bytes, flight.kind));
                continue;
            }
            self.hand_over(flight.to.address, flight.from, &flight.bytes, flight.kind);
        }
    }

    fn hand_over(&mut self, to: NodeAddress, from: NodeId, bytes: &[u8], kind: PayloadKind) {
        if let Some(revision) = self.nodes.get(&from.address).map(|node| node.control.revision()) {
            self.feed(to, ControlInput::PeerRevision { from, revision });
        }
        let input = match kind {
            PayloadKind::Group => {
                let frame = quillhatch_control::io::GroupFrame::decode(bytes).expect("own bytes decode");
                ControlInput::Group { from, frame: Box::new(frame) }
            }
            _ => {
                let message = ControlMessage::decode(bytes).expect("own bytes decode");
                ControlInput::Message { from, message: Box::new(message) }
            }
        };
        self.feed(to, input);
    }

    pub fn resume(&mut self, address: NodeAddress) {
        let node = self.nodes.get_mut(&address).expect("the node runs");
        node.paused = false;
        for (from, bytes, kind) in std::mem::take(&mut node.backlog) {
            self.hand_over(address, from, &bytes, kind);
        }
    }

    pub fn ask(&mut self, address: NodeAddress, body: OperatorRequest) -> RequestNumber {
        self.requests += 1;
        let request = RequestNumber(self.requests);
        self.feed(address, ControlInput::Operator { request, body: Box::new(body) });
        request
    }

    /// Asks and waits for the reply.
    pub fn operator(&mut self, address: NodeAddress, body: OperatorRequest) -> OperatorReply {
        let request = self.ask(address, body);
        self.run_until(Duration::from_secs(10), |network| network.replies.contains_key(&request));
        self.replies.get(&request).cloned().expect("every request is answered")
    }
}
