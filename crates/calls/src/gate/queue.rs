//! A bounded queue of attempts that wait for a slot, ordered by importance.
//!
//! Use it where attempts must wait briefly and the least important must give way. While calm, attempts of a band (one
//! priority's first tries, or its retries) leave in the order of arrival. While overloaded they leave by full rank, so that
//! every hop serves the same roots, and among equal ranks the newest first, because its caller is likeliest still there.
//! The attempt that gives way is always the one of the highest rank.
//!
//! One waiting attempt costs about 200 bytes here (three index entries), besides its entry in the table of attempts.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::admission::{BANDS, RANKS_PER_BAND};
use quillhatch_types::{AdmissionRank, AttemptId, Timestamp};

/// How the queue orders attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// By rank.
    Rank,
    /// In the order of arrival, whatever the rank; for comparison.
    Arrival,
}

/// An attempt that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its place in the order of refusal.
    pub rank: AdmissionRank,
    /// When it began to wait.
    pub since: Timestamp,
    /// When it must be refused if it still waits.
    pub expires: Timestamp,
}

/// Identifies an entry of the queue; kept by the owner of the attempt to remove it early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: u16,
    sequence: u64,
}

/// Attempts that wait for a slot; see the module's page for the order.
#[derive(Clone, Debug)]
pub struct WaitingQueue {
    order: QueueOrder,
    next_sequence: u64,
    by_rank: BTreeMap<Ticket, Waiting>,
    by_band: BTreeSet<(u16, u64, u16)>,
    by_expiry: BTreeSet<(Timestamp, Ticket)>,
    per_band: [usize; BANDS as usize],
}

fn band_of(rank: u16) -> u16 {
    (rank / RANKS_PER_BAND).min(BANDS - 1)
}

impl WaitingQueue {
    /// An empty queue.
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

    /// Whether nothing waits.
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
    pub fn push(&mut self, waiting: Waiting) -> Ticket {
        let rank = self.ordering_rank(waiting.rank);
        let ticket = Ticket { rank, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.by_rank.insert(ticket, waiting);
        self.by_band.insert((band_of(rank), ticket.sequence, rank));
        self.by_expiry.insert((waiting.expires, ticket));
        self.per_band[usize::from(band_of(rank))] += 1;
        ticket
    }

    /// Removes an attempt, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.by_rank.remove(&ticket)?;
        let band = band_of(ticket.rank);
        self.by_band.remove(&(band, ticket.sequence, ticket.rank));
        self.by_expiry.remove(&(waiting.expires, ticket));
        self.per_band[usize::from(band)] -= 1;
        Some(waiting)
    }

    /// The attempt of a ticket, if it still waits.
    pub fn get(&self, ticket: Ticket) -> Option<Waiting> {
        self.by_rank.get(&ticket).copied()
    }

    /// The attempt that leaves next.
    pub fn peek(&self, overloaded: bool) -> Option<(Ticket, Waiting)> {
        let ticket = if overloaded && self.order == QueueOrder::Rank {
            let best = self.by_rank.first_key_value()?.0.rank;
            self.newest_of(best)?
        } else {
            let (_, sequence, rank) = *self.by_band.first()?;
            Ticket { rank, sequence }
        };
        Some((ticket, *self.by_rank.get(&ticket)?))
    }

    /// The place of a waiting attempt among those of other queues; the lowest leaves first.
    pub fn precedence(&self, waiting: &Waiting, overloaded: bool) -> (u16, Timestamp) {
        let rank = self.ordering_rank(waiting.rank);
        (if overloaded { rank } else { band_of(rank) }, waiting.since)
    }

    fn newest_of(&self, rank: u16) -> Option<Ticket> {
        let range = Ticket { rank, sequence: 0 }..=Ticket { rank, sequence: u64::MAX };
        self.by_rank.range(range).next_back().map(|(ticket, _)| *ticket)
    }

    /// The attempt that gives way first: the oldest of the highest rank. In [`QueueOrder::Arrival`] none does.
    pub fn least_important(&self) -> Option<(Ticket, Waiting)> {
        if self.order == QueueOrder::Arrival {
            return None;
        }
        let rank = self.by_rank.last_key_value()?.0.rank;
        let (ticket, waiting) = self.by_rank.range(Ticket { rank, sequence: 0 }..).next()?;
        Some((*ticket, *waiting))
    }

    /// The waiting attempt that expires first.
    pub fn first_expiry(&self) -> Option<(Timestamp, Ticket)> {
        self.by_expiry.first().copied()
    }

    /// About how many waiting attempts would leave before a newcomer of `rank`.
    pub fn ahead_of(&self, rank: AdmissionRank, overloaded: bool) -> usize {
        let rank = self.ordering_rank(rank);
        let band = usize::from(band_of(rank));
        let before: usize = self.per_band[..band].iter().sum();
        let own = self.per_band[band];
        if !overloaded || self.order == QueueOrder::Arrival {
            return before + own;
        }
        before + own * usize::from(rank % RANKS_PER_BAND) / usize::from(RANKS_PER_BAND)
    }

    /// The time for which the oldest attempt of the least important waiting band has waited.
    pub fn longest_wait(&self, now: Timestamp) -> std::time::Duration {
        let oldest = self.by_band.last().and_then(|(band, _, _)| self.by_band.range((*band, 0, 0)..).next());
        let waiting = oldest.and_then(|(_, sequence, rank)| {
            let ticket = Ticket { rank: *rank, sequence: *sequence };
            self.by_rank.get(&ticket)
        });
        waiting.map(|waiting| now.since(waiting.since)).unwrap_or_default()
    }
}
