//! When it is a node's turn to read the platform's store.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{long_poll_timeout, FeedRole, StoreAccessLoss};
use crate::settings::Bounds;
use crate::store_reader::max_watch_timeout;

/// The part of the least bound after which the first node that is no reader asks the store while the readers can't read it.
const TURN_PART: f64 = 0.15;
/// By which part the turns of later nodes grow: it is ever less likely that all before them are turned away, rather than that the store is
/// down for all.
const TURN_GROWTH: f64 = 0.125;
/// How much later than expected a reading of the store may be known to a head: what an answer takes where the store is slow.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// What is left of the bound on changes for the reading itself, for the way down the tree and for the node's own work.
const SPREAD_RESERVE: Duration = Duration::from_millis(500);
/// The shortest watch, where bounds leave no room for one: each has its price.
const SHORTEST_WATCH: Duration = Duration::from_millis(300);
/// The pause after the first reading in which a node has found neither itself nor others; it doubles with each further one.
const LONE_PAUSE: Duration = Duration::from_millis(400);
/// The readings after which such a node takes itself for the only one.
const LONE_READINGS: u32 = 4;
/// The parts of the least bound between which a node that no other one answers asks the store itself. Each node draws its own, so that the
/// first ones can answer the others.
const ISOLATED_PARTS: (f64, f64) = (0.1, 0.4);

/// Why the store is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// The node knows nothing, or nobody: a copy that may lag shows who is there.
    Initial,
    /// It is one of the readers.
    Reader,
    /// Once, for what no other node can tell.
    Once,
}

/// When the next turn is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSchedule {
    /// Now.
    Now(ReadReason),
    /// After this time, if nothing changes.
    After(Duration),
    /// Not before something changes.
    OnChange,
}

/// How often a node has read the store without finding any node in it, and when it did last.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoloReads {
    count: u32,
    last: Timestamp,
}

impl SoloReads {
    /// One more at `now`.
    pub fn increment(self, now: Timestamp) -> Self {
        SoloReads { count: self.count + 1, last: now }
    }

    /// The turn of a node that finds no other one. While a fleet starts, others appear.
    fn next_turn(self, draw: f64, now: Timestamp) -> ReadSchedule {
        if self.count >= LONE_READINGS {
            return ReadSchedule::Now(ReadReason::Reader);
        }
        let pause = LONE_PAUSE * 2_u32.pow(self.count);
        let left = pause.mul_f64(0.75 + draw / 2.0).saturating_sub(now.since(self.last));
        if left.is_zero() {
            return ReadSchedule::Now(ReadReason::Initial);
        }
        ReadSchedule::After(left)
    }
}

/// How long the store is asked to wait for a change.
///
/// All readers' watches may hang at once. Then a change is known only once the first other head has found the last reading overdue and had its
/// turn; the watch is so short that all of this ends within the least bound.
pub fn watch_timeout(bounds: &Bounds) -> Duration {
    let found_after =
        long_poll_timeout(true, bounds) + OVERDUE_MARGIN + bounds.shortest().mul_f64(TURN_PART) + SPREAD_RESERVE;
    max_watch_timeout(bounds).min(bounds.shortest().saturating_sub(found_after)).max(SHORTEST_WATCH)
}

/// What decides on a node's turn.
#[derive(Clone, Copy, Debug)]
pub struct ReadScheduleInputs<'a> {
    /// Whether it knows anything of the store.
    pub has_view: bool,
    /// Whether it must find out if it can get at the store.
    pub must_probe: bool,
    /// Whether its own last call of the store has failed.
    pub own_call_failed: bool,
    /// Its place among the others.
    pub role: &'a FeedRole,
    /// Since when it has no way to the store.
    pub loss: StoreAccessLoss,
    /// When the store was read last on the way to it, if that is known.
    pub store_read_at: Option<Timestamp>,
    /// Whether all others that it asks have failed to answer at all.
    pub is_isolated: bool,
    /// The readings in which it found nobody.
    pub solo_reads: SoloReads,
    /// How long its proof that keys are valid may be used before it is renewed, if that is needed.
    pub proof_renewal_in: Option<Duration>,
    /// A random number in 0..1 of the node's own.
    pub jitter: f64,
}

impl ReadScheduleInputs<'_> {
    /// When its next turn is.
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
            return self.solo_reads.next_turn(self.jitter, now);
        }
        match self.proof_renewal_in.into_iter().chain(self.loss_turn(bounds, now)).min() {
            None => ReadSchedule::OnChange,
            Some(Duration::ZERO) => ReadSchedule::Now(ReadReason::Once),
            Some(wait) => ReadSchedule::After(wait),
        }
    }

    /// Whether its own call failed and others have read the store since. Either only its machine is cut off, or the trouble is over; a node that
    /// follows others has no other reason to call the store, and would report the loss for ever.
    fn must_verify_access(&self) -> bool {
        self.own_call_failed && self.loss.since().is_none()
    }

    /// From when on the readers should have read the store again. All their watches may hang, which each of them notices only after a
    /// while. Nodes further down learn of readings too late to judge by them.
    fn overdue_since(&self, bounds: &Bounds) -> Option<Timestamp> {
        let allowed = watch_timeout(bounds) + long_poll_timeout(true, bounds) + OVERDUE_MARGIN;
        self.store_read_at.filter(|_| self.role.is_head).map(|read_at| read_at + allowed)
    }

    /// How long until the node asks the store since others can't get at it.
    fn loss_turn(&self, bounds: &Bounds, now: Timestamp) -> Option<Duration> {
        let since = self.loss.since().or_else(|| self.overdue_since(bounds))?;
        let part = match self.is_isolated {
            true => ISOLATED_PARTS.0 + (ISOLATED_PARTS.1 - ISOLATED_PARTS.0) * self.jitter,
            false => {
                let ahead = self.role.nodes_ahead as f64;
                TURN_PART * (ahead + 1.0) * (1.0 + TURN_GROWTH * ahead)
            }
        };
        Some((now.until(since) + bounds.shortest().mul_f64(part)).saturating_sub(now.since(since)))
    }
}
