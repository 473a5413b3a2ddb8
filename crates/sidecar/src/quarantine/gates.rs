//! The other gates of this node's service.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use quillhatch_types::Timestamp;
use rand::seq::SliceRandom;
use rand::Rng;

/// How long a machine counts as a gate of the service after its target was last listed. A target that has crashed is
/// listed again within seconds, and its gate must receive evidence in between.
const UNLISTED_GATE_RETENTION: Duration = Duration::from_secs(60);

/// The machines of the other targets of the service, whose nodes are their gates.
#[derive(Debug, Default)]
pub(super) struct ServiceGates {
    /// When each machine was last listed, as of the last change of the list.
    last_listed: HashMap<IpAddr, Timestamp>,
    /// The machines that are listed now.
    current: Vec<IpAddr>,
}

impl ServiceGates {
    /// Updates the machines after a change of the list of targets; `machines` are those of the service now.
    pub(super) fn update(&mut self, machines: impl Iterator<Item = IpAddr>, now: Timestamp) {
        let previous = std::mem::replace(&mut self.current, machines.collect());
        for machine in previous.iter().chain(&self.current) {
            self.last_listed.insert(*machine, now);
        }
        let current = &self.current;
        self.last_listed.retain(|machine, last_listed| {
            current.contains(machine) || now.since(*last_listed) < UNLISTED_GATE_RETENTION
        });
    }

    /// Whether no other gate is known.
    pub(super) fn is_empty(&self) -> bool {
        self.last_listed.is_empty()
    }

    /// A random sample of at most `limit` machines.
    pub(super) fn sample(&self, random: &mut impl Rng, limit: usize) -> Vec<IpAddr> {
        let mut machines: Vec<IpAddr> = self.last_listed.keys().copied().collect();
        machines.sort_unstable();
        let (sample, _) = machines.partial_shuffle(random, limit);
        sample.to_vec()
    }
}
