//! Where each voter stands while all claims of a slot are collected from it or recorded on it, a page at a time.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Epoch, NodeId, RequestKey, Timestamp};

/// Where one voter stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Cursor {
    /// The number of the page that is on its way.
    pub page: u32,
    /// The last key of the page before.
    pub after: Option<RequestKey>,
    /// The last key of the page on its way, when recording.
    pub through: Option<RequestKey>,
    /// Whether the page on its way is the last, when recording.
    pub last: bool,
    pub done: bool,
    pub retry_at: Timestamp,
}

/// Pages going to or coming from several voters, each at its own pace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Paging {
    /// Tells this paging from an earlier one of the same slot.
    pub round: Epoch,
    cursors: BTreeMap<NodeId, Cursor>,
}

impl Paging {
    pub fn new(round: Epoch, voters: &BTreeSet<NodeId>) -> Self {
        let cursors = voters.iter().map(|voter| (*voter, Cursor::default())).collect();
        Paging { round, cursors }
    }

    /// Keeps what the voters that remain have done, and begins with those that are new.
    pub fn set_voters(&mut self, voters: &BTreeSet<NodeId>) {
        self.cursors.retain(|voter, _| voters.contains(voter));
        for voter in voters {
            self.cursors.entry(*voter).or_default();
        }
    }

    pub fn cursor_mut(&mut self, voter: NodeId) -> Option<&mut Cursor> {
        self.cursors.get_mut(&voter)
    }

    /// The voters that have everything, or from which everything was received.
    pub fn done(&self) -> BTreeSet<NodeId> {
        self.cursors.iter().filter(|(_, cursor)| cursor.done).map(|(voter, _)| *voter).collect()
    }

    /// The voters whose page should be sent or asked for, first or again.
    pub fn due(&self, now: Timestamp) -> Vec<NodeId> {
        let due = |(_, cursor): &(&NodeId, &Cursor)| !cursor.done && cursor.retry_at <= now;
        self.cursors.iter().filter(due).map(|(voter, _)| *voter).collect()
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.cursors.values().filter(|cursor| !cursor.done).map(|cursor| cursor.retry_at).min()
    }
}
