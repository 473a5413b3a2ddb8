//! What callers do and see, and what a test may ask of the network.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_control::io::ControlEvent;
use quillhatch_types::{NodeAddress, ServiceTable, SlotId, SlotState};
use rand::Rng;

use super::fixtures::{self, address};
use super::{Network, SimulatedNode};

/// Keys that callers repeat at a time; each is repeated for a while and then never used again.
const KEYS_IN_USE: u64 = 64;
const CALLS_PER_KEY: u64 = 32;
pub const CALLS_PER_STEP: u64 = 4;

impl Network {
    /// A caller repeats one of a few keys at any node, whatever the tables say: only an owner may run it.
    pub fn call_somewhere(&mut self) {
        let index = self.random.gen_range(0..self.nodes.len());
        let key = self.calls / CALLS_PER_KEY + self.random.gen_range(0..KEYS_IN_USE);
        self.calls += 1;
        let Some(node) = self.nodes.values().nth(index).filter(|node| node.gate_open && !node.paused) else {
            return;
        };
        let slot = SlotId((key % u64::from(fixtures::SLOTS)) as u16);
        let claims = self.sites.entry(node.place.site.clone()).or_default();
        if node.owner.owns(self.now, slot) && claims.claim(slot, node.owner.open[&slot], key) {
            *self.runs.entry(key).or_default() += 1;
            *self.runs_by_site.entry(node.place.site.clone()).or_default() += 1;
        }
    }

    pub fn count_overlaps(&mut self) {
        for slot in (0..fixtures::SLOTS).map(SlotId) {
            let willing = |node: &&SimulatedNode| node.gate_open && node.owner.owns(self.now, slot);
            let owners = self.nodes.values().filter(willing).count();
            self.overlapping_owners += u32::from(owners > 1);
        }
    }

    /// The newest table of a site among all nodes.
    pub fn table(&self, site: &str) -> Arc<ServiceTable> {
        let site = fixtures::site(site);
        let tables = self.nodes.values().filter_map(|node| node.tables.get(&site));
        tables.max_by_key(|table| (table.generation, table.epoch)).cloned().expect("a table is known")
    }

    /// Slots that a gate of the site owns in its newest table.
    pub fn owned(&self, site: &str) -> usize {
        let table = self.table(site);
        table.slots.iter().filter(|slot| matches!(slot.state, SlotState::Owned { .. })).count()
    }

    /// The leader of the site's group; waits while there is none.
    pub fn leader(&mut self, site: &str) -> NodeAddress {
        self.run_until(Duration::from_secs(10), |network| network.present_leader(site).is_some());
        self.present_leader(site).expect("a leader is elected within ten seconds")
    }

    fn present_leader(&self, site: &str) -> Option<NodeAddress> {
        let leads = |node: &&SimulatedNode| {
            let latest = node.events.iter().rev().find_map(|event| match event {
                ControlEvent::Leadership { leading, .. } => Some(*leading),
                _ => None,
            });
            node.place.site == fixtures::site(site) && latest == Some(true)
        };
        self.nodes.values().find(leads).map(|node| node.id.address)
    }

    pub fn doubled_keys(&self) -> usize {
        self.runs.values().filter(|count| **count > 1).count()
    }

    pub fn node(&self, number: u8) -> &SimulatedNode {
        &self.nodes[&address(number)]
    }
}
