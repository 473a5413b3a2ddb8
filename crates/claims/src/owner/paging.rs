//! The progress of each voter while all claims of a slot are collected from it or recorded on it, one page at a time.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Epoch, NodeId, RequestKey, Timestamp};

/// The progress of one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PageCursor {
    /// The number of the page in flight.
    pub page: u32,
    /// The last key of the previous page.
    pub after: Option<RequestKey>,
    /// The last key of the page in flight, when recording.
    pub through: Option<RequestKey>,
    /// Whether the page in flight is the last one, when recording.
    pub last: bool,
    pub done: bool,
    pub retry_at: Timestamp,
}

/// A paged transfer to or from several voters, each of which progresses independently.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PagedTransfer {
    /// Distinguishes this transfer from earlier ones of the same slot.
    pub round: Epoch,
    cursors: BTreeMap<NodeId, PageCursor>,
}

impl PagedTransfer {
    pub fn new(round: Epoch, voters: &BTreeSet<NodeId>) -> Self {
        let cursors = voters.iter().map(|voter| (*voter, PageCursor::default())).collect();
        PagedTransfer { round, cursors }
    }

    /// Replaces the set of voters: keeps the progress of those that remain and starts the new ones from the beginning.
    pub fn set_voters(&mut self, voters: &BTreeSet<NodeId>) {
        self.cursors.retain(|voter, _| voters.contains(voter));
        for voter in voters {
            self.cursors.entry(*voter).or_default();
        }
    }

    pub fn cursor_mut(&mut self, voter: NodeId) -> Option<&mut PageCursor> {
        self.cursors.get_mut(&voter)
    }

    /// The voters to which, or from which, all pages have been transferred.
    pub fn done(&self) -> BTreeSet<NodeId> {
        self.cursors.iter().filter(|(_, cursor)| cursor.done).map(|(voter, _)| *voter).collect()
    }

    /// The voters to which the next page or request should be sent now, for the first time or again.
    pub fn due(&self, now: Timestamp) -> Vec<NodeId> {
        let due = |(_, cursor): &(&NodeId, &PageCursor)| !cursor.done && cursor.retry_at <= now;
        self.cursors.iter().filter(due).map(|(voter, _)| *voter).collect()
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.cursors.values().filter(|cursor| !cursor.done).map(|cursor| cursor.retry_at).min()
    }
}
