//! An in-process network of membership state machines on a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quillhatch_membership::{
    MemberInfo, MemberStatus, Membership, MembershipInput, MembershipMessage, MembershipOutput, MembershipSettings,
    ZoneId,
};
use quillhatch_types::{Incarnation, NodeAddress, NodeId, SiteName, Timestamp, ZoneName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The delivery delay of a message.
const LATENCY: Duration = Duration::from_millis(1);

/// A status change reported by a node.
pub struct Report {
    pub at: Timestamp,
    pub observer: NodeAddress,
    pub subject: NodeId,
    pub status: MemberStatus,
}

/// The state machines, the messages in flight, and the status changes reported by the nodes.
pub struct Network {
    pub now: Timestamp,
    pub nodes: BTreeMap<NodeAddress, Membership>,
    pub paused: BTreeSet<NodeAddress>,
    pub partitioned_zones: BTreeSet<(ZoneId, ZoneId)>,
    pub broken_links: BTreeSet<(NodeAddress, NodeAddress)>,
    pub loss: f64,
    pub reports: Vec<Report>,
    pub sent_bytes: BTreeMap<NodeAddress, usize>,
    zones: BTreeMap<NodeAddress, ZoneId>,
    in_flight: BTreeMap<(Timestamp, u64), (NodeAddress, Box<MembershipMessage>)>,
    messages_sent: u64,
    generator: Pcg64,
    settings: MembershipSettings,
    seeds: Vec<NodeAddress>,
}

pub fn address(port: u16) -> NodeAddress {
    NodeAddress(([127, 0, 0, 1], port).into())
}

pub fn zone(site: &str, name: &str) -> ZoneId {
    ZoneId { site: SiteName::new(site).unwrap(), zone: ZoneName::new(name).unwrap() }
}

impl Network {
    /// Starts `per_zone` nodes in each zone. Every node has the first two addresses as seeds.
    pub fn new(zones: &[ZoneId], per_zone: u16, settings: MembershipSettings, seed: u64) -> Self {
        let mut network = Network {
            now: Timestamp::ZERO,
            nodes: BTreeMap::new(),
            paused: BTreeSet::new(),
            partitioned_zones: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            loss: 0.0,
            reports: Vec::new(),
            sent_bytes: BTreeMap::new(),
            zones: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            generator: Pcg64::seed_from_u64(seed),
            settings,
            seeds: vec![address(1), address(2)],
        };
        let mut port = 1;
        for zone in zones {
            for _ in 0..per_zone {
                network.start(address(port), zone.clone(), u64::from(port));
                port += 1;
            }
        }
        network
    }

    pub fn start(&mut self, address: NodeAddress, zone: ZoneId, incarnation: u64) {
        let node = NodeId { address, incarnation: Incarnation(incarnation) };
        let info = MemberInfo { node, zone: zone.clone(), service: None };
        let mut membership = Membership::new(info, self.settings, incarnation);
        membership.step(self.now, MembershipInput::Seeds(self.seeds.clone()), &mut Vec::new());
        self.zones.insert(address, zone);
        self.nodes.insert(address, membership);
    }

    pub fn stop(&mut self, address: NodeAddress) {
        self.nodes.remove(&address);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.tick();
            self.deliver();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Timestamp> {
        let awake = |address: &NodeAddress| !self.paused.contains(address);
        let timers = self.nodes.iter().filter(|(address, _)| awake(address)).filter_map(|(_, node)| node.next_wake());
        let deliveries = self.in_flight.iter().filter(|(_, (to, _))| awake(to)).map(|((at, _), _)| *at);
        timers.min().into_iter().chain(deliveries.min()).min()
    }

    fn deliver(&mut self) {
        let due: Vec<(Timestamp, u64)> = self
            .in_flight
            .iter()
            .take_while(|((at, _), _)| *at <= self.now)
            .filter(|(_, (to, _))| !self.paused.contains(to))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some((to, message)) = self.in_flight.remove(&key) else { continue };
            self.step(to, MembershipInput::Message(message));
        }
    }

    fn tick(&mut self) {
        let due: Vec<NodeAddress> = self
            .nodes
            .iter()
            .filter(|(address, node)| {
                !self.paused.contains(*address) && node.next_wake().is_some_and(|wake| wake <= self.now)
            })
            .map(|(address, _)| *address)
            .collect();
        for node in due {
            self.step(node, MembershipInput::Tick);
        }
    }

    pub fn step(&mut self, node: NodeAddress, input: MembershipInput) {
        let mut outputs = Vec::new();
        let Some(membership) = self.nodes.get_mut(&node) else { return };
        membership.step(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                MembershipOutput::Send { to, message } => self.send(node, to, message),
                MembershipOutput::Changed(change) => self.reports.push(Report {
                    at: self.now,
                    observer: node,
                    subject: change.member.node,
                    status: change.status,
                }),
            }
        }
    }

    fn send(&mut self, from: NodeAddress, to: NodeAddress, message: Box<MembershipMessage>) {
        let bytes = message.encode();
        *self.sent_bytes.entry(from).or_default() += bytes.len();
        let decoded = MembershipMessage::decode(&bytes).expect("an encoded message can be decoded");
        assert_eq!(decoded, *message);
        let lost = self.generator.gen_bool(self.loss) || self.is_partitioned(from, to);
        if !lost {
            self.messages_sent += 1;
            self.in_flight.insert((self.now + LATENCY, self.messages_sent), (to, message));
        }
    }

    fn is_partitioned(&self, from: NodeAddress, to: NodeAddress) -> bool {
        let (Some(from_zone), Some(to_zone)) = (self.zones.get(&from), self.zones.get(&to)) else { return true };
        let zones_partitioned =
            |left: &ZoneId, right: &ZoneId| self.partitioned_zones.contains(&(left.clone(), right.clone()));
        let link_broken = |left: NodeAddress, right: NodeAddress| self.broken_links.contains(&(left, right));
        zones_partitioned(from_zone, to_zone)
            || zones_partitioned(to_zone, from_zone)
            || link_broken(from, to)
            || link_broken(to, from)
    }

    /// The reports of `status` since `since`.
    pub fn reports_of(&self, status: MemberStatus, since: Timestamp) -> impl Iterator<Item = &Report> {
        self.reports.iter().filter(move |report| report.status == status && report.at >= since)
    }
}
