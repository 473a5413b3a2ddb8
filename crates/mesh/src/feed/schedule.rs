//! When a node reads the platform's store.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{long_poll_timeout, FeedRole, StoreAccessLoss};
use crate::settings::Bounds;
use crate::store_reader::max_watch_timeout;

/// The delay after which the first node that is not a reader reads the store while the readers can't, as a fraction of
/// the shortest bound.
const TAKEOVER_DELAY_FRACTION: f64 = 0.15;
/// By which fraction the delay between further nodes grows with each node ahead. The more nodes have failed, the more
/// likely it is that the store is down for all of them, rather than that it refuses each of them.
const TAKEOVER_DELAY_GROWTH: f64 = 0.125;
/// How much later than expected a head may learn of a read of the store: the time of a response when the store is slow.
const OVERDUE_TOLERANCE: Duration = Duration::from_millis(300);
/// The part of the bound on changes that is reserved for the read itself, the way down the tree and the node's own
/// work.
const PROPAGATION_RESERVE: Duration = Duration::from_millis(500);
/// The minimum timeout of a watch, also where the bounds leave less time: each watch is a call that costs money.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// The base of the pause after a read in which a node has found no target in the store, neither its own nor another; it
/// doubles with each such read.
const SOLO_READ_PAUSE: Duration = Duration::from_millis(400);
/// The number of such reads after which the node assumes that it is the only one and acts as a reader.
const MAX_SOLO_READS: u32 = 4;
/// The range of the delay after which a node that gets no response from any candidate reads the store, in fractions of
/// the shortest bound. Each node picks its own delay, so that the first ones can respond to the others.
const ISOLATED_DELAY_FRACTIONS: (f64, f64) = (0.1, 0.4);

/// Why the store is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// The node knows nothing of the store, or no other node. A lagging replica of the store is enough to find other
    /// nodes.
    Initial,
    /// The node is one of the readers.
    Reader,
    /// A single read, for what other nodes can't provide: whether this node can reach the store, a new proof that the
    /// configuration is recent, or the changes while no reader can read the store.
    Once,
}

/// When the next read is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSchedule {
    /// Now.
    Now(ReadReason),
    /// After this time, if nothing changes until then.
    After(Duration),
    /// Not before something changes.
    OnChange,
}

/// How often a node has read the store without finding any target in it, neither its own nor another, and when it last
/// did.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoloReads {
    count: u32,
    last: Timestamp,
}

impl SoloReads {
    /// Counts one more such read, at `now`.
    pub fn increment(self, now: Timestamp) -> Self {
        SoloReads { count: self.count + 1, last: now }
    }

    /// The schedule of a node that finds no other one. While a fleet starts, others appear.
    fn schedule(self, jitter: f64, now: Timestamp) -> ReadSchedule {
        if self.count >= MAX_SOLO_READS {
            return ReadSchedule::Now(ReadReason::Reader);
        }
        let pause = SOLO_READ_PAUSE * 2_u32.pow(self.count);
        let left = pause.mul_f64(0.75 + jitter / 2.0).saturating_sub(now.since(self.last));
        if left.is_zero() {
            return ReadSchedule::Now(ReadReason::Initial);
        }
        ReadSchedule::After(left)
    }
}

/// How long a reader lets the store hold a watch without changes.
///
/// The watches of all readers may hang at the same time. Then a change is only found after the first head that is not a
/// reader has noticed that the last read is overdue, and has read the store itself. The timeout is so short that all of
/// this ends within the shortest bound.
pub fn watch_timeout(bounds: &Bounds) -> Duration {
    let found_after = long_poll_timeout(true, bounds)
        + OVERDUE_TOLERANCE
        + bounds.shortest().mul_f64(TAKEOVER_DELAY_FRACTION)
        + PROPAGATION_RESERVE;
    max_watch_timeout(bounds).min(bounds.shortest().saturating_sub(found_after)).max(MIN_WATCH_TIMEOUT)
}

/// What decides when a node reads the store.
#[derive(Clone, Copy, Debug)]
pub struct ReadScheduleInputs<'a> {
    /// Whether the node knows any state of the store.
    pub has_view: bool,
    /// Whether it must find out if it can reach the store.
    pub must_probe: bool,
    /// Whether its last call to the store failed.
    pub own_call_failed: bool,
    /// Its role.
    pub role: &'a FeedRole,
    /// Since when it has no access to the store.
    pub loss: StoreAccessLoss,
    /// When the store was last read, by the node itself or by one that it follows, if that is known.
    pub store_read_at: Option<Timestamp>,
    /// Whether none of its candidates responds.
    pub is_isolated: bool,
    /// The reads in which it found no target in the store.
    pub solo_reads: SoloReads,
    /// The time until it must renew its proof that the configuration is recent ([`crate::freshness`]), if there is a
    /// bound on revocation.
    pub proof_renewal_in: Option<Duration>,
    /// A random number in 0..1 that the node has drawn once, which spreads the reads of different nodes.
    pub jitter: f64,
}

impl ReadScheduleInputs<'_> {
    /// When the node's next read is due.
    pub fn schedule(&self, bounds: &Bounds, now: Timestamp) -> ReadSchedule {
        if !self.has_view {
            return ReadSchedule::Now(ReadReason::Initial);
        }
        if self.must_probe || self.must_verify_access() {
            return ReadSchedule::Now(ReadReason::Once);
        }
        if self.role.is_reader {
            return ReadSchedule::Now(ReadReason::Reader);
        }
        if self.role.candidates.is_empty() {
            return self.solo_reads.schedule(self.jitter, now);
        }
        match self.proof_renewal_in.into_iter().chain(self.takeover_in(bounds, now)).min() {
            None => ReadSchedule::OnChange,
            Some(Duration::ZERO) => ReadSchedule::Now(ReadReason::Once),
            Some(wait) => ReadSchedule::After(wait),
        }
    }

    /// Whether the node's own call failed and others have read the store since. Either only its machine is partitioned
    /// from the store, or the problem is over. A node that follows others has no other reason to call the store, and
    /// would report the loss forever.
    fn must_verify_access(&self) -> bool {
        self.own_call_failed && self.loss.since().is_none()
    }

    /// Since when the readers' next read of the store is overdue. The watches of all readers may hang, which each of
    /// them only notices after a while. Nodes further down the tree learn of reads too late to judge by them.
    fn overdue_since(&self, bounds: &Bounds) -> Option<Timestamp> {
        let allowed = watch_timeout(bounds) + long_poll_timeout(true, bounds) + OVERDUE_TOLERANCE;
        self.store_read_at.filter(|_| self.role.is_head).map(|read_at| read_at + allowed)
    }

    /// The time until the node reads the store because others can't; `None` if they can, as far as it knows.
    fn takeover_in(&self, bounds: &Bounds, now: Timestamp) -> Option<Duration> {
        let since = self.loss.since_with_sources(self.store_read_at).or_else(|| self.overdue_since(bounds))?;
        let fraction = match self.is_isolated {
            true => {
                ISOLATED_DELAY_FRACTIONS.0 + (ISOLATED_DELAY_FRACTIONS.1 - ISOLATED_DELAY_FRACTIONS.0) * self.jitter
            }
            false => {
                let nodes_ahead = self.role.nodes_ahead as f64;
                TAKEOVER_DELAY_FRACTION * (nodes_ahead + 1.0) * (1.0 + TAKEOVER_DELAY_GROWTH * nodes_ahead)
            }
        };
        Some((now.until(since) + bounds.shortest().mul_f64(fraction)).saturating_sub(now.since(since)))
    }
}
