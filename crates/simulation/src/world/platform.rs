//! The platform's stand-in: a configuration service that can only be read, and a list of machines that lags.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch, Formation, NodeAddress, Revision,
    ServiceConfiguration, ServiceName, SiteConfiguration, SiteName, TargetConfiguration, ZoneName,
};

use super::machine::{zone_name, Machine, MachineIndex, Presence};
use super::probes::{probe_deadline, PROBE_CLASS};
use super::{Agenda, Event, World, PLATFORM_INTERVAL};
use crate::engine::Instant;
use crate::policy::{HostInput, ListedAs, PlatformView};
use crate::profile::{ClassProfile, Deployment, ServiceProfile, SITES};
use crate::timeline::{MILLISECOND, SECOND};

/// How far the list of machines lags behind.
pub const LIST_LAG: Instant = 3 * SECOND;

/// How the configuration service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// Answers with the newest revision.
    Up,
    /// Does not answer.
    Down,
    /// Answers with the revision so many steps before the newest.
    Stale(usize),
    /// Answers late.
    Slow,
}

/// One machine on the platform's list.
struct Listing {
    address: NodeAddress,
    from: Instant,
    leaving_from: Option<Instant>,
    until: Option<Instant>,
}

/// The stand-in.
pub struct Platform {
    /// How it behaves.
    pub state: PlatformState,
    published: Vec<Arc<Configuration>>,
    listings: Vec<Listing>,
    /// The share of each service's slots at the first site, in percent.
    pub first_site_shares: Vec<u8>,
}

/// Slots of each service.
const SLOT_COUNT: u16 = 32;

fn class_configuration(class: &ClassProfile, deadline: Duration) -> Option<ClassConfiguration> {
    Some(ClassConfiguration {
        name: ClassName::new(class.name).ok()?,
        methods: Vec::new(),
        path_prefix: format!("/{}", class.name),
        priority: class.priority,
        repeatable: class.repeatable,
        deadline,
        retry_budget: class.retry_budget,
        retry_ratio_percent: 10,
        large_answers: class.large_answers,
    })
}

fn service_configuration(
    service: &ServiceProfile,
    targets: Vec<TargetConfiguration>,
    first_site_share: u8,
    revision: Revision,
) -> Option<ServiceConfiguration> {
    const UNAVAILABLE: u16 = 503;
    let mut site_shares = BTreeMap::new();
    site_shares.insert(SiteName::new(SITES[0]).ok()?, first_site_share);
    site_shares.insert(SiteName::new(SITES[1]).ok()?, 100 - first_site_share);
    let classes = service.classes.iter().filter_map(|class| {
        let is_probe = class.name == PROBE_CLASS;
        class_configuration(class, if is_probe { probe_deadline(revision) } else { class.deadline })
    });
    Some(ServiceConfiguration {
        name: ServiceName::new(service.name).ok()?,
        hosts: Vec::new(),
        slot_count: SLOT_COUNT,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 200_000,
        replay_limit_bytes: 64 * 1024,
        refused_before_running: if service.sheds_before_running { vec![UNAVAILABLE] } else { Vec::new() },
        minimum_time: Duration::from_millis(2),
        queue_timeout: Duration::from_millis(200),
        site_shares,
        minimum_epoch: Epoch(0),
        classes: classes.collect(),
        targets,
    })
}

impl Platform {
    /// The stand-in at the start of a run, with the first revision published.
    pub fn new(deployment: &Deployment, machines: &[Machine]) -> Self {
        let listings = machines.iter().map(|machine| Listing {
            address: machine.address,
            from: 0,
            leaving_from: None,
            until: None,
        });
        let mut platform = Platform {
            state: PlatformState::Up,
            published: Vec::new(),
            listings: listings.collect(),
            first_site_shares: vec![50; deployment.services.len()],
        };
        platform.publish(deployment, machines);
        platform
    }

    /// The newest revision.
    pub fn newest(&self) -> Revision {
        Revision(self.published.len() as u64)
    }

    /// Publishes a new revision with the machines in use; returns it.
    pub fn publish(&mut self, deployment: &Deployment, machines: &[Machine]) -> Revision {
        let revision = self.newest().next();
        let configuration = self.configuration(deployment, machines, revision);
        self.published.extend(configuration.map(Arc::new));
        revision
    }

