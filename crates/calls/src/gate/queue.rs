//! A priority queue of attempts that wait for a slot.
//!
//! Use it where attempts wait briefly and the least important is evicted when space runs out; its users bound its
//! length. Without overload, attempts of a band (the first attempts of one priority, or its retries) leave in order of
//! arrival. Under overload they leave by full rank, so that every hop serves the same root calls, and among equal ranks
//! the newest leaves first, because its caller is the most likely to be still waiting. The attempt to evict is always
//! one with the highest rank number.
//!
//! A waiting attempt takes about 200 bytes here (three index entries), besides its entry in the table of attempts.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::admission::{BANDS, RANKS_PER_BAND};
use quillhatch_types::{AdmissionRank, AttemptId, Timestamp};

/// How the queue orders attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// By rank.
    Rank,
    /// In order of arrival, regardless of rank; for comparison.
    Arrival,
}

/// A waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its rank in the order of refusal; higher ranks are refused first.
    pub rank: AdmissionRank,
    /// When it started to wait.
    pub since: Timestamp,
    /// When it must be refused if it is still waiting.
    pub expires: Timestamp,
}

/// Identifies an entry of the queue, so that the owner of the attempt can remove it early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    rank: u16,
    sequence: u64,
}

/// The attempts that wait for a slot; see the [module documentation](self) for their order.
#[derive(Clone, Debug)]
pub struct WaitingQueue {
    order: QueueOrder,
    next_sequence: u64,
    by_rank: BTreeMap<QueueTicket, WaitingAttempt>,
    by_band: BTreeSet<(u16, u64, u16)>,
    by_expiry: BTreeSet<(Timestamp, QueueTicket)>,
    per_band: [usize; BANDS as usize],
}

fn band_of(rank: u16) -> u16 {
    (rank / RANKS_PER_BAND).min(BANDS - 1)
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        WaitingQueue {
            order,
            next_sequence: 0,
            by_rank: BTreeMap::new(),
            by_band: BTreeSet::new(),
            by_expiry: BTreeSet::new(),
            per_band: [0; BANDS as usize],
        }
    }

    /// The number of waiting attempts.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    fn ordering_rank(&self, rank: AdmissionRank) -> u16 {
        match self.order {
            QueueOrder::Rank => rank.0,
            QueueOrder::Arrival => 0,
        }
    }

    /// Adds an attempt.
    pub fn push(&mut self, waiting: WaitingAttempt) -> QueueTicket {
        let rank = self.ordering_rank(waiting.rank);
        let ticket = QueueTicket { rank, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.by_rank.insert(ticket, waiting);
        self.by_band.insert((band_of(rank), ticket.sequence, rank));
        self.by_expiry.insert((waiting.expires, ticket));
        self.per_band[usize::from(band_of(rank))] += 1;
        ticket
    }

    /// Removes an attempt, if it is still waiting.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<WaitingAttempt> {
        let waiting = self.by_rank.remove(&ticket)?;
        let band = band_of(ticket.rank);
        self.by_band.remove(&(band, ticket.sequence, ticket.rank));
        self.by_expiry.remove(&(waiting.expires, ticket));
        self.per_band[usize::from(band)] -= 1;
        Some(waiting)
    }

    /// The attempt of a ticket, if it is still waiting.
    pub fn get(&self, ticket: QueueTicket) -> Option<WaitingAttempt> {
        self.by_rank.get(&ticket).copied()
    }

    /// The attempt that leaves the queue next.
    pub fn peek(&self, overloaded: bool) -> Option<(QueueTicket, WaitingAttempt)> {
        let ticket = if overloaded && self.order == QueueOrder::Rank {
            let first_rank = self.by_rank.first_key_value()?.0.rank;
            self.newest_of(first_rank)?
        } else {
            let (_, sequence, rank) = *self.by_band.first()?;
            QueueTicket { rank, sequence }
        };
        Some((ticket, *self.by_rank.get(&ticket)?))
    }

    /// The sort key of a waiting attempt for comparison with those of other queues; the lowest leaves first.
    pub fn precedence(&self, waiting: &WaitingAttempt, overloaded: bool) -> (u16, Timestamp) {
        let rank = self.ordering_rank(waiting.rank);
        (if overloaded { rank } else { band_of(rank) }, waiting.since)
    }

    fn newest_of(&self, rank: u16) -> Option<QueueTicket> {
        let range = QueueTicket { rank, sequence: 0 }..=QueueTicket { rank, sequence: u64::MAX };
        self.by_rank.range(range).next_back().map(|(ticket, _)| *ticket)
    }

    /// The attempt to evict first: the oldest one of the highest rank. With [`QueueOrder::Arrival`] there is none.
    pub fn least_important(&self) -> Option<(QueueTicket, WaitingAttempt)> {
        if self.order == QueueOrder::Arrival {
            return None;
        }
        let rank = self.by_rank.last_key_value()?.0.rank;
        let (ticket, waiting) = self.by_rank.range(QueueTicket { rank, sequence: 0 }..).next()?;
        Some((*ticket, *waiting))
    }

    /// The waiting attempt that expires first.
    pub fn first_expiry(&self) -> Option<(Timestamp, QueueTicket)> {
        self.by_expiry.first().copied()
    }

    /// An estimate of how many waiting attempts would leave before a new one of `rank`.
    pub fn ahead_of(&self, rank: AdmissionRank, overloaded: bool) -> usize {
        let rank = self.ordering_rank(rank);
        let band = usize::from(band_of(rank));
        let before: usize = self.per_band[..band].iter().sum();
        let in_band = self.per_band[band];
        if !overloaded || self.order == QueueOrder::Arrival {
            return before + in_band;
        }
        before + in_band * usize::from(rank % RANKS_PER_BAND) / usize::from(RANKS_PER_BAND)
    }

    /// How long the oldest attempt of the least important band in the queue has waited.
    pub fn longest_wait(&self, now: Timestamp) -> std::time::Duration {
        let oldest = self.by_band.last().and_then(|(band, _, _)| self.by_band.range((*band, 0, 0)..).next());
        let waiting = oldest.and_then(|(_, sequence, rank)| {
            let ticket = QueueTicket { rank: *rank, sequence: *sequence };
            self.by_rank.get(&ticket)
        });
        waiting.map(|waiting| now.since(waiting.since)).unwrap_or_default()
    }
}
