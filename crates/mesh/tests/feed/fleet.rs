//! A simulated fleet on a virtual clock, with a store and connections that fail. The nodes follow the store by the
//! decisions of the product.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::feed::{
    long_poll_timeout, response_timeout, watch_timeout, FeedRole, FeedTree, ReadReason, ReadSchedule,
    ReadScheduleInputs, SoloReads, SourceChoice, SourceStatus, SourceVerdict, StandbyReader, StoreAccessLoss,
};
use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::replica::{Change, Position, Replica, Update};
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::store_reader::{NextRead, StoreReader};
use quillhatch_mesh::targets::Target;
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::node::{NodeFault, PendingQuery, PendingRead, SimNode, StoreAccess};
use crate::store::{registration, target_id, SimStore};

pub const BOUNDS: Bounds = Bounds {
    stop_grace: Duration::from_secs(10),
    drain: Duration::from_secs(4),
    apply: Duration::from_secs(4),
    recovery: Duration::from_secs(5),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    revocation: None,
    limits: LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 },
    heartbeat: Duration::from_secs(3),
};

/// The bounds of a small deployment.
pub const SHORT_BOUNDS: Bounds = Bounds {
    drain: Duration::from_secs(2),
    apply: Duration::from_secs(2),
    recovery: Duration::from_secs(3),
    heartbeat: Duration::from_millis(1500),
    ..BOUNDS
};

/// The step of the virtual clock, which is also the one-way latency of a message.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// The probability that a node exchanges a call with another one in a step: five calls per second.
const CALLS_PER_TICK: f64 = 0.05;
/// How long another node may have a later position before it is queried.
const MAX_LAG: Duration = Duration::from_millis(400);
/// The time that the response to a watch may take beyond the timeout of the watch.
pub(crate) const WATCH_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(600);

/// A rule of the decisions that is broken on purpose, to show that the tests notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A node discards its replica when the store was restored from a backup.
    ForgetsOnNewEra,
    /// An update of an earlier era is applied as if it were of a later one.
    AppliesEarlierEras,
    /// A source is followed whenever it reports that it has access to the store.
    FollowsAnySource,
    /// No other node takes over while the readers do not respond.
    WaitsForReaders,
    /// A node whose call to the store failed makes no further call while it follows others.
    NeverVerifiesAccess,
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<SimNode>,
    pub store: SimStore,
    pub mutation: Option<Mutation>,
    /// Whether standbys watch the store. Without them only the readers and those that take over do.
    pub has_standby_watches: bool,
    pub(crate) bounds: Bounds,
    pub(crate) random: Pcg64,
    by_machine: HashMap<IpAddr, usize>,
}

