//! Machines: a node, perhaps a back end beside it, and what becomes of them.

use std::collections::{BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use quillhatch_types::{Incarnation, NodeAddress, NodeId, ServiceName, SiteName, Timestamp, ZoneName};
use rand::Rng;

use super::calls::AttemptIndex;
use super::runs::RunIndex;
use super::{Agenda, Event, World, PLATFORM_INTERVAL};
use crate::engine::Instant;
use crate::options::Mechanism;
use crate::policy::{NodeStart, Policy};
use crate::profile::{Deployment, ServiceIndex, SITES};

/// The position of a machine in the world; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub u16);

impl MachineIndex {
    /// The position as an index.
    pub fn at(self) -> usize {
        usize::from(self.0)
    }
}

/// Whether the process of a machine takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Runs.
    Up,
    /// Is paused and will wake up late.
    Paused,
    /// Is gone.
    Down,
}

/// The back end of a machine.
#[derive(Debug)]
pub struct BackEnd {
    /// Its service.
    pub service: ServiceIndex,
    /// Runs in a slot.
    pub running: BTreeSet<RunIndex>,
    /// Runs that wait for a slot.
    pub queue: VecDeque<RunIndex>,
    /// When it started, if it started cold.
    pub started_cold: Option<Instant>,
    /// The load that it reported last, for a load endpoint that lags.
    pub reported_load: f64,
}

/// A machine.
pub struct Machine {
    /// Its site.
    pub site: usize,
    /// Its zone.
    pub zone: usize,
    /// A short name for events.
    pub label: String,
    /// Its node's address.
    pub address: NodeAddress,
    /// Its node's identity in its present life.
    pub node: NodeId,
    /// Counts starts of the process.
    pub life: u32,
    /// Whether its process takes part.
    pub presence: Presence,
    /// The code under comparison; absent while the process is down.
    pub policy: Option<Box<dyn Policy>>,
    /// What its monotonic clock is ahead of virtual time, in microseconds.
    pub clock_offset: u64,
    /// When it is woken next.
    pub wake_at: Option<Instant>,
    /// Events that wait until a pause is over.
    pub held: Vec<Event>,
    /// Whether the pause holds the back end too.
    pub pause_holds_back_end: bool,
    /// Its back end.
    pub back_end: Option<BackEnd>,
    /// Attempts at its gate that wait.
    pub waiting: BTreeSet<AttemptIndex>,
    /// When its gate last handed an attempt that is not protected to the back end.
    pub last_lesser_dispatch: Option<Instant>,
    /// When its drain came into force.
    pub drained_at: Option<Instant>,
    /// From when on it must not be seen with an older configuration than is in force everywhere.
    pub current_from: Instant,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Whether the platform's configuration no longer names it.
    pub retired: bool,
}

impl Machine {
    /// A machine that has not started yet.
    pub fn new(position: usize, site: usize, zone: usize, service: Option<ServiceIndex>, label: String) -> Self {
        const PORT: u16 = 7_400;
        let host = Ipv4Addr::new(10, site as u8, (position / 250) as u8, (position % 250) as u8 + 1);
        let address = NodeAddress(SocketAddr::new(IpAddr::V4(host), PORT));
        let back_end = service.map(|service| BackEnd {
            service,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            started_cold: None,
            reported_load: 0.0,
        });
        Machine {
            site,
            zone,
            label,
            address,
            node: NodeId { address, incarnation: Incarnation(0) },
            life: 0,
            presence: Presence::Down,
            policy: None,
            clock_offset: 0,
            wake_at: None,
            held: Vec::new(),
            pause_holds_back_end: false,
            back_end,
            waiting: BTreeSet::new(),
            last_lesser_dispatch: None,
            drained_at: None,
            current_from: 0,
            stopping: false,
            retired: false,
        }
    }

    /// The service of its back end.
    pub fn service(&self) -> Option<ServiceIndex> {
        self.back_end.as_ref().map(|back_end| back_end.service)
    }
}

/// All machines of `deployment` at both sites: an edge in every zone, and a machine for every back end.
pub fn layout(deployment: &Deployment) -> Vec<Machine> {
    let mut machines = Vec::new();
    for (site, site_name) in SITES.iter().enumerate() {
        for zone in 0..deployment.zones.len() {
            let label = format!("edge {site_name} {}", deployment.zones[zone]);
            machines.push(Machine::new(machines.len(), site, zone, None, label));
        }
        for (service_index, service) in deployment.services.iter().enumerate() {
            for target in 0..service.targets {
                let zone = (target + service_index) % deployment.zones.len();
                let label = format!("{} {site_name} {target}", service.name);
                machines.push(Machine::new(machines.len(), site, zone, Some(service_index), label));
            }
        }
    }
    machines
}

/// The name of a site's zone.
pub fn zone_name(deployment: &Deployment, site: usize, zone: usize) -> String {
    format!("{}-{}", SITES[site], deployment.zones[zone])
}

fn checked<T, E>(name: Result<T, E>) -> Option<T> {
    name.ok()
}

impl World {
    /// The machine at `address`.
    pub(super) fn machine_at(&self, address: NodeAddress) -> Option<MachineIndex> {
        let position = self.machines.iter().position(|machine| machine.address == address)?;
        Some(MachineIndex(position as u16))
    }

    /// Starts the process of a machine without any memory.
    pub(super) fn boot(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        let now = agenda.now();
        let incarnation = Incarnation(self.generators.identities.gen());
        let seed = self.generators.nodes.gen();
        let clock_offset = self.generators.nodes.gen_range(1_000_000_000..1_000_000_000_000);
        let seeds = self.platform.listed_addresses();
        let reuse_incarnation = self.options.disabled == Some(Mechanism::INCARNATION);

        let machine = &mut self.machines[index.at()];
        if !reuse_incarnation || machine.life == 0 {
            machine.node.incarnation = incarnation;
        }
        machine.life += 1;
        machine.presence = Presence::Up;
        machine.clock_offset = clock_offset;
        machine.wake_at = None;
        machine.held.clear();
        machine.waiting.clear();
        machine.drained_at = None;
        machine.stopping = false;
        machine.current_from = now;
        let service = machine.service().map(|service| self.deployment.services[service].name);
        let names = (
            checked(SiteName::new(SITES[machine.site])),
            checked(ZoneName::new(&zone_name(&self.deployment, machine.site, machine.zone))),
        );
        let (Some(site), Some(zone)) = names else { return };
        let start = NodeStart {
            node: machine.node,
            site,
            zone,
            service: service.and_then(|name| checked(ServiceName::new(name))),
            seeds,
            seed,
            now: Timestamp(now + clock_offset),
        };
        machine.policy = Some((self.factory)(start));
        let life = machine.life;
        let has_back_end = machine.back_end.is_some();
        let delay = self.generators.nodes.gen_range(0..PLATFORM_INTERVAL / 10);
        agenda.after(delay, Event::PlatformPoll { machine: index, life });
        if has_back_end {
            agenda.after(delay + PLATFORM_INTERVAL / 2, Event::Hint { machine: index, life });
        }
        self.schedule_wake(index, agenda);
    }

    /// Whether the process of `index` is still in its life number `life`.
    pub(super) fn is_alive(&self, index: MachineIndex, life: u32) -> bool {
        let machine = &self.machines[index.at()];
        machine.life == life && machine.presence != Presence::Down
    }
}