    fn configuration(
        &self,
        deployment: &Deployment,
        machines: &[Machine],
        revision: Revision,
    ) -> Option<Configuration> {
        let sites = SITES.iter().enumerate().map(|(site, name)| {
            let zones =
                (0..deployment.zones.len()).filter_map(|zone| ZoneName::new(&zone_name(deployment, site, zone)).ok());
            Some(SiteConfiguration { name: SiteName::new(name).ok()?, zones: zones.collect() })
        });
        let mut services = BTreeMap::new();
        for (index, service) in deployment.services.iter().enumerate() {
            let targets = machines.iter().filter(|machine| machine.service() == Some(index) && !machine.retired);
            let targets = targets.filter_map(|machine| {
                Some(TargetConfiguration {
                    node: machine.address,
                    site: SiteName::new(SITES[machine.site]).ok()?,
                    zone: ZoneName::new(&zone_name(deployment, machine.site, machine.zone)).ok()?,
                    slots: service.slots,
                    connections: service.connections,
                })
            });
            let share = self.first_site_shares[index];
            let configuration = service_configuration(service, targets.collect(), share, revision)?;
            services.insert(configuration.name.clone(), configuration);
        }
        // The first revision starts a new deployment; later ones are for one that has served calls.
        let formation = if revision == Revision(1) { Formation::New } else { Formation::Existing };
        Some(Configuration {
            deployment: DeploymentName::new(deployment.name).ok()?,
            revision,
            formation,
            sites: sites.collect::<Option<Vec<_>>>()?,
            services,
        })
    }

    /// Lists a new machine; the list shows it after its lag.
    pub fn list(&mut self, address: NodeAddress, now: Instant) {
        self.listings.push(Listing { address, from: now + LIST_LAG, leaving_from: None, until: None });
    }

    /// Marks a machine as leaving; the list shows it after its lag.
    pub fn mark_leaving(&mut self, address: NodeAddress, now: Instant) {
        let listing = self.listings.iter_mut().find(|listing| listing.address == address);
        if let Some(listing) = listing {
            listing.leaving_from.get_or_insert(now + LIST_LAG);
        }
    }

    /// Takes a machine off; the list shows it after its lag.
    pub fn unlist(&mut self, address: NodeAddress, now: Instant) {
        let listing = self.listings.iter_mut().find(|listing| listing.address == address);
        if let Some(listing) = listing {
            listing.until = Some(now + LIST_LAG);
        }
    }

    /// The addresses of all machines ever listed, as a settings file would name some of them.
    pub fn listed_addresses(&self) -> Vec<NodeAddress> {
        self.listings.iter().map(|listing| listing.address).collect()
    }

    /// What a node reads at `now`.
    fn read(&self, now: Instant) -> PlatformView {
        let steps_back = match self.state {
            PlatformState::Down => return PlatformView::default(),
            PlatformState::Stale(steps) => steps,
            PlatformState::Up | PlatformState::Slow => 0,
        };
        let position = self.published.len().saturating_sub(1 + steps_back);
        let in_list = |listing: &&Listing| listing.from <= now && listing.until.is_none_or(|until| now < until);
        let machines = self.listings.iter().filter(in_list).map(|listing| {
            let leaving = listing.leaving_from.is_some_and(|leaving| leaving <= now);
            (listing.address, if leaving { ListedAs::Leaving } else { ListedAs::Live })
        });
        PlatformView { configuration: self.published.get(position).cloned(), machines: machines.collect() }
    }
}

impl World {
    /// A node asks the platform's service.
    pub(super) fn platform_poll(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        const QUICK_ANSWER: Instant = 2 * MILLISECOND;
        const SLOW_ANSWER: Instant = 2_500 * MILLISECOND;
        if !self.is_alive(index, life) {
            return;
        }
        agenda.after(PLATFORM_INTERVAL, Event::PlatformPoll { machine: index, life });
        let view = self.platform.read(agenda.now());
        let delay = if self.platform.state == PlatformState::Slow { SLOW_ANSWER } else { QUICK_ANSWER };
        agenda.after(delay, Event::PlatformAnswer { machine: index, life, view });
    }

    /// The platform's service answers a node.
    pub(super) fn platform_answer(&mut self, index: MachineIndex, life: u32, view: PlatformView, agenda: &mut Agenda) {
        if self.is_alive(index, life) && self.machines[index.at()].presence == Presence::Up {
            self.step(index, HostInput::Platform(view), agenda);
        }
    }

    /// Publishes a new revision of the configuration.
    pub(super) fn publish(&mut self, now: Instant) {
        let revision = self.platform.publish(&self.deployment, &self.machines);
        self.expect_revision(revision, now);
        self.record.event(now, format!("configuration revision {revision} published"));
    }
}
