//! A simulated network of two sites with owners and voters, which records what the back ends actually ran.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_claims::{
    can_drop_previous_voters, ClaimDecision, ClaimEntry, ClaimMechanisms, ClaimMessage, ClaimOwner, ClaimRole,
    ClaimVoter, OwnerInput, OwnerOutput, OwnerSettings, VoterSettings,
};
use quillhatch_types::{
    AttemptId, CallId, Epoch, Generation, Incarnation, NodeAddress, NodeId, Outcome, RecordedAnswer, RequestKey,
    RootId, ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub const SLOT: SlotId = SlotId(0);
const NODES: usize = 6;
const NODES_PER_SITE: usize = 3;
const KEYS: usize = 12;
const CLIENT_INTERVAL_MS: u64 = 8;
const CONTROL_INTERVAL_MS: u64 = 40;
const RUN_DURATION: Duration = Duration::from_millis(2_000);

/// The probabilities of faults and events, and the retention of claims.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub pause: f64,
    pub restart: f64,
    pub takeover: f64,
    pub site_move: f64,
    /// The probability that the gate never receives the result of a call.
    pub abandon: f64,
    pub retention: Duration,
}

/// Counts of events and of violations, as back ends and callers observed them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub runs: usize,
    pub replays: usize,
    pub moves: usize,
    pub voter_changes: usize,
    /// Runs of a key while an earlier run of it still excluded others.
    pub duplicate_runs: usize,
    /// Calls that ran but were refused as not run.
    pub false_not_run: usize,
    /// Replayed answers and reports of a completed run that belong to no run of the key.
    pub foreign_replays: usize,
}

enum Event {
    Message {
        to: NodeId,
        from: NodeId,
        message: ClaimMessage,
    },
    Table {
        node: usize,
        table: Arc<ServiceTable>,
    },
    Input {
        node: NodeId,
        input: OwnerInput,
    },
    Tick(usize),
    /// A client sends a call.
    Client,
    /// Control publishes tables and injects faults.
    Control,
    /// A gate checks whether it may dispatch a granted call.
    Check {
        node: NodeId,
        ticket: AttemptId,
    },
    /// A dispatched call reaches the back end.
    Run {
        node: NodeId,
        ticket: AttemptId,
    },
    /// The back end's answer reaches the gate.
    Done {
        node: NodeId,
        ticket: AttemptId,
    },
}

struct Node {
    id: NodeId,
    owner: ClaimOwner,
    voter: ClaimVoter,
    paused_until: Timestamp,
}

struct Call {
    key: usize,
    deadline: Timestamp,
    started: Option<Timestamp>,
}

struct Site {
    table: ServiceTable,
    changed_at: Epoch,
    settled: BTreeMap<NodeId, Epoch>,
}

enum Move {
    Exporting { from: usize },
    Importing { from: usize, epoch: Epoch, claims: Vec<ClaimEntry>, importer: NodeId },
}

pub struct World {
    random: Pcg64,
    faults: Faults,
    mechanisms: ClaimMechanisms,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    nodes: Vec<Node>,
    sites: Vec<Site>,
    moving: Option<Move>,
    epoch: Epoch,
    last_incarnation: u64,
    calls: Vec<Call>,
    /// For each key, the times until which each of its runs excludes another one, computed from the actual runs.
    excluded_until: Vec<Vec<Timestamp>>,
    report: Report,
}

fn service() -> ServiceName {
    ServiceName::new("giving").expect("valid")
}

fn site_name(site: usize) -> SiteName {
    SiteName::new(["east", "west"][site]).expect("valid")
}

fn key(number: usize) -> RequestKey {
    RequestKey::new(&format!("key-{number}")).expect("valid")
}

fn answer(key: usize) -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: vec![key as u8] }
}

