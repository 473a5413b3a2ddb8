//! The edge's state of one service: configuration, routes, targets and retry ratio limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::hash::{slot_of_key, slot_of_root};
use quillhatch_types::{
    CallId, ClassConfiguration, ClassName, Epoch, GateStatus, Incarnation, NodeAddress, NodeId, RequestKey, RootId,
    ServiceConfiguration, ServiceTable, SiteName, SlotId, Timestamp,
};
use rand_pcg::Pcg64;

use super::balance::{Choice, TargetSelector};
use super::ejection::EjectionSettings;
use super::ratio::RatioLimit;
use super::routes::{site_by_share, Routes, SlotOwner, SlotRoute};
use super::target::Target;

/// The edge's state of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    configuration: ServiceConfiguration,
    routes: Routes,
    targets: Vec<Target>,
    by_address: HashMap<NodeAddress, usize>,
    sites: BTreeMap<SiteName, Vec<usize>>,
    ratios: BTreeMap<ClassName, RatioLimit>,
    fetched_at: BTreeMap<SiteName, Timestamp>,
    /// Calls that wait for the owner of their slot.
    pub(crate) waiting: BTreeSet<CallId>,
}

impl ServiceState {
    pub(crate) fn new(configuration: ServiceConfiguration, ratio_burst: u32) -> Self {
        let mut service = ServiceState {
            configuration,
            routes: Routes::default(),
            targets: Vec::new(),
            by_address: HashMap::new(),
            sites: BTreeMap::new(),
            ratios: BTreeMap::new(),
            fetched_at: BTreeMap::new(),
            waiting: BTreeSet::new(),
        };
        service.rebuild_ratios(ratio_burst);
        service
    }

    /// Applies a newer configuration; the ratio limits of classes that remain are retained.
    pub(crate) fn reconfigure(&mut self, configuration: ServiceConfiguration, ratio_burst: u32) {
        self.configuration = configuration;
        self.rebuild_ratios(ratio_burst);
    }

    fn rebuild_ratios(&mut self, burst: u32) {
        let mut old = std::mem::take(&mut self.ratios);
        for class in &self.configuration.classes {
            let limit = old.remove(&class.name).unwrap_or_else(|| RatioLimit::new(burst));
            self.ratios.insert(class.name.clone(), limit);
        }
    }

    pub(crate) fn configuration(&self) -> &ServiceConfiguration {
        &self.configuration
    }

    pub(crate) fn class(&self, name: &ClassName) -> Option<&ClassConfiguration> {
        self.configuration.class(name)
    }

    pub(crate) fn ratio_limit(&mut self, class: &ClassName) -> Option<&mut RatioLimit> {
        self.ratios.get_mut(class)
    }

    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    pub(crate) fn target(&mut self, address: NodeAddress) -> Option<&mut Target> {
        let index = *self.by_address.get(&address)?;
        self.targets.get_mut(index)
    }

    pub(crate) fn target_at(&mut self, index: usize) -> Option<&mut Target> {
        self.targets.get_mut(index)
    }

    /// Stores a table; returns whether it supersedes the known one.
    pub(crate) fn accept(&mut self, table: Arc<ServiceTable>) -> bool {
        self.routes.accept(table)
    }

    /// Recomputes routes and targets after a change of tables or configuration; the state of known targets is retained.
    pub(crate) fn rebuild(&mut self, sites: &[SiteName], suspected: &BTreeSet<NodeAddress>) {
        self.routes.retain_sites(|site| sites.contains(site));
        self.routes.rebuild(&self.configuration);
        let old = std::mem::take(&mut self.targets);
        let old_index = std::mem::take(&mut self.by_address);
        self.sites.clear();
        for site in sites {
            for mut target in self.site_targets(site) {
                let address = target.node.address;
                if self.by_address.contains_key(&address) {
                    continue;
                }
                if let Some(known) = old_index.get(&address) {
                    target.inherit(&old[*known]);
                }
                target.suspected = suspected.contains(&address);
                self.by_address.insert(address, self.targets.len());
                self.sites.entry(site.clone()).or_default().push(self.targets.len());
                self.targets.push(target);
            }
        }
    }

