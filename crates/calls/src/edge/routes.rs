//! Merges the tables of a service's sites into one route per slot: its site and owner.
//!
//! Each site's group agrees on its own table. If two tables assign the same slot, the assignment with the higher epoch
//! wins. A wrong or outdated route costs only a redirect, since the gates check ownership themselves.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{
    Epoch, NodeId, ServiceConfiguration, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState,
};

/// The owner of a slot, which runs its non-repeatable calls, as known to the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOwner {
    /// The gate of this node.
    Known(NodeId),
    /// No owner: the slot is moving to another site.
    Moving,
    /// No known owner: a table is missing, or the slot is vacant.
    Unknown,
}

/// The route of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotRoute {
    /// The site that serves the slot's repeatable calls.
    pub(crate) site: SiteName,
    /// The owner that runs its non-repeatable calls.
    pub(crate) owner: SlotOwner,
    /// The epoch of the assignment.
    pub(crate) epoch: Epoch,
}

/// The tables of one service and the routes merged from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routes {
    tables: BTreeMap<SiteName, Arc<ServiceTable>>,
    slots: Vec<Option<SlotRoute>>,
}

impl Routes {
    /// The table of `site`, if it is known.
    pub(crate) fn table(&self, site: &SiteName) -> Option<&Arc<ServiceTable>> {
        self.tables.get(site)
    }

    /// Stores a table; returns whether it supersedes the known one.
    pub(crate) fn accept(&mut self, table: Arc<ServiceTable>) -> bool {
        let known = self.tables.get(&table.site);
        if known.is_some_and(|known| !table.supersedes(known)) {
            return false;
        }
        self.tables.insert(table.site.clone(), table);
        true
    }

    /// Drops the tables of sites that are no longer configured.
    pub(crate) fn retain_sites(&mut self, is_configured: impl Fn(&SiteName) -> bool) {
        self.tables.retain(|site, _| is_configured(site));
    }

    /// Recomputes the routes of all slots.
    pub(crate) fn rebuild(&mut self, configuration: &ServiceConfiguration) {
        let count = configuration.slot_count.max(1);
        self.slots = (0..count).map(|slot| self.merge(SlotId(slot))).collect();
    }

    /// The route of `slot`, if any table has it.
    pub(crate) fn slot(&self, slot: SlotId) -> Option<&SlotRoute> {
        self.slots.get(usize::from(slot.0)).and_then(Option::as_ref)
    }

    fn merge(&self, slot: SlotId) -> Option<SlotRoute> {
        let assignments = self.tables.iter().filter_map(|(site, table)| Some((site, table.slot(slot)?)));
        let (site, assignment) = assignments.max_by_key(|(_, found)| (found.epoch, precedence(&found.state)))?;
        let epoch = assignment.epoch;
        Some(match &assignment.state {
            SlotState::Owned { owner } => SlotRoute { site: site.clone(), owner: SlotOwner::Known(*owner), epoch },
            SlotState::Sealed { .. } => SlotRoute { site: site.clone(), owner: SlotOwner::Moving, epoch },
            SlotState::Vacant => SlotRoute { site: site.clone(), owner: SlotOwner::Unknown, epoch },
            SlotState::Elsewhere { site: other } => self.follow(slot, other, assignment),
        })
    }

    /// The route of a slot that is assigned to another site: the owner is taken from that site's own table, if known.
    fn follow(&self, slot: SlotId, site: &SiteName, assignment: &SlotAssignment) -> SlotRoute {
        let there = self.tables.get(site).and_then(|table| table.slot(slot));
        let owner = match there.map(|found| &found.state) {
            Some(SlotState::Owned { owner }) => SlotOwner::Known(*owner),
            _ => SlotOwner::Unknown,
        };
        SlotRoute { site: site.clone(), owner, epoch: assignment.epoch }
    }
}

/// Orders assignments of the same epoch by how much they say about the owner.
fn precedence(state: &SlotState) -> u8 {
    match state {
        SlotState::Owned { .. } => 3,
        SlotState::Sealed { .. } => 2,
        SlotState::Elsewhere { .. } => 1,
        SlotState::Vacant => 0,
    }
}

/// The site of a slot that is in no known table, by the site shares with which the service's groups are first formed.
pub(crate) fn site_by_share(configuration: &ServiceConfiguration, slot: SlotId) -> Option<SiteName> {
    let total: u32 = configuration.site_shares.values().map(|share| u32::from(*share)).sum();
    let count = u32::from(configuration.slot_count.max(1));
    let mut below = 0;
    for (site, share) in &configuration.site_shares {
        below += u32::from(*share);
        if u32::from(slot.0) * total < below * count {
            return Some(site.clone());
        }
    }
    configuration.targets.first().map(|target| target.site.clone())
}
