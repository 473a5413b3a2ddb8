//! A simulated fleet on a virtual clock, with a store and connections that fail. The nodes follow the store by the
//! decisions of the product.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::feed::FeedTree;
use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::replica::{Change, Position, Replica, Update};
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::targets::Target;
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::node::{NodeFault, SimNode};
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
    /// Configurations are replicated by their revisions only.
    IgnoresVersions,
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
    pub(super) by_machine: HashMap<IpAddr, usize>,
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
            nodes.push(SimNode::new(machine, zone, random.gen()));
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
            if is_responding && self.is_ahead(other, number) {
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
            self.copy_configuration(other, number);
        }
    }

    /// Whether `node` is ahead of `other`, as far as the two compare.
    fn is_ahead(&self, node: usize, other: usize) -> bool {
        let (state, other) = (self.nodes[node].replica.state(), self.nodes[other].replica.state());
        match self.mutation {
            Some(Mutation::IgnoresVersions) => state.position > other.position,
            _ => state.is_ahead_of(other),
        }
    }

    /// Passes the configuration of `source` on to `number` if it is newer.
    pub(crate) fn copy_configuration(&mut self, source: usize, number: usize) {
        let version = self.nodes[number].replica.state().version;
        let newer = self.nodes[source].replica.configuration_after(version).cloned();
        let newer = newer.filter(|_| self.mutation != Some(Mutation::IgnoresVersions));
        newer.map(|newer| self.nodes[number].replica.take_configuration(&newer));
    }

    /// Starts the process of a node again. It reads the store itself, or gets everything from the first node that it
    /// may follow.
    pub fn restart(&mut self, number: usize, reads_store: bool) {
        let node = &self.nodes[number];
        let source = node.role.candidates.first().map(|candidate| self.by_machine[&candidate.machine]);
        let mut started = SimNode::new(node.machine, node.zone.clone(), self.random.gen());
        started.role = node.role.clone();
        started.store_read_at = Some(self.now);
        let from_source = source.filter(|_| !reads_store && !node.role.is_reader);
        let from_source =
            from_source.and_then(|source| self.nodes[source].replica.update_since(Position::default(), self.now));
        let update = from_source.unwrap_or_else(|| self.store.list());
        started.replica.apply(update, self.now).expect("the first update applies");
        self.nodes[number] = started;
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
}
