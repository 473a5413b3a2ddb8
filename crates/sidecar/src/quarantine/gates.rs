//! The other gates of the service.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use quillhatch_types::Timestamp;
use rand::seq::SliceRandom;
use rand::Rng;

/// For how long a machine counts as one of the service after its target was listed last. A target that has crashed is listed again within
/// seconds, and its gate must not miss the news meanwhile.
const PEER_REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// The machines whose nodes stand before the other targets of the service.
#[derive(Debug, Default)]
pub(super) struct ServiceGates {
    /// When each was listed last before a change of the list.
    listed: HashMap<IpAddr, Timestamp>,
    /// Those that are listed now.
    present: Vec<IpAddr>,
}

impl ServiceGates {
    /// The list of targets has changed; `machines` are those of the service now.
    pub(super) fn update(&mut self, machines: impl Iterator<Item = IpAddr>, now: Timestamp) {
        let former = std::mem::replace(&mut self.present, machines.collect());
        for machine in former.iter().chain(&self.present) {
            self.listed.insert(*machine, now);
        }
        let present = &self.present;
        self.listed.retain(|machine, listed| present.contains(machine) || now.since(*listed) < PEER_REMEMBERED_FOR);
    }

    /// Whether none is known.
    pub(super) fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Some of them, at random.
    pub(super) fn some(&self, random: &mut impl Rng, most: usize) -> Vec<IpAddr> {
        let mut peers: Vec<IpAddr> = self.listed.keys().copied().collect();
        peers.sort_unstable();
        let (some, _) = peers.partial_shuffle(random, most);
        some.to_vec()
    }
}
