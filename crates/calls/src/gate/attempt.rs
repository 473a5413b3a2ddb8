//! An entry in the gate's table of attempts, from arrival to end.
//!
//! An entry takes about 400 bytes with its context and key (estimated from the sizes of the types). The number of
//! entries is bounded by the sizes of the queues and by the back end's connections.

use quillhatch_types::admission::RANKS_PER_BAND;
use quillhatch_types::{AdmissionRank, CallContext, Timestamp};

use super::queue::QueueTicket;
use super::tokens::TokenAccount;

/// Calls with a rank below this are protected: first attempts and retries of the highest priority.
pub(super) const PROTECTED_RANKS: u16 = 2 * RANKS_PER_BAND;

pub(super) fn is_protected(rank: AdmissionRank) -> bool {
    rank.0 < PROTECTED_RANKS
}

/// Which limit and queue an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// Short calls, under the concurrency limit.
    Short,
    /// Calls with large answers, under a limit of their own.
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

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for a slot.
    Waiting { ticket: QueueTicket, queue_expires: Timestamp },
    /// Holds a slot while its claim is being recorded.
    Claiming { claim_expires: Timestamp },
    /// Runs at the back end.
    Running { since: Timestamp, answer_started: bool, cancel_sent: bool, timer: Timestamp },
}

/// The state of one attempt.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) context: Box<CallContext>,
    pub(super) lane: Lane,
    pub(super) deadline: Timestamp,
    pub(super) phase: Phase,
    pub(super) tokens: TokenAccount,
    pub(super) slot_since: Timestamp,
    pub(super) reserved_bytes: u64,
}

impl Attempt {
    pub(super) fn is_protected(&self) -> bool {
        is_protected(self.context.rank)
    }

    /// Whether the attempt needs a claim before it runs; `claims_enabled` is the state of that mechanism.
    pub(super) fn needs_claim(&self, claims_enabled: bool) -> bool {
        claims_enabled && !self.context.repeatable
    }

    /// Whether the attempt itself or a call above it in the call tree is a retry.
    pub(super) fn is_retry(&self) -> bool {
        self.context.attempt > 0 || (self.context.rank.0 / RANKS_PER_BAND) % 2 == 1
    }
}