impl Fleet {
    /// Creates a fleet of `count` nodes in `zones` that all have an up-to-date replica.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        Self::with_bounds(count, zones, seed, BOUNDS)
    }

    /// Like [`Fleet::new`], with other bounds.
    pub fn with_bounds(count: usize, zones: usize, seed: u64, bounds: Bounds) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut store = SimStore { position: Position::default(), calls: 0, log: Vec::new(), is_down: false };
        let mut nodes = Vec::new();
        for number in 0..count {
            let machine =
                IpAddr::from([10, (number % zones) as u8, (number / zones / 250) as u8, (number / zones % 250) as u8]);
            let zone = format!("zone-{}", number % zones);
            store.write(Change::Target(target_id(number), registration(machine, &zone, false, 1)));
            nodes.push(SimNode {
                machine,
                zone,
                replica: Replica::default(),
                role: FeedRole::default(),
                store_access: StoreAccess::Available,
                fault: NodeFault::None,
                loss: StoreAccessLoss::default(),
                own_call_failed: false,
                store_read_at: Some(Timestamp::ZERO),
                last_read_had_changes: false,
                source_choice: SourceChoice::default(),
                store_reader: StoreReader::default(),
                query: None,
                read: None,
                standby_reader: StandbyReader::default(),
                standby_read: None,
                standby_position: Position::default(),
                next_standby_read_at: Timestamp::ZERO,
                next_query_at: Timestamp::ZERO,
                next_read_at: Timestamp::ZERO,
                is_isolated: false,
                has_unverified_source: false,
                has_response: false,
                solo_reads: SoloReads::default(),
                jitter: random.gen(),
                ahead_peer: None,
                answered_queries: 0,
                sent_changes: 0,
            });
        }
        let by_machine = nodes.iter().enumerate().map(|(number, node)| (node.machine, number)).collect();
        let mut fleet = Fleet {
            now: Timestamp::from_millis(1_000),
            nodes,
            store,
            mutation: None,
            has_standby_watches: true,
            bounds,
            random,
            by_machine,
        };
        let update = fleet.store.list();
        for number in 0..count {
            fleet.nodes[number].replica.apply(update.clone(), fleet.now).expect("the first update applies");
        }
        fleet.assign_roles();
        fleet.run(3_000);
        fleet.store.calls = 0;
        fleet
    }

    /// Assigns the roles of all nodes. They all have the same list of targets here, so the tree is built once.
    fn assign_roles(&mut self) {
        let targets: Vec<Arc<Target>> = self
            .store
            .list()
            .changes
            .into_iter()
            .filter_map(|revised| match revised.change {
                Change::Target(id, registration) => {
                    let (cold_until, listed_at) = (Timestamp::ZERO, Timestamp::ZERO);
                    Some(Arc::new(Target { id, registration, cold_until, listed_at }))
                }
                _ => None,
            })
            .collect();
        let tree = FeedTree::new(targets.iter());
        for node in &mut self.nodes {
            node.role = tree.role_of(node.machine, &node.zone);
        }
    }

    /// Registers the target of a node as draining or as serving again.
    pub fn set_draining(&mut self, number: usize, draining: bool, sequence: u64) {
        let node = &self.nodes[number];
        let registration = registration(node.machine, &node.zone, draining, sequence);
        self.store.write(Change::Target(target_id(number), registration));
    }

    pub fn set_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
    }

    /// Restores the store from a backup that lacks its last `lost` changes.
    pub fn restore(&mut self, lost: usize) {
        self.store.restore(lost);
    }

    /// The indices of the nodes that read the store.
    pub fn readers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|number| self.nodes[*number].role.is_reader).collect()
    }

    /// The indices of the candidates of a node, in order.
    pub fn candidates(&self, number: usize) -> Vec<usize> {
        self.nodes[number].role.candidates.iter().map(|candidate| self.by_machine[&candidate.machine]).collect()
    }

    /// Whether all connected nodes have reached the store's position.
    pub fn is_up_to_date(&self) -> bool {
        self.nodes.iter().filter(|node| node.is_connected()).all(|node| node.position() == self.store.position)
    }

    /// Runs until all connected nodes are up to date; returns how long it took.
    pub fn run_until_up_to_date(&mut self, timeout: Duration) -> Duration {
        let started = self.now;
        while !self.is_up_to_date() {
            self.tick();
            let took = self.now.since(started);
            if took > timeout {
                let behind: Vec<_> = self
                    .nodes
                    .iter()
                    .filter(|node| node.is_connected() && node.position() != self.store.position)
                    .map(|node| (node.machine, node.position(), node.role.clone(), node.loss))
                    .take(3)
                    .collect();
                panic!(
                    "nodes are not up to date after {timeout:?}: {behind:?}; the store is at {:?}",
                    self.store.position
                );
            }
        }
        self.now.since(started)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for number in 0..self.nodes.len() {
            if matches!(self.nodes[number].fault, NodeFault::Crashed | NodeFault::Unresponsive) {
                continue;
            }
            self.step_calls(number);
            self.step_query(number);
            self.step_read(number);
            if self.nodes[number].role.is_standby && self.has_standby_watches {
                self.step_standby(number);
            }
        }
    }

    /// Calls between nodes carry their positions. A node that has been behind another one for [`MAX_LAG`] queries it.
    fn step_calls(&mut self, number: usize) {
        let now = self.now;
        if self.random.gen_bool(CALLS_PER_TICK) {
            let other = self.random.gen_range(0..self.nodes.len());
            let is_responding = self.nodes[other].fault == NodeFault::None;
            if is_responding && self.nodes[other].position() > self.nodes[number].position() {
                self.nodes[number].ahead_peer.get_or_insert((now, other));
            }
        }
        let Some((noticed, other)) = self.nodes[number].ahead_peer else { return };
        if now.since(noticed) < MAX_LAG {
            return;
        }
        self.nodes[number].ahead_peer = None;
        if self.nodes[other].fault == NodeFault::None {
            let update = self.nodes[other].replica.update_since(self.nodes[number].position(), now);
            let _ = update.map(|update| self.nodes[number].replica.apply(update, now));
        }
    }

    fn step_query(&mut self, number: usize) {
        let now = self.now;
        let Some(query) = &self.nodes[number].query else {
            if now >= self.nodes[number].next_query_at {
                self.start_query(number);
            }
            return;
        };
        if now.since(query.sent) < TICK * 2 {
            return;
        }
        let (peer, from, sent, long_poll) = (query.peer, query.from, query.sent, query.long_poll);
        let other = &mut self.nodes[peer];
        match other.fault {
            NodeFault::Crashed => self.query_failed(number),
            NodeFault::Unresponsive if now.since(sent) >= response_timeout(long_poll, &self.bounds) => {
                self.query_failed(number)
            }
            NodeFault::Unresponsive => {}
            NodeFault::FalseStatus if now.since(sent) >= long_poll => {
                self.query_succeeded(number, None, Some(now), None)
            }
            NodeFault::FalseStatus => {}
            NodeFault::None => {
                let has_just_arrived = now.since(sent) == TICK * 2;
                let is_lost = other.loss.is_confirmed() || (has_just_arrived && other.loss.since().is_some());
                let has_news = other.position() > from || is_lost;
                if !has_news && now.since(sent) < long_poll {
                    return;
                }
                let update = other.replica.update_since(from, now);
                other.answered_queries += 1;
                other.sent_changes += update.as_ref().map_or(0, |update| update.changes.len());
                let (store_read_at, lost_since) = (other.store_read_at, other.loss.since());
                self.query_succeeded(number, update, store_read_at, lost_since);
            }
        }
    }

    fn start_query(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(candidate) = node.source_choice.next(&node.role.candidates, now) else { return };
        let long_poll = if node.source_choice.is_searching() {
            Duration::ZERO
        } else {
            long_poll_timeout(node.role.is_head, &self.bounds)
        };
        let query = PendingQuery {
            peer: self.by_machine[&candidate.machine],
            is_upstream: candidate.is_upstream,
            sent: now,
            long_poll,
            from: node.position(),
        };
        self.nodes[number].query = Some(query);
    }

    /// Applies an update. One that can't be applied was superseded by the updates of other nodes.
    pub(crate) fn apply(&mut self, number: usize, update: Update) {
        let replica = &mut self.nodes[number].replica;
        let is_new_era = replica.position().era < update.position.era;
        let is_earlier = replica.position().era > update.position.era;
        match self.mutation {
            Some(Mutation::ForgetsOnNewEra) if is_new_era => *replica = Replica::default(),
            Some(Mutation::AppliesEarlierEras) if is_earlier => *replica = Replica::default(),
            _ => {}
        }
        let _ = replica.apply(update, self.now);
    }

    fn query_succeeded(
        &mut self,
        number: usize,
        update: Option<Update>,
        store_read_at: Option<Timestamp>,
        lost_since: Option<Timestamp>,
    ) {
        let now = self.now;
        if let Some(update) = update {
            self.apply(number, update);
        }
        let node = &mut self.nodes[number];
        let is_upstream = node.query.as_ref().is_some_and(|query| query.is_upstream);
        let status = SourceStatus { store_read_at, lost_since };
        node.store_read_at = node.store_read_at.max(store_read_at);
        let follows_any = self.mutation == Some(Mutation::FollowsAnySource);
        let verdict = match lost_since {
            None if follows_any => SourceVerdict::Usable,
            _ => status.verdict(is_upstream, node.loss, &self.bounds, now),
        };
        if verdict == SourceVerdict::Usable {
            node.is_isolated = false;
            node.has_response = false;
            node.loss.source_available(store_read_at);
            node.source_choice.succeeded();
            node.has_unverified_source = false;
            node.query = None;
            return;
        }
        if let Some(since) = lost_since {
            node.loss.source_reported_loss(since);
        }
        node.has_response = true;
        node.has_unverified_source |= verdict == SourceVerdict::Unverified;
        self.query_failed(number);
    }

    fn query_failed(&mut self, number: usize) {
        let now = self.now;
        let pause = Duration::from_millis(self.random.gen_range(250..500));
        let node = &mut self.nodes[number];
        let sent = node.query.take().map_or(now, |query| query.sent);
        node.source_choice.failed(now);
        let is_reading = node.role.is_reader && node.loss.since().is_none();
        if !is_reading {
            node.loss.source_failed(sent);
        }
        if !node.source_choice.all_failed(&node.role.candidates) {
            return;
        }
        node.next_query_at = now + pause;
        node.is_isolated = !node.has_response;
        node.has_response = false;
        if !is_reading && !node.has_unverified_source {
            node.loss.all_sources_failed(sent);
        }
        node.has_unverified_source = false;
    }

    fn step_read(&mut self, number: usize) {
        let now = self.now;
        let store_is_down = self.store.is_down;
        let store_position = self.store.position;
        let node = &mut self.nodes[number];
        let Some(read) = &node.read else {
            if now >= node.next_read_at {
                self.start_read(number);
            }
            return;
        };
        if now.since(read.sent) < TICK * 2 {
            return;
        }
        let access = if store_is_down { StoreAccess::Refused } else { node.store_access };
        match access {
            StoreAccess::Refused => self.store_read_failed(number),
            StoreAccess::Unresponsive if now.since(read.sent) >= read.timeout + WATCH_RESPONSE_ALLOWANCE => {
                self.store_read_failed(number)
            }
            StoreAccess::Unresponsive => {}
            StoreAccess::Available => {
                let has_news = match read.read {
                    NextRead::Watch { after } => {
                        store_position.revision > after || store_position.era != node.position().era
                    }
                    NextRead::StaleList | NextRead::List => true,
                };
                if has_news || now.since(read.sent) >= read.timeout {
                    self.store_read_succeeded(number);
                }
            }
        }
    }

    fn start_read(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let inputs = ReadScheduleInputs {
            has_view: true,
            must_probe: false,
            own_call_failed: node.own_call_failed && self.mutation != Some(Mutation::NeverVerifiesAccess),
            role: &node.role,
            loss: node.loss,
            store_read_at: node.store_read_at.filter(|_| self.mutation != Some(Mutation::WaitsForReaders)),
            is_isolated: node.is_isolated,
            solo_reads: node.solo_reads,
            proof_renewal_in: None,
            jitter: node.jitter,
        };
        let ReadSchedule::Now(reason) = inputs.schedule(&self.bounds, now) else { return };
        let is_probing = reason == ReadReason::Once || node.loss.since().is_some();
        let timeout = if is_probing { Duration::from_millis(200) } else { watch_timeout(&self.bounds) };
        node.read = Some(PendingRead { sent: now, timeout, read: node.store_reader.next(node.replica.position()) });
        self.store.calls += 1;
    }

    fn store_read_succeeded(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(read) = node.read.take() else { return };
        let update = match read.read {
            NextRead::Watch { .. } if self.store.position.era != node.position().era => {
                node.store_reader.history_lost();
                return;
            }
            NextRead::Watch { after } => self.store.changes_since(after),
            NextRead::StaleList | NextRead::List => self.store.list(),
        };
        let has_changes = !update.changes.is_empty();
        self.apply(number, update);
        let node = &mut self.nodes[number];
        node.store_reader.read_succeeded();
        node.own_call_failed = false;
        node.store_read_at = node.store_read_at.max(Some(read.sent));
        node.loss.store_read();
        if has_changes {
            node.next_read_at = now + node.role.batch_pause(node.last_read_had_changes, &self.bounds);
        }
        node.last_read_had_changes = has_changes;
    }

    fn store_read_failed(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(read) = node.read.take() else { return };
        node.own_call_failed = true;
        node.loss.store_call_failed(read.sent, node.store_read_at);
        let max_pause = node.store_reader.read_failed(true, &self.bounds);
        node.next_read_at = now + max_pause.mul_f64(self.random.gen_range(0.5..1.0));
    }
}
