//! The event loop around hollow nodes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Sub;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_control::io::{Machine, MachineStatus, PlatformReading};
use quillhatch_messages::{FleetKey, FleetKeys, FrameOpener, FrameSealer, KeyId, NEWEST_VERSION};
use quillhatch_node::{Node, NodeInput, NodeOptions, NodeOutput};
use quillhatch_types::{Configuration, DeploymentName, Incarnation, NodeAddress, NodeId, Revision, Timestamp};

use super::deployment::{configuration, places, HollowPlace, DEPLOYMENT};
use super::HollowError;

/// One-way latency of every message.
const LATENCY: Duration = Duration::from_micros(500);

/// How often every node reads the platform.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);

const SECRET: [u8; 32] = [0x5a; 32];

/// The first start of a node; nodes start one after the other within the platform's interval.
const FIRST_START: Timestamp = Timestamp(1_000_000);

/// Frames and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames sent.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Sub for Traffic {
    type Output = Traffic;

    fn sub(self, earlier: Traffic) -> Traffic {
        Traffic { frames: self.frames - earlier.frames, bytes: self.bytes - earlier.bytes }
    }
}

enum Event {
    Wake,
    ReadPlatform,
    Frame(Vec<u8>),
    ChangeConfiguration,
}

struct HollowNode {
    node: Node,
    sealer: FrameSealer,
    opener: FrameOpener,
    /// When it is woken next, so that it is not woken twice.
    wake: Option<Timestamp>,
    /// The revision that it read last; the platform answers "unchanged" to the same again.
    read: Option<Revision>,
}

/// When an event happens, and its place among events of the same time.
type Due = (Timestamp, u64);

/// Nodes on a virtual clock.
pub struct HollowFleet {
    nodes: Vec<HollowNode>,
    by_address: BTreeMap<NodeAddress, usize>,
    places: Vec<HollowPlace>,
    machines: Vec<Machine>,
    configuration: Arc<Configuration>,
    document_bytes: usize,
    agenda: BinaryHeap<Reverse<(Due, usize)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    now: Timestamp,
    traffic: Traffic,
    outputs: Vec<NodeOutput>,
}

impl HollowFleet {
    /// A fleet of `count` nodes that have not started yet.
    pub fn new(count: usize) -> Result<Self, HollowError> {
        let places = places(count)?;
        let (configuration, document_bytes) = configuration(&places, 1)?;
        let key = FleetKey { id: KeyId(1), secret: SECRET.to_vec() };
        let keys = FleetKeys::new(vec![key], KeyId(1))?;
        let deployment = DeploymentName::new(DEPLOYMENT)?;
        let nodes = places.iter().enumerate().map(|(number, place)| hollow_node(number, place, &deployment, &keys));
        let machine = |place: &HollowPlace| Machine { address: place.address, status: MachineStatus::Live };
        let mut fleet = HollowFleet {
            nodes: nodes.collect(),
            by_address: places.iter().enumerate().map(|(number, place)| (place.address, number)).collect(),
            machines: places.iter().map(machine).collect(),
            places,
            configuration: Arc::new(configuration),
            document_bytes,
            agenda: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: FIRST_START,
            traffic: Traffic::default(),
            outputs: Vec::new(),
        };
        for number in 0..count {
            let start = FIRST_START + PLATFORM_INTERVAL.mul_f64(number as f64 / count as f64);
            fleet.schedule(start, number, Event::ReadPlatform);
        }
        Ok(fleet)
    }

    /// What all nodes have sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// The number of nodes that do not take calls.
    pub fn not_ready(&self) -> usize {
        self.nodes.iter().filter(|node| !node.node.is_ready()).count()
    }

    /// The length of the configuration document in bytes.
    pub fn document_bytes(&self) -> usize {
        self.document_bytes
    }

