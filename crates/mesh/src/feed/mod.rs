//! How changes of the platform's store are distributed to all nodes.
//!
//! Every call to the store costs money and adds load, so only three nodes read it, whatever the size of the fleet. In
//! each zone the nodes with the lowest hashes of their addresses are the **heads**: one, or more where there are few
//! zones. The first three heads of all zones are the **readers**. The other nodes follow in a tree per zone: each node
//! sends long polls to its parent, which responds as soon as there is a change. The roles follow from the list of
//! targets alone; there is no election and no message about them. Nodes with different lists disagree on some parents,
//! which is harmless: any node answers the queries of any other, and a position never goes back.
//!
//! Readers query each other in a ring, and the other heads query them. So what one reader has read reaches all zones,
//! even if the store refuses the others.
//!
//! Two more heads hold standby watches ([`StandbyReader`]), so that a change does not depend on what readers report.
//!
//! A source that times out, or that can't reach the store, is replaced by the next candidate ([`SourceChoice`]). A node
//! whose candidates all fail reads the store itself. While no reader can read the store, further nodes of each zone
//! take over one after the other ([`ReadScheduleInputs`]).

mod choice;
mod schedule;
mod standby;
mod tree;

use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::settings::Bounds;

pub use choice::SourceChoice;
pub use schedule::{watch_timeout, ReadReason, ReadSchedule, ReadScheduleInputs, SoloReads};
pub use standby::{StandbyReader, STANDBYS, STANDBY_WATCH_TIMEOUT};
pub use tree::{FeedCandidate, FeedRole, FeedTree, FANOUT};

/// The timeout of a long poll as a fraction of the shortest bound. A source that no longer responds is only noticed
/// after it.
const LONG_POLL_FRACTION: f64 = 0.25;
/// The same for the long polls of zone heads.
const HEAD_LONG_POLL_FRACTION: f64 = 0.1;
/// The time that a response may take beyond the long poll, as a fraction of the shortest bound. It is added to
/// [`MIN_RESPONSE_ALLOWANCE`].
const RESPONSE_ALLOWANCE_FRACTION: f64 = 0.1;
/// The minimum time that a response may take beyond the long poll.
const MIN_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(100);
/// The maximum age of the last store read that a usable source reports, as a multiple of [`Bounds::recovery`]. The age
/// grows with the depth in the tree.
const MAX_STORE_READ_AGE_FACTOR: u32 = 2;
/// How long a node must be without access to the store before it reports that it is partitioned from it.
pub const PARTITION_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a node without changes holds the long poll of another one. The long polls of heads are shorter: heads must
/// learn early when the store was last read.
pub fn long_poll_timeout(is_head: bool, bounds: &Bounds) -> Duration {
    bounds.shortest().mul_f64(if is_head { HEAD_LONG_POLL_FRACTION } else { LONG_POLL_FRACTION })
}

/// How long the querying node waits for the response to a long poll that is held for up to `long_poll`.
pub fn response_timeout(long_poll: Duration, bounds: &Bounds) -> Duration {
    long_poll + MIN_RESPONSE_ALLOWANCE + bounds.shortest().mul_f64(RESPONSE_ALLOWANCE_FRACTION)
}

/// What a source reports about its own access to the store.
#[derive(Clone, Copy, Debug)]
pub struct SourceStatus {
    /// When the store was last read, by the source or by a node that it follows; `None` if unknown.
    pub store_read_at: Option<Timestamp>,
    /// Since when the source can't reach the store, neither itself nor through others; `None` if it can.
    pub lost_since: Option<Timestamp>,
}

/// Whether a node may follow a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceVerdict {
    /// It may.
    Usable,
    /// The source reports access to the store, but its knowledge may come from the querying node itself.
    Unverified,
    /// The source can't reach the store.
    Disconnected,
}

impl SourceStatus {
    /// Whether a node with the given `loss` may follow the source that sent this status; `is_upstream` is
    /// [`FeedCandidate::is_upstream`] of that source.
    ///
    /// Nodes that have lost their sources must not follow each other in a circle, each relying on the status of the
    /// other. So a source that is not upstream is followed only if the store was read after the loss began.
    pub fn verdict(&self, is_upstream: bool, loss: StoreAccessLoss, bounds: &Bounds, now: Timestamp) -> SourceVerdict {
        let recent =
            self.store_read_at.filter(|read_at| now.since(*read_at) <= bounds.recovery * MAX_STORE_READ_AGE_FACTOR);
        match (self.lost_since, recent) {
            (Some(_), _) | (None, None) => SourceVerdict::Disconnected,
            (None, Some(read_at)) if is_upstream || loss.since().is_none_or(|since| since < read_at) => {
                SourceVerdict::Usable
            }
            (None, Some(_)) => SourceVerdict::Unverified,
        }
    }
}

