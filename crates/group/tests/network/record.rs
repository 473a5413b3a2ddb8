//! The outputs to the hosts, and the invariants that they must satisfy.

use std::collections::BTreeMap;

use quillhatch_group::GroupIdentity;
use quillhatch_types::{NodeId, Timestamp};

/// Collects violations instead of panicking, so that a test can check that disabling a mechanism causes some.
#[derive(Default)]
pub struct Record {
    leaders: BTreeMap<(GroupIdentity, u64), NodeId>,
    commands: BTreeMap<(GroupIdentity, u64), (u64, Vec<u8>)>,
    pub violations: Vec<String>,
    pub elections: Vec<(Timestamp, u64)>,
    pub formations: BTreeMap<GroupIdentity, bool>,
}

impl Record {
    pub fn elected(&mut self, now: Timestamp, identity: GroupIdentity, term: u64, node: NodeId) {
        self.elections.push((now, term));
        let first = *self.leaders.entry((identity, term)).or_insert(node);
        if first != node {
            self.violations.push(format!("two leaders in term {term} of {identity:?}"));
        }
    }

    pub fn committed(&mut self, identity: GroupIdentity, index: u64, term: u64, command: Vec<u8>) {
        let first = self.commands.entry((identity, index)).or_insert_with(|| (term, command.clone()));
        if *first != (term, command) {
            self.violations.push(format!("two commands committed at index {index} of {identity:?}"));
        }
    }

    pub fn installed(&mut self, identity: GroupIdentity, index: u64, state: &BTreeMap<u64, Vec<u8>>) {
        for ((_, log_index), (_, command)) in self.commands.range((identity, 0)..=(identity, index)) {
            if state.get(log_index) != Some(command) {
                self.violations.push(format!("a snapshot lacks the command committed at index {log_index}"));
            }
        }
    }

    /// Checks that only the first group with committed commands reports that nothing was lost.
    pub fn formed(&mut self, identity: GroupIdentity, claims_lost: bool) {
        let earlier = self.commands.keys().any(|(other, _)| *other != identity);
        if self.formations.insert(identity, claims_lost).is_none() && earlier && !claims_lost {
            self.violations.push(format!("{identity:?} does not report that commands were lost"));
        }
    }

    pub fn leases(&mut self, now: Timestamp, holders: &[NodeId]) {
        if holders.len() > 1 {
            self.violations.push(format!("{} leaders hold a lease at {now}", holders.len()));
        }
    }

    pub fn committed_count(&self, identity: GroupIdentity) -> usize {
        self.commands.range((identity, 0)..=(identity, u64::MAX)).count()
    }

    /// The commands committed in one group, in log order.
    pub fn committed_commands(&self, identity: GroupIdentity) -> Vec<(u64, Vec<u8>)> {
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
