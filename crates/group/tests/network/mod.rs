//! A simulated network of nodes with a virtual clock and a seeded generator, and a record of the outputs to the hosts.
#![allow(dead_code)] // each test file uses a different part

pub mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quillhatch_group::{
    FormRequirements, Group, GroupIdentity, GroupInput, GroupMessage, GroupOutput, GroupSettings, ProposalResult, Role,
};
use quillhatch_types::{Epoch, Formation, Generation, Incarnation, NodeAddress, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use record::Record;

/// Maximum number of steps at one instant of the virtual clock; more mean that a node requests an immediate wake
/// forever.
const MAX_STEPS_PER_INSTANT: u32 = 10_000;

/// Probability of loss and duplication on the links, and the range of delays in microseconds.
#[derive(Clone, Debug)]
pub struct Links {
    pub loss: f64,
    pub duplication: f64,
    pub delay: std::ops::Range<u64>,
}

impl Default for Links {
    fn default() -> Self {
        Self { loss: 0.0, duplication: 0.0, delay: 500..1_500 }
    }
}

pub struct Machine {
    pub address: NodeAddress,
    pub group: Option<Group>,
    pub paused_until: Option<Timestamp>,
    pub side: usize,
    /// Commands that this run's host has applied, by index; the whole state of the test host.
    pub applied: BTreeMap<u64, Vec<u8>>,
    pub results: Vec<(u64, ProposalResult)>,
    pub leases: Vec<Timestamp>,
}

pub struct Network {
    pub now: Timestamp,
    pub machines: Vec<Machine>,
    pub links: Links,
    pub record: Record,
    pub settings: GroupSettings,
    pub requirements: FormRequirements,
    pub auto_join: bool,
    pub padding: usize,
    pub largest_message: usize,
    pub bytes_sent: u64,
    random: Pcg64,
    incarnations: u64,
    sequence: u64,
    tickets: u64,
    in_flight: BTreeMap<(Timestamp, u64), (NodeId, NodeId, Vec<u8>)>,
}

pub fn address(index: usize) -> NodeAddress {
    NodeAddress(format!("10.0.0.{}:7000", index + 1).parse().unwrap())
}

impl Network {
    pub fn new(count: usize, formation: Formation, settings: GroupSettings, seed: u64) -> Self {
        let requirements = FormRequirements {
            electorate: (0..count).map(address).collect(),
            formation,
            minimum_generation: Generation(0),
            minimum_epoch: Epoch(0),
        };
        let machines = (0..count).map(|index| Machine::empty(address(index))).collect();
        Self {
            now: Timestamp::ZERO,
            machines,
            links: Links::default(),
            record: Record::default(),
            settings,
            requirements,
            auto_join: true,
            padding: 0,
            largest_message: 0,
            bytes_sent: 0,
            random: Pcg64::seed_from_u64(seed),
            incarnations: 0,
            sequence: 0,
            tickets: 0,
            in_flight: BTreeMap::new(),
        }
    }

    /// A network in which all nodes run and have formed a group.
    pub fn formed(count: usize, settings: GroupSettings, seed: u64) -> Self {
        let mut network = Self::new(count, Formation::New, settings, seed);
        network.start_all();
        network.run_for(Duration::from_secs(3));
        assert!(network.leader().is_some(), "the group did not form");
        network
    }

    pub fn start_all(&mut self) {
        for index in 0..self.machines.len() {
            self.start(index);
        }
    }

    /// Starts or restarts a node without state.
    pub fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let node = NodeId { address: address(index), incarnation: Incarnation(self.incarnations) };
        let seed = self.random.gen();
        let machine = &mut self.machines[index];
        let side = machine.side;
        *machine = Machine {
            side,
            group: Some(Group::new(node, self.settings.clone(), seed)),
            ..Machine::empty(node.address)
        };
        let form = GroupInput::Form(self.requirements.clone());
        self.step(index, form);
    }

    pub fn kill(&mut self, index: usize) {
        self.machines[index].group = None;
    }

    pub fn pause(&mut self, index: usize, span: Duration) {
        self.machines[index].paused_until = Some(self.now + span);
    }

    pub fn split(&mut self, other_side: &[usize]) {
        for (index, machine) in self.machines.iter_mut().enumerate() {
            machine.side = usize::from(other_side.contains(&index));
        }
    }

    pub fn heal(&mut self) {
        self.split(&[]);
    }

    pub fn group(&self, index: usize) -> &Group {
        self.machines[index].group.as_ref().expect("the node runs")
    }

    /// The first node that leads and holds a lease.
    pub fn leader(&self) -> Option<usize> {
        self.leased_leaders().first().copied()
    }

    pub fn leased_leaders(&self) -> Vec<usize> {
        let leased = |machine: &Machine| {
            let running = machine.paused_until.is_none_or(|until| until <= self.now);
            running && machine.group.as_ref().is_some_and(|group| group.lease_until() > Some(self.now))
        };
        (0..self.machines.len()).filter(|index| leased(&self.machines[*index])).collect()
    }

    pub fn propose(&mut self, index: usize) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let mut command = ticket.to_le_bytes().to_vec();
        command.resize(command.len() + self.padding, 0);
        self.step(index, GroupInput::Propose { ticket, command });
        ticket
    }

    pub fn change(&mut self, index: usize, add: Option<NodeId>, remove: Option<NodeId>) -> ProposalResult {
        self.tickets += 1;
        self.step(index, GroupInput::ChangeVoters { ticket: self.tickets, add, remove });
        self.last_result(index)
    }

    pub fn last_result(&self, index: usize) -> ProposalResult {
        self.machines[index].results.last().expect("a result").1.clone()
    }

    pub fn step(&mut self, index: usize, input: GroupInput) {
        let mut outputs = Vec::new();
        let machine = &mut self.machines[index];
        let Some(group) = &mut machine.group else {
            return;
        };
        let before = group.identity();
        group.step(self.now, input, &mut outputs);
        let node = group.node();
        let identity = group.identity().or(before);
        let outcome = group.claims_lost();
        for output in outputs {
            self.execute_output(index, node, identity, outcome, output);
        }
        let leased = self.leased_leaders();
        let nodes: Vec<NodeId> = leased.iter().map(|index| self.group(*index).node()).collect();
        self.record.leases(self.now, &nodes);
    }

    fn execute_output(
        &mut self,
        index: usize,
        node: NodeId,
        identity: Option<GroupIdentity>,
        claims_lost: bool,
        output: GroupOutput,
    ) {
        let machine = &mut self.machines[index];
        match output {
            GroupOutput::Send { to, message } => self.send(node, to, &message),
            GroupOutput::Committed { index: log_index, term, command } => {
                machine.applied.insert(log_index, command.clone());
                self.record.committed(identity.expect("a member"), log_index, term, command);
            }
            GroupOutput::InstallSnapshot { index: log_index, bytes } => {
                machine.applied = record::decode_state(&bytes);
                self.record.installed(identity.expect("a member"), log_index, &machine.applied);
            }
            GroupOutput::Formed { .. } => {
                machine.applied.clear();
                self.record.formed(identity.expect("a member"), claims_lost);
            }
            GroupOutput::RoleChanged { role: Role::Leader, term, .. } => {
                self.record.elected(self.now, identity.expect("a member"), term, node);
            }
            GroupOutput::NeedSnapshot { index: log_index } => {
                let bytes = record::encode_state(&machine.applied);
                self.step(index, GroupInput::Snapshot { index: log_index, bytes });
            }
            GroupOutput::JoinRequested { node } if self.auto_join => {
                self.tickets += 1;
                self.step(index, GroupInput::ChangeVoters { ticket: self.tickets, add: Some(node), remove: None });
            }
            GroupOutput::Proposed { ticket, result } => machine.results.push((ticket, result)),
            GroupOutput::LeaseGranted { until } => machine.leases.push(until),
            _ => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &GroupMessage) {
        let bytes = message.encode();
        assert_eq!(
            GroupMessage::decode(&bytes).as_ref(),
            Ok(message),
            "a message changed when it was encoded and decoded"
        );
        self.largest_message = self.largest_message.max(bytes.len());
        self.bytes_sent += bytes.len() as u64;
        if self.random.gen_bool(self.links.loss) {
            return;
        }
        let copies = if self.random.gen_bool(self.links.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_micros(self.random.gen_range(self.links.delay.clone()));
            self.sequence += 1;
            self.in_flight.insert((self.now + delay, self.sequence), (from, to, bytes.clone()));
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, bytes: &[u8]) {
        let find = |node: NodeId| self.machines.iter().position(|machine| machine.address == node.address);
        let (Some(source), Some(target)) = (find(from), find(to)) else {
            return;
        };
        let machine = &self.machines[target];
        let Some(group) = &machine.group else {
            return;
        };
        let addressed_to_run = to.incarnation.0 == 0 || to.incarnation == group.node().incarnation;
        if machine.side != self.machines[source].side || !addressed_to_run {
            return;
        }
        let message = GroupMessage::decode(bytes).expect("sent by this harness");
        self.step(target, GroupInput::Message { from, message });
    }

    fn next_event(&self) -> Option<Timestamp> {
        let wakes = self.machines.iter().filter_map(|machine| {
            let wake = machine.group.as_ref()?.next_wake()?;
            Some(machine.paused_until.map_or(wake, |until| until.max(wake)))
        });
        let message = self.in_flight.keys().next().map(|(at, _)| *at);
        wakes.chain(message).min()
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        let mut steps_at_instant = 0;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            steps_at_instant = if next > self.now { 0 } else { steps_at_instant + 1 };
            assert!(
                steps_at_instant < MAX_STEPS_PER_INSTANT,
                "a node requests an immediate wake forever at {:?}",
                self.now
            );
            self.now = self.now.max(next);
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    /// Runs until `done` holds; returns the time it took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Network) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(5));
        }
        done(self).then(|| self.now.since(start))
    }

    /// Delivers the messages that are due. Messages to a paused process wait in its sockets until it resumes.
    fn deliver_due(&mut self) {
        while let Some((key, _)) = self.in_flight.first_key_value() {
            let key = *key;
            if key.0 > self.now {
                return;
            }
            let (from, to, bytes) = self.in_flight.remove(&key).expect("just seen");
            let receiver = self.machines.iter().find(|machine| machine.address == to.address);
            match receiver.and_then(|machine| machine.paused_until).filter(|until| *until > self.now) {
                Some(until) => {
                    self.sequence += 1;
                    self.in_flight.insert((until, self.sequence), (from, to, bytes));
                }
                None => self.deliver(from, to, &bytes),
            }
        }
    }

    fn tick_due(&mut self) {
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            if machine.paused_until.is_some_and(|until| until > self.now) {
                continue;
            }
            machine.paused_until = None;
            let wake = machine.group.as_ref().and_then(Group::next_wake);
            if wake.is_some_and(|wake| wake <= self.now) {
                self.step(index, GroupInput::Tick);
            }
        }
    }

    /// The distinct sequences of commands that the running nodes have applied; a single one if all of them agree.
    pub fn distinct_applied_commands(&self) -> BTreeSet<Vec<Vec<u8>>> {
        let running = self.machines.iter().filter(|machine| machine.group.is_some());
        running.map(|machine| machine.applied.values().cloned().collect()).collect()
    }
}

impl Machine {
    fn empty(address: NodeAddress) -> Self {
        Self {
            address,
            group: None,
            paused_until: None,
            side: 0,
            applied: BTreeMap::new(),
            results: Vec::new(),
            leases: Vec::new(),
        }
    }
}
