//! An attempt in the gate's table, from its arrival to its end.
//!
//! An entry costs about 400 bytes with its context and key (estimated from the sizes of the types); the number of entries
//! is bounded by the sizes of the queues and by the back end's connections.

use quillhatch_types::admission::RANKS_PER_BAND;
use quillhatch_types::{AdmissionRank, CallContext, Timestamp};

use super::queue::Ticket;
use super::tokens::TokenAccount;

/// The rank below which calls are protected: first tries and retries of the highest priority.
pub(super) const PROTECTED_RANKS: u16 = 2 * RANKS_PER_BAND;

pub(super) fn is_protected(rank: AdmissionRank) -> bool {
    rank.0 < PROTECTED_RANKS
}

/// Which limit an attempt falls under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// The concurrency limit.
    Short,
    /// The limit of large answers.
    Large,
}

impl Lane {
    pub(super) fn other(self) -> Self {
        match self {
            Lane::Short => Lane::Large,
            Lane::Large => Lane::Short,
        }
    }
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a slot.
    Waiting { ticket: Ticket, queue_expires: Timestamp },
    /// It holds a slot; its claim is being recorded.
    Claiming { claim_expires: Timestamp },
    /// It is at the back end.
    Running { since: Timestamp, answer_started: bool, cancel_sent: bool, timer: Timestamp },
}

/// One attempt.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) context: Box<CallContext>,
    pub(super) lane: Lane,
    pub(super) deadline: Timestamp,
    pub(super) phase: Phase,
    pub(super) tokens: TokenAccount,
    pub(super) slot_since: Timestamp,
    pub(super) counted_bytes: u64,
}

impl Attempt {
    pub(super) fn is_protected(&self) -> bool {
        is_protected(self.context.rank)
    }

    /// Whether a claim was asked for before the attempt ran.
    pub(super) fn has_claim(&self, claims: bool) -> bool {
        claims && !self.context.repeatable
    }

    /// Whether the attempt, or a call above it, is a retry.
    pub(super) fn is_retry(&self) -> bool {
        self.context.attempt > 0 || (self.context.rank.0 / RANKS_PER_BAND) % 2 == 1
    }
}
