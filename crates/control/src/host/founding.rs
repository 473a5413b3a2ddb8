//! Founds a group: determines the owning site of each slot from the other sites' tables or the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{
    Epoch, Formation, NodeAddress, ServiceConfiguration, ServiceTable, SiteName, SlotId, SlotState, Timestamp,
};

use crate::host::{nth_member, HostStep, ServiceHost};
use crate::io::Recipient;
use crate::message::GroupBody;
use crate::state::{Command, SlotHome};

/// The maximum number of listed machines that are queried for a table of an earlier group.
const MAX_QUERIED_MACHINES: usize = 64;

#[derive(Clone, Debug, Default)]
pub(crate) struct Founding {
    formed_at: Option<Timestamp>,
    claims_lost: bool,
    epoch: Epoch,
    tables: BTreeMap<SiteName, Arc<ServiceTable>>,
    queried_at: Option<Timestamp>,
    attempt: usize,
}

impl ServiceHost {
    pub(crate) fn on_formed(&mut self, step: &mut HostStep<'_>, claims_lost: bool, epoch: Epoch) {
        self.reset(step);
        self.founding = Founding { formed_at: Some(step.now), claims_lost, epoch, ..Founding::default() };
    }

    /// Handles a table of another site. A table without slots means that the site's group is not founded either.
    pub(crate) fn on_other_sites_table(&mut self, table: &Arc<ServiceTable>) {
        if !self.state.is_founded() && table.site != *self.site() {
            self.founding.tables.insert(table.site.clone(), table.clone());
        }
    }

    pub(crate) fn other_sites<'a>(
        &'a self,
        service: &'a ServiceConfiguration,
    ) -> impl Iterator<Item = &'a SiteName> + 'a {
        let sites: std::collections::BTreeSet<&SiteName> = service.targets.iter().map(|target| &target.site).collect();
        sites.into_iter().filter(|site| *site != self.site())
    }

    pub(crate) fn query_other_sites_if_unfounded(&mut self, step: &mut HostStep<'_>) {
        if self.state.is_founded() {
            return;
        }
        let Some(service) = step.configuration.services.get(&self.service) else {
            return;
        };
        let due = self.founding.queried_at.is_none_or(|at| step.now.since(at) >= self.settings.timing.resend);
        if !due {
            return;
        }
        self.founding.queried_at = Some(step.now);
        self.founding.attempt += 1;
        let unanswered: Vec<SiteName> =
            self.other_sites(service).filter(|site| !self.founding.tables.contains_key(site)).cloned().collect();
        self.query_local_edges(step);
        for site in unanswered {
            let member = nth_member(step.configuration, &self.service, &site, self.founding.attempt);
            let Some(address) = member else {
                continue;
            };
            let request = GroupBody::AskTable { generation: Default::default(), epoch: Epoch::default() };
            self.send(step, Recipient::Address(address), &site, request);
        }
    }

    /// Queries the listed machines, whose edges may have a table of an earlier group of this site. The new group must
    /// start above its epoch.
    fn query_local_edges(&self, step: &mut HostStep<'_>) {
        let site = self.site().clone();
        let listed: Vec<NodeAddress> = self.gates.machines().take(MAX_QUERIED_MACHINES).collect();
        for address in listed.into_iter().filter(|address| *address != self.own_node().address) {
            let request = GroupBody::AskTable { generation: Default::default(), epoch: Epoch::default() };
            self.send(step, Recipient::Address(address), &site, request);
        }
    }

    /// Handles a table of an earlier group of this site.
    pub(crate) fn on_earlier_local_table(&mut self, table: &ServiceTable) {
        if !self.state.is_founded() {
            self.founding.epoch = self.founding.epoch.max(table.epoch);
        }
    }

    pub(crate) fn found_command(&self, step: &HostStep<'_>) -> Option<Command> {
        let formed_at = self.founding.formed_at?;
        let service = step.configuration.services.get(&self.service)?;
        let mut unanswered = self.other_sites(service).filter(|site| !self.founding.tables.contains_key(*site));
        let complete = unanswered.next().is_none();
        let new = step.configuration.formation == Formation::New && !self.founding.claims_lost;
        let queried_long_enough = step.now.since(formed_at) >= self.settings.timing.resend;
        let timeout_over = step.now.since(formed_at) >= self.settings.timing.founding_timeout;
        let known = new || (queried_long_enough && complete) || timeout_over;
        if !known {
            return None;
        }
        // A site that has not answered may own any slot. Founding with claims lost prevents keyed calls from running
        // twice.
        let claims_lost = self.founding.claims_lost || (!complete && !new);
        let seen = self.founding.tables.values().map(|table| table.epoch).max().unwrap_or_default();
        let epoch = self.founding.epoch.max(seen).max(service.minimum_epoch).next();
        let homes = (0..service.slot_count).map(|slot| self.home(service, SlotId(slot))).collect();
        Some(Command::Found { generation: self.group.generation(), epoch, claims_lost, homes })
    }

    fn home(&self, service: &ServiceConfiguration, slot: SlotId) -> SlotHome {
        let assignments = self.founding.tables.values().filter_map(|table| {
            let assignment = table.slot(slot)?;
            Some((assignment.epoch, table.site.clone(), assignment.state.clone()))
        });
        let Some((epoch, site, state)) = assignments.max_by_key(|(epoch, _, _)| *epoch) else {
            return SlotHome { site: configured_home(service, slot, self.site()), floor: Epoch::default() };
        };
        match state {
            SlotState::Elsewhere { site } => SlotHome { site, floor: epoch },
            // The site will offer the slot with this seal, so the floor must be below its epoch.
            SlotState::Sealed { .. } => SlotHome { site, floor: Epoch(epoch.0.saturating_sub(1)) },
            SlotState::Owned { .. } | SlotState::Vacant => SlotHome { site, floor: epoch },
        }
    }
}

/// The site that a slot belongs to according to the configured shares.
fn configured_home(service: &ServiceConfiguration, slot: SlotId, fallback: &SiteName) -> SiteName {
    let position = u64::from(slot.0) * 100 / u64::from(service.slot_count.max(1));
    let mut upper = 0;
    for (site, share) in &service.site_shares {
        upper += u64::from(*share);
        if position < upper {
            return site.clone();
        }
    }
    service.site_shares.keys().next_back().unwrap_or(fallback).clone()
}