impl World {
    pub fn new(seed: u64, faults: Faults, mechanisms: ClaimMechanisms) -> Self {
        let random = Pcg64::seed_from_u64(seed);
        let mut world = World {
            random,
            faults,
            mechanisms,
            now: Timestamp::from_millis(1),
            events: BTreeMap::new(),
            event_count: 0,
            nodes: Vec::new(),
            sites: Vec::new(),
            moving: None,
            epoch: Epoch(1),
            last_incarnation: 0,
            calls: Vec::new(),
            excluded_until: vec![Vec::new(); KEYS],
            report: Report::default(),
        };
        for index in 0..NODES {
            let node = world.new_node(index);
            world.nodes.push(node);
        }
        for site in 0..2 {
            let voters = (0..NODES_PER_SITE).map(|index| world.nodes[site * NODES_PER_SITE + index].id).collect();
            let state = match site {
                0 => SlotState::Owned { owner: world.nodes[0].id },
                _ => SlotState::Elsewhere { site: site_name(0) },
            };
            let table = ServiceTable {
                service: service(),
                site: site_name(site),
                generation: Generation(1),
                epoch: Epoch(1),
                slots: vec![SlotAssignment { slot: SLOT, epoch: Epoch(1), state }],
                gates: Vec::new(),
                voters,
                previous_voters: Vec::new(),
                claims_lost: false,
            };
            world.sites.push(Site { table, changed_at: Epoch(1), settled: BTreeMap::new() });
            world.publish_table(site);
        }
        world.schedule(Duration::ZERO, Event::Client);
        world.schedule(Duration::from_millis(CONTROL_INTERVAL_MS), Event::Control);
        world
    }