    /// The gates in the site's table, or the configured targets while no table is known.
    fn site_targets(&self, site: &SiteName) -> Vec<Target> {
        if let Some(table) = self.routes.table(site) {
            let gates = table.gates.iter();
            return gates
                .map(|gate| Target::new(gate.node, site.clone(), gate.zone.clone(), gate.status, gate.connections))
                .collect();
        }
        let configured = self.configuration.targets_at(site);
        configured
            .map(|target| {
                let node = NodeId { address: target.node, incarnation: Incarnation(0) };
                Target::new(node, site.clone(), target.zone.clone(), GateStatus::Serving, target.connections)
            })
            .collect()
    }

    /// The site that serves a root's repeatable calls, and whether the table of that site is missing.
    pub(crate) fn site_of_root(&self, root: RootId) -> Option<(SiteName, bool)> {
        let slot = slot_of_root(root, self.configuration.slot_count);
        let site = match self.routes.slot(slot) {
            Some(route) => route.site.clone(),
            None => site_by_share(&self.configuration, slot)?,
        };
        let missing = self.routes.table(&site).is_none();
        Some((site, missing))
    }

    /// The route of a key's slot; the epoch is zero while no table has the slot.
    pub(crate) fn route_of_key(&self, key: &RequestKey) -> Option<SlotRoute> {
        let slot: SlotId = slot_of_key(key, self.configuration.slot_count);
        if let Some(route) = self.routes.slot(slot) {
            return Some(route.clone());
        }
        let site = site_by_share(&self.configuration, slot)?;
        Some(SlotRoute { site, owner: SlotOwner::Unknown, epoch: Epoch(0) })
    }

    /// The index of the owner in the list of targets, if the target has the owner's incarnation.
    pub(crate) fn owner_index(&self, owner: NodeId) -> Option<usize> {
        let index = *self.by_address.get(&owner.address)?;
        (self.targets[index].node == owner).then_some(index)
    }

    /// Chooses a target at `site`, or at another site if that one has no usable target; of the others `local_site`
    /// first.
    pub(crate) fn choose(
        &self,
        selector: &TargetSelector<'_>,
        site: &SiteName,
        local_site: &SiteName,
        random: &mut Pcg64,
    ) -> Choice {
        for last_resort in [false, true] {
            for members in self.members_by_site_preference(site, local_site) {
                let choice = selector.choose(&self.targets, members, last_resort, random);
                if choice != Choice::NoTarget {
                    return choice;
                }
            }
        }
        Choice::NoTarget
    }

    fn members_by_site_preference<'a>(
        &'a self,
        site: &'a SiteName,
        local_site: &'a SiteName,
    ) -> impl Iterator<Item = &'a Vec<usize>> + 'a {
        let first = self.sites.get(site);
        let second = self.sites.get(local_site).filter(|_| local_site != site);
        let others = self.sites.iter().filter(move |(name, _)| *name != site && *name != local_site);
        first.into_iter().chain(second).chain(others.map(|(_, members)| members))
    }

    /// Ejects the target unless it already is, or too large a share of its site's targets is; returns whether it did.
    pub(crate) fn eject(&mut self, address: NodeAddress, now: Timestamp, settings: &EjectionSettings) -> bool {
        let Some(index) = self.by_address.get(&address).copied() else {
            return false;
        };
        let Some(members) = self.sites.get(&self.targets[index].site) else {
            return false;
        };
        let is_ejected = |member: &&usize| self.targets[**member].outlier.is_ejected(now);
        let ejected = members.iter().filter(is_ejected).count();
        if self.targets[index].outlier.is_ejected(now) || !settings.allows(ejected, members.len()) {
            return false;
        }
        self.targets[index].outlier.eject(now, settings);
        true
    }

    /// Whether the fetch interval of the table of `site` has passed; if so, records a fetch at `now`.
    pub(crate) fn try_start_fetch(&mut self, site: &SiteName, now: Timestamp, interval: Duration) -> bool {
        let recent = self.fetched_at.get(site).is_some_and(|at| now.since(*at) < interval);
        if !recent {
            self.fetched_at.insert(site.clone(), now);
        }
        !recent
    }

    /// The epoch of the known table of `site`, or zero if none is known.
    pub(crate) fn epoch(&self, site: &SiteName) -> Epoch {
        self.routes.table(site).map_or(Epoch(0), |table| table.epoch)
    }

    /// The sites with configured targets.
    pub(crate) fn configured_sites(&self) -> BTreeSet<SiteName> {
        self.configuration.targets.iter().map(|target| target.site.clone()).collect()
    }
}
