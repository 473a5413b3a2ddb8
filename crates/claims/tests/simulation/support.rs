//! A network of two sites in which owners and voters run, with a truthful record of what the back ends did.

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
const RUN: Duration = Duration::from_millis(2_000);

/// How rough the network and the nodes are.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub pause: f64,
    pub restart: f64,
    pub takeover: f64,
    pub site_move: f64,
    /// The share of calls of which the gate never learns whether they ran.
    pub abandon: f64,
    pub retention: Duration,
}

/// What went wrong, from what back ends and callers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub runs: usize,
    pub replays: usize,
    pub moves: usize,
    pub voter_changes: usize,
    pub duplicate_runs: usize,
    pub false_not_run: usize,
    pub foreign_replays: usize,
}

enum Event {
    Message { to: NodeId, from: NodeId, message: ClaimMessage },
    Table { node: usize, table: Arc<ServiceTable> },
    Input { node: NodeId, input: OwnerInput },
    Tick(usize),
    Client,
    Control,
    Check { node: NodeId, ticket: AttemptId },
    Run { node: NodeId, ticket: AttemptId },
    Done { node: NodeId, ticket: AttemptId },
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
    scheduled: u64,
    nodes: Vec<Node>,
    sites: Vec<Site>,
    moving: Option<Move>,
    epoch: Epoch,
    runs_of_nodes: u64,
    calls: Vec<Call>,
    /// Until when each run of a key excludes another, as the back ends and callers know it.
    ran: Vec<Vec<Timestamp>>,
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
            scheduled: 0,
            nodes: Vec::new(),
            sites: Vec::new(),
            moving: None,
            epoch: Epoch(1),
            runs_of_nodes: 0,
            calls: Vec::new(),
            ran: vec![Vec::new(); KEYS],
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
            world.publish(site);
        }
        world.schedule(Duration::ZERO, Event::Client);
        world.schedule(Duration::from_millis(CONTROL_INTERVAL_MS), Event::Control);
        world
    }

    pub fn run(mut self) -> Report {
        let end = self.now + RUN;
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
        self.runs_of_nodes += 1;
        let address = NodeAddress(SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)));
        let id = NodeId { address, incarnation: Incarnation(self.runs_of_nodes) };
        let settings = OwnerSettings { retention: self.faults.retention, ..OwnerSettings::default() };
        let mut owner = ClaimOwner::with_mechanisms(id, service(), settings, self.mechanisms);
        owner.step(self.now, OwnerInput::Lease { until: Timestamp(u64::MAX) }, &mut Vec::new());
        let voter = ClaimVoter::with_mechanisms(service(), VoterSettings::default(), self.mechanisms);
        Node { id, owner, voter, paused_until: Timestamp::ZERO }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + after, self.scheduled), event);
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

    /// The node at which an event happens; events at a paused node wait for its waking.
    fn place(&self, event: &Event) -> Option<usize> {
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
        if let Some(place) = self.place(&event) {
            let wake = self.nodes[place].paused_until;
            if wake > self.now {
                let wait = self.now.until(wake);
                if !matches!(event, Event::Run { .. }) {
                    self.schedule(wait, event);
                    return;
                }
                // The process may be held up between its last check and the back end, for less than the retention.
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
            Event::Client => self.client(),
            Event::Control => self.control(),
            Event::Check { node, ticket } => self.check(node, ticket),
            Event::Run { node, ticket } => self.run_call(node, ticket),
            Event::Done { node, ticket } => {
                if let Some(index) = self.index_of(node) {
                    let record = Some(answer(self.calls[ticket.call.0 as usize].key));
                    self.step(index, OwnerInput::Finished { ticket, record });
                }
            }
        }
    }

    /// The time by which a call that passed the last check reaches the back end.
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
        let message = ClaimMessage::decode(&message.encode()).expect("what is encoded can be decoded");
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
            self.carry_out(index, id, output);
        }
        if let Some(wake) = self.nodes[index].owner.next_wake() {
            let wait = self.now.until(wake) + Duration::from_micros(1);
            self.schedule(wait, Event::Tick(index));
        }
    }

    fn carry_out(&mut self, index: usize, id: NodeId, output: OwnerOutput) {
        let site = index / NODES_PER_SITE;
        match output {
            OwnerOutput::Send { to, message } => self.send(id, to, message),
            OwnerOutput::Resolved { ticket, resolution } => self.resolved(id, ticket, resolution),
            OwnerOutput::SlotExported { claims, .. } => {
                if matches!(self.moving, Some(Move::Exporting { from }) if from == site) {
                    self.epoch = self.epoch.next();
                    let target = (1 - site) * NODES_PER_SITE + self.random.gen_range(0..NODES_PER_SITE);
                    let importer = self.nodes[target].id;
                    self.moving = Some(Move::Importing { from: site, epoch: self.epoch, claims, importer });
                }
            }
            OwnerOutput::SlotImported { epoch, .. } => self.imported(site, epoch),
            OwnerOutput::VotersSettled { epoch } => {
                self.sites[site].settled.insert(id, epoch);
            }
            OwnerOutput::SlotOpened { .. } | OwnerOutput::SlotLost { .. } => {}
        }
    }

    fn resolved(&mut self, id: NodeId, ticket: AttemptId, decision: ClaimDecision) {
        let call = ticket.call.0 as usize;
        let key = self.calls[call].key;
        match decision {
            ClaimDecision::Granted => {
                let wait = if self.chance(0.3) { self.millis(0..150) } else { self.millis(0..5) };
                self.schedule(wait, Event::Check { node: id, ticket });
            }
            ClaimDecision::Replay(given) => {
                self.report.replays += 1;
                if given != answer(key) || self.ran[key].is_empty() {
                    self.report.foreign_replays += 1;
                }
            }
            ClaimDecision::Refused(refusal) => {
                if refusal.outcome == Outcome::NotRun && self.calls[call].started.is_some() {
                    self.report.false_not_run += 1;
                }
                if refusal.outcome == Outcome::Failed && self.ran[key].is_empty() {
                    self.report.foreign_replays += 1;
                }
            }
        }
    }

    fn check(&mut self, node: NodeId, ticket: AttemptId) {
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
        let held = self.ran[key].iter().any(|kept_until| self.now < *kept_until);
        self.report.duplicate_runs += usize::from(held);
        self.report.runs += 1;
        let time = self.millis(1..60);
        self.ran[key].push((self.now + time).min(deadline) + self.faults.retention);
        if !self.chance(self.faults.abandon) {
            self.schedule(time, Event::Done { node, ticket });
        }
    }

    fn client(&mut self) {
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

    fn control(&mut self) {
        self.schedule(Duration::from_millis(CONTROL_INTERVAL_MS), Event::Control);
        for site in 0..2 {
            self.drop_previous_voters(site);
            self.publish(site);
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
        self.move_on();
    }

    fn publish(&mut self, site: usize) {
        let table = Arc::new(self.sites[site].table.clone());
        for node in site * NODES_PER_SITE..(site + 1) * NODES_PER_SITE {
            if !self.chance(self.faults.loss) {
                let delay = self.millis(0..60);
                self.schedule(delay, Event::Table { node, table: Arc::clone(&table) });
            }
        }
    }

    fn change(&mut self, site: usize, change: impl FnOnce(&mut ServiceTable, Epoch)) {
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
            self.change(site, |table, _| table.previous_voters.clear());
        }
    }

    /// One voter of a site at a time loses its memory, so that a majority always remembers.
    fn restart(&mut self, index: usize) {
        let site = index / NODES_PER_SITE;
        let members = site * NODES_PER_SITE..(site + 1) * NODES_PER_SITE;
        let whole = members.clone().all(|node| self.sites[site].table.voters.contains(&self.nodes[node].id));
        if !whole || !self.sites[site].table.previous_voters.is_empty() {
            return;
        }
        let fresh = self.new_node(index);
        self.nodes[index] = fresh;
        let later = self.chance(0.5);
        if later {
            // The group notices only after another change of owner, if there is one.
            self.take_over();
        }
        let voters = members.map(|node| self.nodes[node].id).collect();
        self.change(site, |table, _| {
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
            self.change(site, |table, epoch| {
                table.slots[0] = SlotAssignment { slot: SLOT, epoch, state: SlotState::Owned { owner } };
            });
            self.publish(site);
        }
    }

    fn move_on(&mut self) {
        match &self.moving {
            None => {
                if self.chance(self.faults.site_move) {
                    self.seal();
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

    fn seal(&mut self) {
        let owned = |site: &&Site| matches!(site.table.slots[0].state, SlotState::Owned { .. });
        let from = if owned(&&self.sites[0]) { 0 } else { 1 };
        self.change(from, |table, epoch| {
            let state = SlotState::Sealed { destination: site_name(1 - from) };
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state };
        });
        self.moving = Some(Move::Exporting { from });
    }

    fn imported(&mut self, site: usize, at: Epoch) {
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
        self.change(site, |table, epoch| {
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state: SlotState::Owned { owner } };
        });
        self.change(from, |table, epoch| {
            let state = SlotState::Elsewhere { site: site_name(site) };
            table.slots[0] = SlotAssignment { slot: SLOT, epoch, state };
        });
    }
}

/// Runs many seeds and adds up what went wrong.
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