/// Since when a node has no access to the store, neither by its own calls nor through a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAccessLoss {
    /// Since when the node's own calls to the store fail, if it makes any.
    own_calls_failing: Option<Timestamp>,
    /// Since when the node has been looking for another source.
    searching: Option<Timestamp>,
    /// Since when none of its candidates can reach the store.
    all_sources_failing: Option<Timestamp>,
    /// Since when a source of this node has had no access to the store, as that source has reported.
    source_lost_since: Option<Timestamp>,
}

impl StoreAccessLoss {
    /// Records that a call to the store, sent at `sent`, failed. It doesn't count if the store is known to have been
    /// read since; `last_read` is the latest known read.
    pub fn store_call_failed(&mut self, sent: Timestamp, last_read: Option<Timestamp>) {
        if last_read.is_none_or(|last_read| last_read < sent) {
            self.own_calls_failing.get_or_insert(sent);
        }
    }

    /// Records that the source failed at `at`. Until a usable one is found, the node must not report to others that it
    /// has access to the store.
    pub fn source_failed(&mut self, at: Timestamp) {
        self.searching.get_or_insert(at);
    }

    /// Records that a source has reported that it has had no access to the store since `since`.
    pub fn source_reported_loss(&mut self, since: Timestamp) {
        self.source_lost_since = Some(self.source_lost_since.map_or(since, |known| known.min(since)));
    }

    /// Records that none of the candidates can reach the store, the last one since `since`, or that there is no
    /// candidate.
    pub fn all_sources_failed(&mut self, since: Timestamp) {
        self.all_sources_failing = Some(self.all_sources_failing.map_or(since, |known| known.min(since)));
    }

    /// Records that a source is usable and reports `last_read` as the last read of the store. Returns the start of the
    /// store's outage if there was one and it is over.
    ///
    /// A failed call of the node's own counts until the store was read after it. Otherwise two nodes that only have
    /// each other as source would both regard themselves as up to date.
    pub fn source_available(&mut self, last_read: Option<Timestamp>) -> Option<Timestamp> {
        self.searching = None;
        self.source_lost_since = None;
        self.own_calls_failing =
            self.own_calls_failing.filter(|failed| last_read.is_none_or(|last_read| last_read < *failed));
        if self.own_calls_failing.is_some() {
            return None;
        }
        self.all_sources_failing.take()
    }

    /// Records that this node has read the store. Returns the start of the store's outage if there was one.
    pub fn store_read(&mut self) -> Option<Timestamp> {
        self.own_calls_failing = None;
        self.searching = None;
        self.source_lost_since = None;
        self.all_sources_failing.take()
    }

    /// The start of the store's outage: since then neither this node nor any of its candidates can reach the store, as
    /// far as they tried.
    pub fn outage_since(&self) -> Option<Timestamp> {
        self.all_sources_failing
    }

    /// Since when the node has had no confirmed access to the store; `None` if it has access.
    pub fn since(&self) -> Option<Timestamp> {
        self.own_calls_failing.into_iter().chain(self.searching).chain(self.all_sources_failing).min()
    }

    /// Since when this node and its sources have had no access to the store; `None` if this node has access. `last_read`
    /// is the latest known read of the store, before which no loss counts.
    pub fn since_with_sources(&self, last_read: Option<Timestamp>) -> Option<Timestamp> {
        let since = self.since()?;
        let of_sources = self.source_lost_since.map(|lost| last_read.map_or(lost, |last_read| lost.max(last_read)));
        Some(of_sources.map_or(since, |lost| lost.min(since)))
    }

    /// Whether access is known to be lost, as opposed to a search for another source that is still going on.
    pub fn is_confirmed(&self) -> bool {
        self.own_calls_failing.is_some() || self.all_sources_failing.is_some()
    }

    /// Whether the loss has lasted so long that the node counts as partitioned from the store.
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        self.since().is_some_and(|since| now.since(since) >= PARTITION_TIMEOUT)
    }
}