    /// Lets the platform have a new revision after `delay`.
    pub fn change_configuration_after(&mut self, delay: Duration) {
        self.schedule(self.now + delay, 0, Event::ChangeConfiguration);
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse(((at, _), _))) = self.agenda.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse(((at, event), node))) = self.agenda.pop() else { break };
            let Some(event) = self.events.remove(&event) else { continue };
            self.now = at;
            self.handle(node, event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Timestamp, node: usize, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.insert(number, event);
        self.agenda.push(Reverse(((at, number), node)));
    }

    fn handle(&mut self, number: usize, event: Event) {
        match event {
            Event::Wake => {
                // A wake-up that an earlier one has replaced.
                if self.nodes[number].wake != Some(self.now) {
                    return;
                }
                self.nodes[number].wake = None;
                self.step(number, NodeInput::Tick);
            }
            Event::ReadPlatform => {
                self.schedule(self.now + PLATFORM_INTERVAL, number, Event::ReadPlatform);
                let revision = Some(self.configuration.revision);
                let changed = self.nodes[number].read != revision;
                self.nodes[number].read = revision;
                let configuration = changed.then(|| Arc::clone(&self.configuration));
                let reading = PlatformReading { configuration, machines: self.machines.clone() };
                self.step(number, NodeInput::Platform(reading));
            }
            Event::Frame(bytes) => {
                let Ok(opened) = self.nodes[number].opener.open(&bytes) else { return };
                let (from, revision, payload) = (opened.sender, opened.revision, opened.payload);
                self.step(number, NodeInput::Message { from, revision, payload });
            }
            Event::ChangeConfiguration => {
                let revision = self.configuration.revision.0 + 1;
                // The first revision was accepted, and the next differs in one number.
                if let Ok((configuration, bytes)) = configuration(&self.places, revision) {
                    self.configuration = Arc::new(configuration);
                    self.document_bytes = bytes;
                }
            }
        }
    }

    fn step(&mut self, number: usize, input: NodeInput) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.nodes[number].node.step(self.now, input, &mut outputs);
        for output in outputs.drain(..) {
            if let NodeOutput::Send { to, incarnation, payload } = output {
                self.send(number, to, incarnation, payload);
            }
        }
        self.outputs = outputs;
        self.schedule_wake(number);
    }

    fn send(
        &mut self,
        number: usize,
        to: NodeAddress,
        incarnation: Option<Incarnation>,
        payload: quillhatch_messages::Payload,
    ) {
        let sender = &mut self.nodes[number];
        let revision = sender.node.configuration().map_or(Revision(0), |configuration| configuration.revision);
        let sealed = sender.sealer.seal(to, incarnation, payload, revision, Some(NEWEST_VERSION));
        let Ok(frame) = sealed else { return };
        self.traffic.frames += 1;
        self.traffic.bytes += frame.len() as u64;
        if let Some(&receiver) = self.by_address.get(&to) {
            self.schedule(self.now + LATENCY, receiver, Event::Frame(frame));
        }
    }

    fn schedule_wake(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(wanted) = node.node.next_wake() else { return };
        let wanted = wanted.max(self.now + Duration::from_micros(1));
        if node.wake.is_some_and(|wake| wake <= wanted) {
            return;
        }
        node.wake = Some(wanted);
        self.schedule(wanted, number, Event::Wake);
    }
}

fn hollow_node(number: usize, place: &HollowPlace, deployment: &DeploymentName, keys: &FleetKeys) -> HollowNode {
    let node = NodeId { address: place.address, incarnation: Incarnation(number as u64 + 1) };
    let options =
        NodeOptions::new(node, place.site.clone(), place.zone.clone(), deployment.clone(), place.service.clone());
    HollowNode {
        node: Node::new(options, number as u64),
        sealer: FrameSealer::new(node, deployment.clone(), keys.clone()),
        opener: FrameOpener::new(node, deployment.clone(), keys.clone()),
        wake: None,
        read: None,
    }
}
