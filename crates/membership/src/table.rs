//! The table of all members known to a node.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Incarnation, NodeAddress, NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};

/// A member's record and when it was stored, on this node's clock.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest record.
    pub record: MemberRecord,
    /// When the record was stored, or when its suspicion timeout was restarted.
    pub since: Timestamp,
}

/// The members by node, with an index and a digest per zone.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    zones: BTreeMap<ZoneId, BTreeSet<NodeId>>,
    digests: BTreeMap<ZoneId, u64>,
    /// Members whose status has a timeout: suspected, failed and left.
    expiring: BTreeSet<NodeId>,
}

impl MemberTable {
    /// Looks up the member `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// The number of members in the table, including failed ones and those that left.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members, ordered by node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The zones with at least one member in the table.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// The members of a zone, whatever their status.
    pub fn in_zone<'a>(&'a self, zone: &ZoneId) -> impl Iterator<Item = &'a Member> + 'a {
        self.zones.get(zone).into_iter().flatten().filter_map(|node| self.members.get(node))
    }

    /// The members that use or used an address, ordered by incarnation.
    pub fn at_address(&self, address: NodeAddress) -> impl Iterator<Item = &Member> {
        let first = NodeId { address, incarnation: Incarnation(0) };
        let last = NodeId { address, incarnation: Incarnation(u64::MAX) };
        self.members.range(first..=last).map(|(_, member)| member)
    }

    /// The alive and suspected members of a zone.
    pub fn present_in_zone<'a>(&'a self, zone: &ZoneId) -> impl Iterator<Item = &'a MemberInfo> + 'a {
        self.in_zone(zone).filter(|member| member.record.status.is_present()).map(|member| &member.record.info)
    }

    /// Stores `record`, replacing an older record of the same member, and restarts the timeout of its status.
    pub fn set(&mut self, record: MemberRecord, now: Timestamp) {
        let node = record.info.node;
        self.remove(&node);
        let zone = record.info.zone.clone();
        *self.digests.entry(zone.clone()).or_default() ^= digest(&record);
        self.zones.entry(zone).or_default().insert(node);
        if record.status != MemberStatus::Alive {
            self.expiring.insert(node);
        }
        self.members.insert(node, Member { record, since: now });
    }

    /// Removes a member.
    pub fn remove(&mut self, node: &NodeId) {
        let Some(member) = self.members.remove(node) else { return };
        self.expiring.remove(node);
        let zone = &member.record.info.zone;
        if let Some(value) = self.digests.get_mut(zone) {
            *value ^= digest(&member.record);
        }
        if let Some(nodes) = self.zones.get_mut(zone) {
            nodes.remove(node);
            if nodes.is_empty() {
                self.zones.remove(zone);
                self.digests.remove(zone);
            }
        }
    }

    /// The members whose status has a timeout: suspected, failed and left.
    pub fn expiring(&self) -> impl Iterator<Item = &Member> {
        self.expiring.iter().filter_map(|node| self.members.get(node))
    }

    /// The digest of a zone's records. Suspicion does not change it, so equal sets of records give equal digests.
    pub fn digest(&self, zone: &ZoneId) -> u64 {
        self.digests.get(zone).copied().unwrap_or_default()
    }
}

fn digest(record: &MemberRecord) -> u64 {
    // Suspicion is short-lived. Excluding it keeps digests equal until the member refutes or is declared failed.
    let present = record.status.is_present();
    let text = format!("{} {} {}", record.info.node, record.refutation, present);
    xxh3_64(text.as_bytes())
}
