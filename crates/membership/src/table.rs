//! All members that a node knows of.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Incarnation, NodeAddress, NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};

/// A member and when its status last changed on this node's clock.
#[derive(Clone, Debug)]
pub struct Member {
    /// What is known.
    pub record: MemberRecord,
    /// Since when.
    pub since: Timestamp,
}

/// The members by node, with an index by zone and a digest per zone.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    zones: BTreeMap<ZoneId, BTreeSet<NodeId>>,
    digests: BTreeMap<ZoneId, u64>,
    /// Members whose status runs out or is forgotten with time: the suspected, the failed and those that left.
    ageing: BTreeSet<NodeId>,
}

impl MemberTable {
    /// The member `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// The number of members held, failed ones included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is held.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members, by node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The zones of which any member is held.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// The members of a zone.
    pub fn in_zone<'a>(&'a self, zone: &ZoneId) -> impl Iterator<Item = &'a Member> + 'a {
        self.zones.get(zone).into_iter().flatten().filter_map(|node| self.members.get(node))
    }

    /// The members that are or were at an address, by run.
    pub fn at_address(&self, address: NodeAddress) -> impl Iterator<Item = &Member> {
        let first = NodeId { address, incarnation: Incarnation(0) };
        let last = NodeId { address, incarnation: Incarnation(u64::MAX) };
        self.members.range(first..=last).map(|(_, member)| member)
    }

    /// The members of a zone that take part.
    pub fn present_in_zone<'a>(&'a self, zone: &ZoneId) -> impl Iterator<Item = &'a MemberInfo> + 'a {
        self.in_zone(zone).filter(|member| member.record.status.is_present()).map(|member| &member.record.info)
    }

    /// Stores `record`, in place of what was known of the member.
    pub fn set(&mut self, record: MemberRecord, now: Timestamp) {
        let node = record.info.node;
        self.remove(&node);
        let zone = record.info.zone.clone();
        *self.digests.entry(zone.clone()).or_default() ^= digest(&record);
        self.zones.entry(zone).or_default().insert(node);
        if record.status != MemberStatus::Alive {
            self.ageing.insert(node);
        }
        self.members.insert(node, Member { record, since: now });
    }

    /// Forgets a member.
    pub fn remove(&mut self, node: &NodeId) {
        let Some(member) = self.members.remove(node) else { return };
        self.ageing.remove(node);
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

    /// The members that are not alive, whose state changes with time.
    pub fn ageing(&self) -> impl Iterator<Item = &Member> {
        self.ageing.iter().filter_map(|node| self.members.get(node))
    }

    /// A digest of all that is known of a zone; equal knowledge gives an equal digest.
    pub fn digest(&self, zone: &ZoneId) -> u64 {
        self.digests.get(zone).copied().unwrap_or_default()
    }
}

fn digest(record: &MemberRecord) -> u64 {
    // Suspicion passes quickly; leaving it out keeps digests equal while it is decided.
    let present = record.status.is_present();
    let text = format!("{} {} {}", record.info.node, record.refutation, present);
    xxh3_64(text.as_bytes())
}
