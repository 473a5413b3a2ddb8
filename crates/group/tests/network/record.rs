//! What the hosts saw, and the promises that it must keep.

use std::collections::BTreeMap;

use quillhatch_group::GroupIdentity;
use quillhatch_types::{NodeId, Timestamp};

/// Collects broken promises instead of failing at once, so that a test can ask for them with a mechanism off.
#[derive(Default)]
pub struct Record {
    leaders: BTreeMap<(GroupIdentity, u64), NodeId>,
    commands: BTreeMap<(GroupIdentity, u64), (u64, Vec<u8>)>,
    pub broken: Vec<String>,
    pub elections: Vec<(Timestamp, u64)>,
    pub formations: BTreeMap<GroupIdentity, bool>,
}

impl Record {
    pub fn elected(&mut self, now: Timestamp, identity: GroupIdentity, term: u64, node: NodeId) {
        self.elections.push((now, term));
        let first = *self.leaders.entry((identity, term)).or_insert(node);
        if first != node {
            self.broken.push(format!("two leaders in term {term} of {identity:?}"));
        }
    }

    pub fn committed(&mut self, identity: GroupIdentity, index: u64, term: u64, command: Vec<u8>) {
        let first = self.commands.entry((identity, index)).or_insert_with(|| (term, command.clone()));
        if *first != (term, command) {
            self.broken.push(format!("two commands agreed at {index} of {identity:?}"));
        }
    }

    pub fn installed(&mut self, identity: GroupIdentity, index: u64, state: &BTreeMap<u64, Vec<u8>>) {
        for ((_, place), (_, command)) in self.commands.range((identity, 0)..=(identity, index)) {
            if state.get(place) != Some(command) {
                self.broken.push(format!("a snapshot lacks what was agreed at {place}"));
            }
        }
    }

    /// A group that says that nothing was lost must be the first in which anything was agreed.
    pub fn formed(&mut self, identity: GroupIdentity, claims_lost: bool) {
        let earlier = self.commands.keys().any(|(other, _)| *other != identity);
        if self.formations.insert(identity, claims_lost).is_none() && earlier && !claims_lost {
            self.broken.push(format!("{identity:?} does not say that commands were lost"));
        }
    }

    pub fn leases(&mut self, now: Timestamp, holders: &[NodeId]) {
        if holders.len() > 1 {
            self.broken.push(format!("{} leaders hold a lease at {now}", holders.len()));
        }
    }

    pub fn agreed_count(&self, identity: GroupIdentity) -> usize {
        self.commands.range((identity, 0)..=(identity, u64::MAX)).count()
    }

    /// The commands agreed in one group, in order.
    pub fn agreed(&self, identity: GroupIdentity) -> Vec<(u64, Vec<u8>)> {
        let range = self.commands.range((identity, 0)..=(identity, u64::MAX));
        range.map(|((_, index), (_, command))| (*index, command.clone())).collect()
    }
}

pub fn encode_state(state: &BTreeMap<u64, Vec<u8>>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (index, command) in state {
        bytes.extend(index.to_le_bytes());
        bytes.extend((command.len() as u64).to_le_bytes());
        bytes.extend(command);
    }
    bytes
}

pub fn decode_state(mut bytes: &[u8]) -> BTreeMap<u64, Vec<u8>> {
    let mut state = BTreeMap::new();
    while !bytes.is_empty() {
        let index = u64::from_le_bytes(bytes[..8].try_into().unwrap());
        let size = u64::from_le_bytes(bytes[8..16].try_into().unwrap()) as usize;
        state.insert(index, bytes[16..16 + size].to_vec());
        bytes = &bytes[16 + size..];
    }
    state
}
