//! The network: latency, loss, partitions and connections.

use std::collections::HashMap;

use quillhatch_types::{NodeAddress, NodeId};
use rand::Rng;
use rand_pcg::Pcg64;

use super::machine::{Machine, MachineIndex, Presence};
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::policy::{HostInput, PeerMessage};
use crate::profile::Latencies;
use crate::random::{chance, exponential};

/// Where a machine is, as far as the network is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The site.
    pub site: usize,
    /// The zone.
    pub zone: usize,
}

impl Location {
    /// Where `machine` is.
    pub fn of(machine: &Machine) -> Self {
        Location { site: machine.site, zone: machine.zone }
    }
}

/// A cut between two parts of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The sites have lost contact.
    Sites,
    /// One zone of a site has lost contact with the rest.
    Zone(Location),
}

impl Cut {
    fn separates(self, a: Location, b: Location) -> bool {
        match self {
            Cut::Sites => a.site != b.site,
            Cut::Zone(zone) => (a == zone) != (b == zone),
        }
    }
}

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It arrives after this delay.
    After(Instant),
    /// It never arrives.
    Lost,
}

/// The state of the network.
pub struct Network {
    latencies: Latencies,
    /// Cuts in force, and when each will end.
    cuts: Vec<(Cut, Instant)>,
    /// Idle connections from edges to gates.
    idle: HashMap<(MachineIndex, MachineIndex), u32>,
    /// The share of messages between nodes that are lost, in a thousand.
    pub loss_per_mille: u32,
}

/// Messages between nodes that are lost at the best of times, in a thousand.
const NORMAL_LOSS_PER_MILLE: u32 = 1;

/// Idle connections kept for one pair of nodes.
const MOST_IDLE_CONNECTIONS: u32 = 32;

impl Network {
    /// A network without cuts or connections.
    pub fn new(latencies: Latencies) -> Self {
        Network { latencies, cuts: Vec::new(), idle: HashMap::new(), loss_per_mille: NORMAL_LOSS_PER_MILLE }
    }

    /// Cuts the network until `end`.
    pub fn cut(&mut self, cut: Cut, end: Instant) {
        self.cuts.push((cut, end));
    }

    /// The end of the last cut between two places at `now`.
    pub fn separated_until(&self, a: Location, b: Location, now: Instant) -> Option<Instant> {
        let in_force = self.cuts.iter().filter(|(cut, end)| *end > now && cut.separates(a, b));
        in_force.map(|(_, end)| *end).max()
    }

    /// The one-way latency between two places, with jitter.
    pub fn latency(&self, a: Location, b: Location, generator: &mut Pcg64) -> Instant {
        let base = if a.site != b.site {
            self.latencies.between_sites
        } else if a.zone != b.zone {
            self.latencies.between_zones
        } else {
            self.latencies.within_zone
        };
        with_jitter(base, generator)
    }

    /// The one-way latency between an outside caller and an edge, with jitter.
    pub fn caller_latency(&self, generator: &mut Pcg64) -> Instant {
        with_jitter(self.latencies.to_callers, generator)
    }

    /// The time that a new connection takes.
    pub fn connect_time(&self) -> Instant {
        self.latencies.connect
    }

    /// Takes an idle connection; returns whether there was one.
    pub fn take_connection(&mut self, edge: MachineIndex, gate: MachineIndex) -> bool {
        match self.idle.get_mut(&(edge, gate)) {
            Some(idle) if *idle > 0 => {
                *idle -= 1;
                true
            }
            _ => false,
        }
    }

    /// Gives a connection back after a whole answer.
    pub fn return_connection(&mut self, edge: MachineIndex, gate: MachineIndex) {
        let idle = self.idle.entry((edge, gate)).or_insert(0);
        *idle = (*idle + 1).min(MOST_IDLE_CONNECTIONS);
    }

    /// Closes all connections of a machine.
    pub fn close_connections(&mut self, machine: MachineIndex) {
        self.idle.retain(|&(edge, gate), _| edge != machine && gate != machine);
    }
}

fn with_jitter(base: Instant, generator: &mut Pcg64) -> Instant {
    const JITTER_SHARE: f64 = 0.1;
    base + exponential(generator, base as f64 * JITTER_SHARE) as Instant
}

impl World {
    /// What becomes of data on an open connection: while the network is cut it is lost, or held back until the cut ends.
    pub(super) fn stream_passage(&mut self, from: MachineIndex, to: MachineIndex, now: Instant) -> Passage {
        const HELD_PERCENT: u32 = 50;
        let (a, b) = (Location::of(&self.machines[from.at()]), Location::of(&self.machines[to.at()]));
        let latency = self.network.latency(a, b, &mut self.generators.network);
        match self.network.separated_until(a, b, now) {
            None => Passage::After(latency),
            Some(end) if chance(&mut self.generators.network, HELD_PERCENT) => Passage::After(end - now + latency),
            Some(_) => Passage::Lost,
        }
    }

    /// Whether two machines can open a connection now.
    pub(super) fn connected(&self, a: MachineIndex, b: MachineIndex, now: Instant) -> bool {
        let (a, b) = (Location::of(&self.machines[a.at()]), Location::of(&self.machines[b.at()]));
        self.network.separated_until(a, b, now).is_none()
    }

    /// Sends a message between nodes; it may be lost.
    pub(super) fn send_message(
        &mut self,
        from: MachineIndex,
        to: NodeAddress,
        message: PeerMessage,
        agenda: &mut Agenda,
    ) {
        let Some(receiver) = self.machine_at(to) else { return };
        if !self.connected(from, receiver, agenda.now()) {
            return;
        }
        if self.generators.network.gen_range(0..1_000) < self.network.loss_per_mille {
            return;
        }
        let (a, b) = (Location::of(&self.machines[from.at()]), Location::of(&self.machines[receiver.at()]));
        let latency = self.network.latency(a, b, &mut self.generators.network);
        let from = self.machines[from.at()].node;
        agenda.after(latency, Event::Peer { machine: receiver, from, message });
    }

    /// A message between nodes arrives.
    pub(super) fn peer_message(
        &mut self,
        index: MachineIndex,
        from: NodeId,
        message: PeerMessage,
        agenda: &mut Agenda,
    ) {
        if self.machines[index.at()].presence == Presence::Up {
            self.step(index, HostInput::Message { from, message }, agenda);
        }
    }
}
