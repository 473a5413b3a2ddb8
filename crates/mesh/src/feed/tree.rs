//! Who reads the store, and who asks whom: worked out from the list of targets alone.

use std::collections::{BTreeMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

use crate::limits::machine_hash;
use crate::targets::Target;

/// The nodes that ask one parent.
pub const FANOUT: usize = 16;
/// The nodes that read the store, whatever the fleet's size: two may be lost or turned away at once, and their calls are all that is paid
/// for.
const READERS: usize = 3;
/// The nodes of a zone next to its heads that are asked when these fail; they are the first to read the store then.
const STAND_BY: usize = 2;
/// The heads that a node asks when its own zone's fail: the readers, and as many again as may be lost of these at once.
const HEADS_ASKED: usize = READERS + 2;

/// A machine's place in an order that is the same at all nodes.
type Place = (u64, IpAddr);

fn place(machine: IpAddr) -> Place {
    (machine_hash(machine), machine)
}

/// The machines of each zone in the order that decides who reads.
#[derive(Clone, Debug, Default)]
pub struct FeedTree {
    zones: BTreeMap<Arc<str>, Vec<Place>>,
}

/// What a node does in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedRole {
    /// Whether it reads the store.
    pub is_reader: bool,
    /// Whether it is a head of its zone.
    pub is_head: bool,
    /// The nodes that go before it when readers fail: among the heads, or a head and nodes of its zone.
    pub nodes_ahead: usize,
    /// Whom it asks: the first one that answers and can get at the store.
    pub candidates: Vec<FeedCandidate>,
}

/// A node that another one may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedCandidate {
    /// Its machine.
    pub machine: IpAddr,
    /// Whether it stands before the asking node in the tree: nearer to the readers, in an order that is the same at all nodes. What others tell
    /// of themselves may come from the asking node itself.
    pub is_upstream: bool,
}

impl FeedTree {
    /// The tree of the listed targets' machines. Those that are leaving are left out: nobody should begin to follow them.
    pub fn new<'a>(targets: impl Iterator<Item = &'a Arc<Target>>) -> Self {
        let mut zones: BTreeMap<Arc<str>, Vec<Place>> = BTreeMap::new();
        for target in targets {
            let registration = &target.registration;
            if registration.draining {
                continue;
            }
            zones.entry(registration.zone.clone()).or_default().push(place(registration.address.ip()));
        }
        for members in zones.values_mut() {
            members.sort_unstable();
            members.dedup();
        }
        FeedTree { zones }
    }

    /// The heads of each zone: the first one, and more where there are few zones, so that some heads do not read.
    fn heads_each(&self) -> usize {
        HEADS_ASKED.div_ceil(self.zones.len().max(1))
    }

    /// The heads of all zones. The first ones of them read the store.
    fn heads(&self) -> Vec<Place> {
        let each = self.heads_each();
        let mut heads: Vec<Place> =
            self.zones.values().flat_map(|members| members.iter().take(each)).copied().collect();
        heads.sort_unstable();
        heads
    }

    /// What the node on `machine` in `zone` does. One that is not listed yet reads nothing.
    pub fn role_of(&self, machine: IpAddr, zone: &str) -> FeedRole {
        let own = place(machine);
        let each = self.heads_each();
        let members: &[Place] = self.zones.get(zone).map_or(&[], Vec::as_slice);
        let rank = members.partition_point(|other| *other < own);
        let heads = self.heads();
        let readers = heads.len().min(READERS);
        let among_heads = heads.binary_search(&own).ok();
        let reads = among_heads.is_some_and(|number| number < readers);

        let mut candidates: Vec<Place> = Vec::new();
        if let Some(number) = among_heads {
            // Readers ask each other in a ring; the other heads are spread over the readers.
            let after = (number + 1) % readers;
            candidates.extend((0..readers).map(|step| heads[(after + step) % readers]));
        } else {
            candidates.extend(rank.checked_sub(each).into_iter().flat_map(|below| parents(below, members)));
        }
        candidates.extend(members.iter().take(each + STAND_BY));
        candidates.extend(heads.iter().take(HEADS_ASKED));
        let mut seen = HashSet::from([own]);
        candidates.retain(|candidate| seen.insert(*candidate));
        let is_before = |candidate: &Place| match (among_heads, heads.binary_search(candidate)) {
            (Some(own), Ok(other)) => !reads && other < own,
            (Some(_), Err(_)) => false,
            (None, Ok(_)) => true,
            (None, Err(_)) => *candidate < own,
        };
        let candidate = |other: &Place| FeedCandidate { machine: other.1, is_upstream: is_before(other) };
        let candidates = candidates.iter().map(candidate).collect();

        let ahead = match among_heads {
            Some(number) => number.saturating_sub(readers),
            None => 1 + rank.saturating_sub(each),
        };
        FeedRole { is_reader: reads, is_head: among_heads.is_some(), nodes_ahead: ahead, candidates }
    }
}

/// The parent of the node that stands at `below` among those that are no heads, and a stand-in for it: the children of a parent that is lost
/// spread over the others of its level.
fn parents(below: usize, members: &[Place]) -> [Place; 2] {
    let parent = below / FANOUT;
    let stand_in = (parent + 1 + below % FANOUT) % (parent + 1);
    [members[parent], members[stand_in]]
}
