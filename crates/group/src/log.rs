//! The replicated log in memory: a snapshot of what lies before it and the entries since.

use crate::voters::VoterSet;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// What is agreed with it.
    pub payload: Payload,
}

/// What an entry agrees on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// Opens a leader's term, so that it can count what earlier leaders left.
    Opening,
    /// A command of the host.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(VoterSet),
}

/// Bytes that an entry takes besides its command, in the log's own count.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Approximate size in bytes, for the bounds of log and messages.
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
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    snapshot: Vec<u8>,
    entries: Vec<Entry>,
    bytes: usize,
    /// Voter sets by the index that they are in force from, oldest first.
    voters: Vec<(u64, VoterSet)>,
}

impl Log {
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

    /// The term of the entry at `index`, if it or the snapshot's end is still here.
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

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        for entry in self.entries.drain(keep..) {
            self.bytes -= entry.size();
        }
        self.voters.retain(|(since, _)| *since < index);
    }

    /// Entries from `index` on, at most `budget` bytes but at least one.
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

    /// Replaces the entries up to `index` by the host's snapshot.
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

    /// The voters at the snapshot's end.
    pub fn base_voters(&self) -> VoterSet {
        let at_base = self.voters.iter().rev().find(|(since, _)| *since <= self.base_index);
        at_base.map(|(_, set)| set.clone()).unwrap_or_default()
    }

    /// The latest voters and the index that they are in force from.
    pub fn latest_voters(&self) -> Option<(u64, &VoterSet)> {
        self.voters.last().map(|(since, set)| (*since, set))
    }

    /// The voters before the latest.
    pub fn previous_voters(&self) -> Option<&VoterSet> {
        let position = self.voters.len().checked_sub(2)?;
        self.voters.get(position).map(|(_, set)| set)
    }
}
