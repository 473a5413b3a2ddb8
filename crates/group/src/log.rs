//! The replicated log in memory: a snapshot and the entries after it.

use crate::voters::VoterSet;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// The content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// First entry of a leader's term; once it commits, the entries of earlier terms are committed too.
    Opening,
    /// A command of the host.
    Command(Vec<u8>),
    /// The voters from this entry onward.
    Voters(VoterSet),
}

/// Bytes that the log counts per entry in addition to its payload, and per address in a voter set.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Approximate size in bytes, for the size limits of the log and of messages.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Opening => 0,
            Payload::Command(command) => command.len(),
            Payload::Voters(set) => (set.voters.len() + set.electorate.len()) * ENTRY_OVERHEAD_BYTES,
        };
        payload + ENTRY_OVERHEAD_BYTES
    }
}

/// The log; indices start at one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReplicatedLog {
    base_index: u64,
    base_term: u64,
    snapshot: Vec<u8>,
    entries: Vec<Entry>,
    bytes: usize,
    /// Voter sets and the index from which each is in effect, oldest first.
    voters: Vec<(u64, VoterSet)>,
}

impl ReplicatedLog {
    /// A log that starts after a snapshot.
    pub fn from_snapshot(index: u64, term: u64, voters: VoterSet, snapshot: Vec<u8>) -> Self {
        let voters = vec![(index, voters)];
        Self { base_index: index, base_term: term, snapshot, entries: Vec::new(), bytes: 0, voters }
    }

    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    pub fn base_term(&self) -> u64 {
        self.base_term
    }

    pub fn snapshot(&self) -> &[u8] {
        &self.snapshot
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The term at `index`, if the entry is in the log or is the last one in the snapshot.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub fn append(&mut self, entry: Entry) -> u64 {
        self.bytes += entry.size();
        let index = self.last_index() + 1;
        if let Payload::Voters(set) = &entry.payload {
            self.voters.push((index, set.clone()));
        }
        self.entries.push(entry);
        index
    }

    /// Removes the entries from `index` onward.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        for entry in self.entries.drain(keep..) {
            self.bytes -= entry.size();
        }
        self.voters.retain(|(since, _)| *since < index);
    }

    /// The entries from `index` onward, at most `budget` bytes, but at least one entry if there is any.
    pub fn batch_from(&self, index: u64, budget: usize) -> Vec<Entry> {
        let offset = index.saturating_sub(self.base_index + 1) as usize;
        let mut size = 0;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(offset) {
            size += entry.size();
            if size > budget && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Replaces the entries up to `index` with the host's snapshot.
    pub fn compact(&mut self, index: u64, snapshot: Vec<u8>) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = (index - self.base_index) as usize;
        for entry in self.entries.drain(..count) {
            self.bytes -= entry.size();
        }
        self.base_index = index;
        self.base_term = term;
        self.snapshot = snapshot;
        let newest_before = self.voters.iter().rposition(|(since, _)| *since <= index).unwrap_or(0);
        self.voters.drain(..newest_before);
    }

    /// The voters in effect at the last index of the snapshot.
    pub fn base_voters(&self) -> VoterSet {
        let at_base = self.voters.iter().rev().find(|(since, _)| *since <= self.base_index);
        at_base.map(|(_, set)| set.clone()).unwrap_or_default()
    }

    /// The latest voters and the index from which they are in effect.
    pub fn latest_voters(&self) -> Option<(u64, &VoterSet)> {
        self.voters.last().map(|(since, set)| (*since, set))
    }

    /// The voter set before the latest one.
    pub fn previous_voters(&self) -> Option<&VoterSet> {
        let position = self.voters.len().checked_sub(2)?;
        self.voters.get(position).map(|(_, set)| set)
    }
}
