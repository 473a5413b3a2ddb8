//! Merges the tables of a service's sites into one answer to "which site and owner has this slot".
//!
//! Each site's group agrees on its own table. Of two tables' assignments of a slot the one with the higher epoch wins; a
//! wrong or old view costs a redirect and no more, since the gates check ownership themselves.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{
    Epoch, NodeId, ServiceConfiguration, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState,
};

/// Who runs the non-repeatable calls of a slot, as far as the edge knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOwner {
    /// This gate.
    Known(NodeId),
    /// Nobody at present: the slot is on its way to another site.
    Moving,
    /// Not known: no table, or the slot is vacant.
    Unknown,
}

/// Where the calls of a slot go.
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

    /// Takes a table in; returns whether it is news.
    pub(crate) fn accept(&mut self, table: Arc<ServiceTable>) -> bool {
        let known = self.tables.get(&table.site);
        if known.is_some_and(|known| !table.supersedes(known)) {
            return false;
        }
        self.tables.insert(table.site.clone(), table);
        true
    }

    /// Forgets the tables of sites that are no longer configured.
    pub(crate) fn retain_sites(&mut self, is_configured: impl Fn(&SiteName) -> bool) {
        self.tables.retain(|site, _| is_configured(site));
    }

    /// Merges the tables anew.
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

    /// The slot is at another site: what that site's own table says of the owner, if it has one.
    fn follow(&self, slot: SlotId, site: &SiteName, assignment: &SlotAssignment) -> SlotRoute {
        let there = self.tables.get(site).and_then(|table| table.slot(slot));
        let owner = match there.map(|found| &found.state) {
            Some(SlotState::Owned { owner }) => SlotOwner::Known(*owner),
            _ => SlotOwner::Unknown,
        };
        SlotRoute { site: site.clone(), owner, epoch: assignment.epoch }
    }
}

/// Which of two assignments of the same epoch says more about the owner.
fn precedence(state: &SlotState) -> u8 {
    match state {
        SlotState::Owned { .. } => 3,
        SlotState::Sealed { .. } => 2,
        SlotState::Elsewhere { .. } => 1,
        SlotState::Vacant => 0,
    }
}

/// The site of a slot that no table has, by the shares with which the service's groups are first formed.
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
