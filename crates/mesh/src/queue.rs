//! The queue of calls that wait for a slot of the target: a priority queue in which each call has an expiry time.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::Timestamp;

/// The order of service; a call with a lower rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// The priority of the call that entered the graph; 0 is the highest.
    pub priority: u8,
    /// The position of the call that entered the graph. All nodes serve the same positions first, so that little work
    /// is done for calls that are refused further down.
    pub position: u8,
    /// Whether the call enters the graph here. Calls of a running parent are served before it, since work was already
    /// done for them.
    pub is_root: bool,
}

/// Identifies a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket {
    rank: Rank,
    sequence: u64,
}

/// The waiting calls.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    next_sequence: u64,
    by_rank: BTreeMap<QueueTicket, Timestamp>,
    by_expiry: BTreeSet<(Timestamp, QueueTicket)>,
}

impl WaitingQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Returns the number of waiting calls that would be served before a new call of `rank`.
    pub fn count_ahead_of(&self, rank: Rank) -> usize {
        self.by_rank.range(..=QueueTicket { rank, sequence: u64::MAX }).count()
    }

    /// Adds a call that waits until `expires` at the latest.
    pub fn push(&mut self, rank: Rank, expires: Timestamp) -> QueueTicket {
        let ticket = QueueTicket { rank, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.by_rank.insert(ticket, expires);
        self.by_expiry.insert((expires, ticket));
        ticket
    }

    /// Removes a call; returns whether it was still waiting.
    pub fn remove(&mut self, ticket: QueueTicket) -> bool {
        let Some(expires) = self.by_rank.remove(&ticket) else { return false };
        self.by_expiry.remove(&(expires, ticket));
        true
    }

    /// Removes and returns the call that is served next.
    pub fn pop(&mut self) -> Option<QueueTicket> {
        let (ticket, expires) = self.by_rank.pop_first()?;
        self.by_expiry.remove(&(expires, ticket));
        Some(ticket)
    }

    /// Returns the last waiting call in the order of service, if it ranks behind `rank`.
    pub fn last_behind(&self, rank: Rank) -> Option<QueueTicket> {
        let (ticket, _) = self.by_rank.last_key_value()?;
        (ticket.rank > rank).then_some(*ticket)
    }

    /// Removes and returns a call that has expired.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<QueueTicket> {
        let (expires, ticket) = *self.by_expiry.first()?;
        if expires > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// Returns when the next call expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.by_expiry.first().map(|(expires, _)| *expires)
    }
}
