//! Which nodes read the store, and which node queries which: derived from the list of targets alone.

use std::collections::{BTreeMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::standby::STANDBYS;
use crate::limits::machine_hash;
use crate::settings::Bounds;
use crate::targets::Target;

/// The maximum number of nodes that have the same parent in a zone's tree.
pub const FANOUT: usize = 16;
/// The number of nodes that read the store, whatever the size of the fleet: two of them may be lost or refused by the
/// store at the same time, and no more calls than theirs are paid for.
const READERS: usize = 3;
/// The number of nodes per zone, in addition to its heads, that are queried when the heads fail. They are also the
/// first to read the store then.
const STANDBYS_PER_ZONE: usize = 2;
/// The number of heads of all zones that a node queries when those of its own zone fail: the readers, and as many more
/// as may be lost of them at the same time.
const FALLBACK_HEADS: usize = READERS + 2;

/// Sorts machines in an order that is the same at all nodes.
type OrderKey = (u64, IpAddr);

fn order_key(machine: IpAddr) -> OrderKey {
    (machine_hash(machine), machine)
}

/// The machines of each zone in the order that decides on their roles.
#[derive(Clone, Debug, Default)]
pub struct FeedTree {
    zones: BTreeMap<Arc<str>, Vec<OrderKey>>,
}

/// The role of a node in the distribution of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedRole {
    /// Whether it reads the store.
    pub is_reader: bool,
    /// The number of readers before it in the order of the heads, if it is a reader.
    pub reader_index: Option<usize>,
    /// Whether it is a head of its zone.
    pub is_head: bool,
    /// Whether it holds a standby watch.
    pub is_standby: bool,
    /// The number of nodes that take over from failing readers before this one: other heads if it is a head, else its
    /// zone's head and the nodes of its zone that precede it.
    pub nodes_ahead: usize,
    /// The nodes that it may follow, in order of preference: it follows the first one that responds and can reach the
    /// store.
    pub candidates: Vec<FeedCandidate>,
}

/// A node that another one may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedCandidate {
    /// Its machine.
    pub machine: IpAddr,
    /// Whether it is nearer to the readers than the querying node, in an order that is the same at all nodes. What a
    /// node that is not upstream reports may come from the querying node itself.
    pub is_upstream: bool,
}

impl FeedRole {
    /// The pause between a response of the store with changes and the next watch; `follows_changes` if the response
    /// before contained changes too.
    ///
    /// The first of several changes ends the watches of all readers at once. Their first pauses have different lengths,
    /// so that one of them soon receives what follows. While changes follow each other, each reader makes one call per
    /// window.
    pub fn batch_pause(&self, follows_changes: bool, bounds: &Bounds) -> Duration {
        let window = bounds.batch_window();
        match self.reader_index {
            Some(index) if !follows_changes => window.mul_f64((index + 1) as f64 / READERS as f64),
            _ => window,
        }
    }
}

impl FeedTree {
    /// Builds the tree from the machines of the listed targets. Draining targets are left out, so that no node starts
    /// to follow theirs.
    pub fn new<'a>(targets: impl Iterator<Item = &'a Arc<Target>>) -> Self {
        let mut zones: BTreeMap<Arc<str>, Vec<OrderKey>> = BTreeMap::new();
        for target in targets {
            let registration = &target.registration;
            if registration.draining {
                continue;
            }
            zones.entry(registration.zone.clone()).or_default().push(order_key(registration.address.ip()));
        }
        for members in zones.values_mut() {
            members.sort_unstable();
            members.dedup();
        }
        FeedTree { zones }
    }

    /// The number of heads of each zone: one, and more where there are few zones, so that some heads are not readers.
    fn heads_per_zone(&self) -> usize {
        FALLBACK_HEADS.div_ceil(self.zones.len().max(1))
    }

    /// The heads of all zones in order. The first [`READERS`] of them read the store.
    fn heads(&self) -> Vec<OrderKey> {
        let heads_per_zone = self.heads_per_zone();
        let mut heads: Vec<OrderKey> =
            self.zones.values().flat_map(|members| members.iter().take(heads_per_zone)).copied().collect();
        heads.sort_unstable();
        heads
    }

    /// The role of the node on `machine` in `zone`. A node whose machine is not listed yet is no reader.
    pub fn role_of(&self, machine: IpAddr, zone: &str) -> FeedRole {
        let own = order_key(machine);
        let heads_per_zone = self.heads_per_zone();
        let members: &[OrderKey] = self.zones.get(zone).map_or(&[], Vec::as_slice);
        let zone_index = members.partition_point(|other| *other < own);
        let heads = self.heads();
        let readers = heads.len().min(READERS);
        let head_index = heads.binary_search(&own).ok();
        let reader_index = head_index.filter(|index| *index < readers);
        let is_reader = reader_index.is_some();

        let mut candidates: Vec<OrderKey> = Vec::new();
        if let Some(index) = head_index {
            // Readers query each other in a ring; the other heads are spread over the readers.
            let next = (index + 1) % readers;
            candidates.extend((0..readers).map(|step| heads[(next + step) % readers]));
        } else {
            candidates
                .extend(zone_index.checked_sub(heads_per_zone).into_iter().flat_map(|index| parents(index, members)));
        }
        candidates.extend(members.iter().take(heads_per_zone + STANDBYS_PER_ZONE));
        candidates.extend(heads.iter().take(FALLBACK_HEADS));
        let mut seen = HashSet::from([own]);
        candidates.retain(|candidate| seen.insert(*candidate));
        let is_upstream = |candidate: &OrderKey| match (head_index, heads.binary_search(candidate)) {
            (Some(own), Ok(other)) => !is_reader && other < own,
            (Some(_), Err(_)) => false,
            (None, Ok(_)) => true,
            (None, Err(_)) => *candidate < own,
        };
        let candidate = |other: &OrderKey| FeedCandidate { machine: other.1, is_upstream: is_upstream(other) };
        let candidates = candidates.iter().map(candidate).collect();

        let nodes_ahead = match head_index {
            Some(index) => index.saturating_sub(readers),
            None => 1 + zone_index.saturating_sub(heads_per_zone),
        };
        let is_standby = head_index.is_some_and(|index| (readers..readers + STANDBYS).contains(&index));
        FeedRole { is_reader, reader_index, is_standby, is_head: head_index.is_some(), nodes_ahead, candidates }
    }
}

/// The parent of the node with the given index among the nodes of its zone that are not heads, and a substitute parent.
/// When a parent is lost, its children are spread over the nodes that precede it.
fn parents(index: usize, members: &[OrderKey]) -> [OrderKey; 2] {
    let parent = index / FANOUT;
    let substitute = (parent + 1 + index % FANOUT) % (parent + 1);
    [members[parent], members[substitute]]
}
