//! From whom a node gets what changes in the platform's store.
//!
//! Every call of the store is paid for and loads it, so three nodes read it, whatever the fleet's size. In each zone the node whose
//! address has the least hash is its **head**, and the first heads are the **readers**. The others follow over a tree in their zone: each
//! node asks its parent, which answers as soon as something has changed. The list of targets decides who reads and who asks whom; there is
//! no election and no message about it. Nodes with different lists disagree on some parents, which does no harm: any node answers any
//! other, and a position never goes back.
//!
//! Readers ask each other too, in a ring, and the other heads ask them. So what one reader has read reaches all zones, also if the store
//! turns the others away.
//!
//! A parent that says nothing, or that can't get at the store, is left for the next candidate ([`SourceChoice`]). The store itself is asked
//! by those whose candidates all fail, and, while the store can't be read by readers, by one more node of each zone after the other
//! ([`ReadScheduleInputs`]).

mod choice;
mod schedule;
mod tree;

use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::settings::Bounds;

pub use choice::SourceChoice;
pub use schedule::{watch_timeout, ReadReason, ReadSchedule, ReadScheduleInputs, SoloReads};
pub use tree::{FeedCandidate, FeedRole, FeedTree, FANOUT};

/// The part of the least bound for which a parent without news holds a question. A parent that has gone silent is noticed after it.
const HOLD_PART: f64 = 0.25;
const HEAD_HOLD_PART: f64 = 0.1;
/// The part of the least bound that an answer may take beyond that, and what it may take at least.
const ANSWER_PART: f64 = 0.1;
const ANSWER_LEAST: Duration = Duration::from_millis(100);
/// How old the last reading of the store may be at a node that is followed, in times after which bounds hold again. It is older the deeper
/// the node stands in the tree.
const OLDEST_READ: u32 = 2;
/// For how long the store must be out of reach before a node says that it is cut off.
pub const PARTITION_TIMEOUT: Duration = Duration::from_millis(700);

/// For how long a node without news holds the question of another. Heads are held for less: they must know soon when the store was read.
pub fn long_poll_timeout(is_head: bool, bounds: &Bounds) -> Duration {
    bounds.shortest().mul_f64(if is_head { HEAD_HOLD_PART } else { HOLD_PART })
}

/// How long the answer to a question may take that is held for `hold` at most.
pub fn response_timeout(hold: Duration, bounds: &Bounds) -> Duration {
    hold + ANSWER_LEAST + bounds.shortest().mul_f64(ANSWER_PART)
}

/// How well another node is supplied, as it tells.
#[derive(Clone, Copy, Debug)]
pub struct SourceStatus {
    /// When the store was read last on the way to it; `None` if that is not told.
    pub store_read_at: Option<Timestamp>,
    /// Since when it can't get at the store, if it can't.
    pub lost_since: Option<Timestamp>,
}

/// Whether a node may follow another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceVerdict {
    /// It may.
    Usable,
    /// The other one is well by what it tells, which may come from the asking node itself.
    Unverified,
    /// The other one can't get at the store.
    Disconnected,
}

impl SourceStatus {
    /// Whether a node with this `loss` may follow the one that tells it; `is_before` says whether that one stands before it.
    ///
    /// Nodes that have lost their sources must not follow each other in a circle, each of them well by the other's word. So one that does not
    /// stand before is followed only if the store was read since the loss.
    pub fn verdict(&self, is_before: bool, loss: StoreAccessLoss, bounds: &Bounds, now: Timestamp) -> SourceVerdict {
        let recent = self.store_read_at.filter(|read_at| now.since(*read_at) <= bounds.recovery * OLDEST_READ);
        match (self.lost_since, recent) {
            (Some(_), _) | (None, None) => SourceVerdict::Disconnected,
            (None, Some(read_at)) if is_before || loss.since().is_none_or(|since| since < read_at) => {
                SourceVerdict::Usable
            }
            (None, Some(_)) => SourceVerdict::Unverified,
        }
    }
}

/// Since when a node is without a source that can get at the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAccessLoss {
    /// Since when its own calls of the store fail, if it makes any.
    own: Option<Timestamp>,
    /// Since when it looks for another node to ask.
    searching: Option<Timestamp>,
    /// Since when no other node that it asks can get at the store.
    others: Option<Timestamp>,
}

impl StoreAccessLoss {
    /// A call of the store, sent at `sent`, has failed, and the store was read at `proved` last, as far as is known.
    pub fn store_call_failed(&mut self, sent: Timestamp, proved: Option<Timestamp>) {
        if proved.is_none_or(|proved| proved < sent) {
            self.own.get_or_insert(sent);
        }
    }

    /// The node that it asks has failed, at `at`. Until another one is known to be well, it must not tell others that it is well itself.
    pub fn source_failed(&mut self, at: Timestamp) {
        self.searching.get_or_insert(at);
    }

    /// None of the other nodes that it asks can get at the store, the last one since `since`; or there is none to ask.
    pub fn all_sources_failed(&mut self, since: Timestamp) {
        self.others = Some(self.others.map_or(since, |known| known.min(since)));
    }

    /// Another node is well, and the store was read at `proved` on the way to it. Returns since when the store was in an outage, if that is
    /// over.
    ///
    /// A failed call of the node's own counts until the store was read after it: two nodes that only have each other's word don't
    /// keep each other up to date.
    pub fn source_available(&mut self, proved: Option<Timestamp>) -> Option<Timestamp> {
        self.searching = None;
        self.own = self.own.filter(|failed| proved.is_none_or(|proved| proved < *failed));
        if self.own.is_some() {
            return None;
        }
        self.others.take()
    }

    /// The store has answered this node. Returns since when it was in an outage, if it was.
    pub fn store_read(&mut self) -> Option<Timestamp> {
        self.own = None;
        self.searching = None;
        self.others.take()
    }

    /// Since when the store is in an outage: neither this node nor any that it asks can get at it, as far as they tried.
    pub fn outage_since(&self) -> Option<Timestamp> {
        self.others
    }

    /// Since when, if there is a loss.
    pub fn since(&self) -> Option<Timestamp> {
        self.own.into_iter().chain(self.searching).chain(self.others).min()
    }

    /// Whether it is known that there is no way, rather than that another one is looked for.
    pub fn is_confirmed(&self) -> bool {
        self.own.is_some() || self.others.is_some()
    }

    /// Whether it has lasted so long that the node is taken as cut off.
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        self.since().is_some_and(|since| now.since(since) >= PARTITION_TIMEOUT)
    }
}