    pub fn run(mut self) -> Report {
        let end = self.now + RUN_DURATION;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.last_incarnation += 1;
        let address = NodeAddress(SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)));
        let id = NodeId { address, incarnation: Incarnation(self.last_incarnation) };
        let settings = OwnerSettings { retention: self.faults.retention, ..OwnerSettings::default() };
        let mut owner = ClaimOwner::with_mechanisms(id, service(), settings, self.mechanisms);
        owner.step(self.now, OwnerInput::Lease { until: Timestamp(u64::MAX) }, &mut Vec::new());
        let voter = ClaimVoter::with_mechanisms(service(), VoterSettings::default(), self.mechanisms);
        Node { id, owner, voter, paused_until: Timestamp::ZERO }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.gen_bool(probability)
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_micros(self.random.gen_range(range.start * 1000..range.end * 1000))
    }

    fn index_of(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    /// The node at which an event happens; events at a paused node are delayed until it resumes.
    fn event_node(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Message { to, .. } => self.nodes.iter().position(|node| node.id.address == to.address),
            Event::Table { node, .. } | Event::Tick(node) => Some(*node),
            Event::Input { node, .. }
            | Event::Check { node, .. }
            | Event::Run { node, .. }
            | Event::Done { node, .. } => self.index_of(*node),
            Event::Client | Event::Control => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(index) = self.event_node(&event) {
            let wake = self.nodes[index].paused_until;
            if wake > self.now {
                let wait = self.now.until(wake);
                if !matches!(event, Event::Run { .. }) {
                    self.schedule(wait, event);
                    return;
                }
                // A process may also pause between its last check and sending to the back end, for less than the
                // retention.
                if self.now < self.run_limit(&event) {
                    self.schedule(wait.min(self.faults.retention / 4), event);
                    return;
                }
            }
        }
        match event {
            Event::Message { to, from, message } => self.receive(to, from, message),
            Event::Table { node, table } => self.step(node, OwnerInput::Table(table)),
            Event::Input { node, input } => {
                if let Some(index) = self.index_of(node) {
                    self.step(index, input);
                }
            }
            Event::Tick(node) => {
                if self.nodes[node].owner.next_wake().is_some_and(|at| at <= self.now) {
                    self.step(node, OwnerInput::Tick);
                }
            }
            Event::Client => self.send_client_call(),
            Event::Control => self.run_control(),
            Event::Check { node, ticket } => self.check_dispatch(node, ticket),
            Event::Run { node, ticket } => self.run_call(node, ticket),
            Event::Done { node, ticket } => {
                if let Some(index) = self.index_of(node) {
                    let record = Some(answer(self.calls[ticket.call.0 as usize].key));
                    self.step(index, OwnerInput::Finished { ticket, record });
                }
            }
        }
    }

    /// The latest time at which a pause may still delay a call that passed the last check before dispatch.
    fn run_limit(&self, event: &Event) -> Timestamp {
        match event {
            Event::Run { ticket, .. } => self.calls[ticket.call.0 as usize].deadline + self.faults.retention / 2,
            _ => self.now,
        }
    }

    fn receive(&mut self, to: NodeId, from: NodeId, message: ClaimMessage) {
        let Some(index) = self.nodes.iter().position(|node| node.id.address == to.address) else {
            return;
        };
        let message = ClaimMessage::decode(&message.encode()).expect("an encoded message can be decoded");
        if message.role() == ClaimRole::Owner {
            self.step(index, OwnerInput::Message { from, message });
            return;
        }
        let mut replies = Vec::new();
        let node = &mut self.nodes[index];
        node.voter.handle(self.now, from, message, &mut replies);
        let id = node.id;
        for (to, message) in replies {
            self.send(id, to, message);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: ClaimMessage) {
        let copies = if self.chance(self.faults.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.chance(self.faults.loss) {
                let delay = if self.chance(0.1) { self.millis(1..200) } else { self.millis(0..3) };
                self.schedule(delay, Event::Message { to, from, message: message.clone() });
            }
        }
    }

    fn step(&mut self, index: usize, input: OwnerInput) {
        let mut outputs = Vec::new();
        let node = &mut self.nodes[index];
        node.owner.step(self.now, input, &mut outputs);
        let id = node.id;
        for output in outputs {
            self.apply_output(index, id, output);
        }
        if let Some(wake) = self.nodes[index].owner.next_wake() {
            let wait = self.now.until(wake) + Duration::from_micros(1);
            self.schedule(wait, Event::Tick(index));
        }
    }

    fn apply_output(&mut self, index: usize, id: NodeId, output: OwnerOutput) {
        let site = index / NODES_PER_SITE;
        match output {
            OwnerOutput::Send { to, message } => self.send(id, to, message),
            OwnerOutput::Resolved { ticket, resolution } => self.handle_decision(id, ticket, resolution),
            OwnerOutput::SlotExported { claims, .. } => {
                if matches!(self.moving, Some(Move::Exporting { from }) if from == site) {
                    self.epoch = self.epoch.next();
                    let target = (1 - site) * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
                    let importer = self.nodes[target].id;
                    self.moving = Some(Move::Importing { from: site, epoch: self.epoch, claims, importer });
                }
            }
            OwnerOutput::SlotImported { epoch, .. } => self.complete_site_move(site, epoch),
            OwnerOutput::VotersSettled { epoch } => {
                self.sites[site].settled.insert(id, epoch);
            }
            OwnerOutput::SlotOpened { .. } | OwnerOutput::SlotLost { .. } => {}
        }
    }

    fn handle_decision(&mut self, id: NodeId, ticket: AttemptId, decision: ClaimDecision) {
        let call = ticket.call.0 as usize;
        let key = self.calls[call].key;
        match decision {
            ClaimDecision::Granted => {
                let wait = if self.chance(0.3) { self.millis(0..150) } else { self.millis(0..5) };
                self.schedule(wait, Event::Check { node: id, ticket });
            }
            ClaimDecision::Replay(replayed) => {
                self.report.replays += 1;
                if replayed != answer(key) || self.excluded_until[key].is_empty() {
                    self.report.foreign_replays += 1;
                }
            }
            ClaimDecision::Refused(refusal) => {
                if refusal.outcome == Outcome::NotRun && self.calls[call].started.is_some() {
                    self.report.false_not_run += 1;
                }
                if refusal.outcome == Outcome::Failed && self.excluded_until[key].is_empty() {
                    self.report.foreign_replays += 1;
                }
            }
        }
    }

    fn check_dispatch(&mut self, node: NodeId, ticket: AttemptId) {
        let Some(index) = self.index_of(node) else {
            return;
        };
        if self.chance(0.2) || !self.nodes[index].owner.may_dispatch(self.now, ticket) {
            self.step(index, OwnerInput::Released { ticket });
            return;
        }
        let gap = self.millis(0..2);
        self.schedule(gap, Event::Run { node, ticket });
    }

    fn run_call(&mut self, node: NodeId, ticket: AttemptId) {
        let call = &mut self.calls[ticket.call.0 as usize];
        call.started = Some(self.now);
        let (key, deadline) = (call.key, call.deadline);
        let excluded = self.excluded_until[key].iter().any(|until| self.now < *until);
        self.report.duplicate_runs += usize::from(excluded);
        self.report.runs += 1;
        let time = self.millis(1..60);
        self.excluded_until[key].push((self.now + time).min(deadline) + self.faults.retention);
        if !self.chance(self.faults.abandon) {
            self.schedule(time, Event::Done { node, ticket });
        }
    }

    fn send_client_call(&mut self) {
        self.schedule(Duration::from_millis(CLIENT_INTERVAL_MS), Event::Client);
        let (key_number, node) = (self.random.gen_range(0..KEYS), self.random.gen_range(0..NODES));
        let owners = self.sites.iter().filter_map(|site| match site.table.slots[0].state {
            SlotState::Owned { owner } => self.index_of(owner),
            _ => None,
        });
        let owner = owners.max().filter(|_| node % 3 != 0).unwrap_or(node);
        let call = self.calls.len();
        let remaining = self.millis(100..400);
        self.calls.push(Call { key: key_number, deadline: self.now + remaining, started: None });
        let input = OwnerInput::Claim {
            ticket: AttemptId { call: CallId(call as u128), attempt: 0 },
            key: key(key_number),
            slot: SLOT,
            digest: None,
            root: RootId(call as u128),
            key_from_caller: true,
            remaining,
        };
        let id = self.nodes[owner].id;
        self.schedule(Duration::ZERO, Event::Input { node: id, input });
    }

    fn run_control(&mut self) {
        self.schedule(Duration::from_millis(CONTROL_INTERVAL_MS), Event::Control);
        for site in 0..2 {
            self.drop_previous_voters(site);
            self.publish_table(site);
        }
        if self.chance(self.faults.pause) {
            let node = self.random.gen_range(0..NODES);
            self.nodes[node].paused_until = self.now + self.millis(20..700);
        }
        if self.chance(self.faults.restart) {
            let node = self.random.gen_range(0..NODES);
            self.restart(node);
        }
        if self.chance(self.faults.takeover) {
            self.take_over();
        }
        self.advance_site_move();
    }

    fn publish_table(&mut self, site: usize) {
        let table = Arc::new(self.sites[site].table.clone());
        for node in site * NODES_PER_SITE..(site + 1) * NODES_PER_SITE {
            if !self.chance(self.faults.loss) {
                let delay = self.millis(0..60);
                self.schedule(delay, Event::Table { node, table: Arc::clone(&table) });
            }
        }
    }

    fn change_table(&mut self, site: usize, change: impl FnOnce(&mut ServiceTable, Epoch)) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let table = &mut self.sites[site].table;
        change(table, epoch);
        table.epoch = epoch;
    }

    fn drop_previous_voters(&mut self, site: usize) {
        let state = &self.sites[site];
        if state.table.previous_voters.is_empty() {
            return;
        }
        if can_drop_previous_voters(&state.table, state.changed_at, &state.settled) {
            self.report.voter_changes += 1;
            self.change_table(site, |table, _| table.previous_voters.clear());
        }
    }

    /// Restarts a node, which loses its claims and promises. Only one voter of a site restarts at a time, so that a
    /// majority always holds them.
    fn restart(&mut self, index: usize) {
        let site = index / NODES_PER_SITE;
        let members = site * NODES_PER_SITE..(site + 1) * NODES_PER_SITE;
        let all_listed = members.clone().all(|node| self.sites[site].table.voters.contains(&self.nodes[node].id));
        if !all_listed || !self.sites[site].table.previous_voters.is_empty() {
            return;
        }
        let restarted = self.new_node(index);
        self.nodes[index] = restarted;
        let takeover_first = self.chance(0.5);
        if takeover_first {
            // The group detects the restart only after a change of owner, if the slot is owned.
            self.take_over();
        }
        let voters = members.map(|node| self.nodes[node].id).collect();
        self.change_table(site, |table, _| {
            table.previous_voters = std::mem::replace(&mut table.voters, voters);
        });
        self.sites[site].changed_at = self.epoch;
    }

    fn take_over(&mut self) {
        for site in 0..2 {
            let owned = matches!(self.sites[site].table.slots[0].state, SlotState::Owned { .. });
            if !owned {
                continue;
            }
            let node = site * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
            let owner = self.nodes[node].id;
            self.change_table(site, |table, epoch| {
                table.slots[0] = SlotAssignment { slot: SLOT, epoch, state: SlotState::Owned { owner } };
            });
            self.publish_table(site);
        }
    }

    fn advance_site_move(&mut self) {
        match &self.moving {
            None => {
                if self.chance(self.faults.site_move) {
                    self.seal_slot();
                }
            }
            Some(Move::Exporting { from }) => {
                let node = from * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
                let id = self.nodes[node].id;
                self.schedule(Duration::ZERO, Event::Input { node: id, input: OwnerInput::ExportSlot { slot: SLOT } });
            }
            Some(Move::Importing { epoch, claims, importer, .. }) => {
                let (node, epoch, claims) = (*importer, *epoch, claims.clone());
                if self.index_of(node).is_none() {
                    self.choose_importer();
                    return;
                }
                let input = OwnerInput::ImportSlot { slot: SLOT, epoch, claims };
                self.schedule(Duration::ZERO, Event::Input { node, input });
            }
        }
    }

    fn choose_importer(&mut self) {
        let Some(Move::Importing { from, claims, .. }) = self.moving.take() else {
            return;
        };
        self.epoch = self.epoch.next();
        let node = (1 - from) * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
        let importer = self.nodes[node].id;
        self.moving = Some(Move::Importing { from, epoch: self.epoch, claims, importer });
    }

    fn seal_slot(&mut self) {
        let owned = |site: &&Site| matches!(site.table.slots[0].state, SlotState::Owned { .. });
        let from = if owned(&&self.sites[0]) { 0 } else { 1 };
        self.change_table(from, |table, epoch| {
            let state = SlotState::Sealed { destination: site_name(1 - from) };
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state };
        });
        self.moving = Some(Move::Exporting { from });
    }

    fn complete_site_move(&mut self, site: usize, at: Epoch) {
        let Some(Move::Importing { from, epoch, .. }) = &self.moving else {
            return;
        };
        let from = *from;
        if site == from || *epoch != at {
            return;
        }
        self.moving = None;
        self.report.moves += 1;
        let node = site * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
        let owner = self.nodes[node].id;
        self.change_table(site, |table, epoch| {
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state: SlotState::Owned { owner } };
        });
        self.change_table(from, |table, epoch| {
            let state = SlotState::Elsewhere { site: site_name(site) };
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state };
        });
    }
}

/// Runs the simulation for each seed and adds up the reports.
pub fn run_seeds(seeds: std::ops::Range<u64>, faults: Faults, mechanisms: ClaimMechanisms) -> Report {
    let mut total = Report::default();
    for seed in seeds {
        let report = World::new(seed, faults, mechanisms).run();
        total.runs += report.runs;
        total.replays += report.replays;
        total.moves += report.moves;
        total.voter_changes += report.voter_changes;
        total.duplicate_runs += report.duplicate_runs;
        total.false_not_run += report.false_not_run;
        total.foreign_replays += report.foreign_replays;
    }
    total
}
