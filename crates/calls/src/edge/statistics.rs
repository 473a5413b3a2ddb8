//! The edge's counters, for metrics.

use quillhatch_types::{Outcome, Refusal, RefusalReason};

/// The capacity of the array with one counter per [`RefusalReason`].
const REASONS: usize = 32;

/// The edge's counters since it was created. All are monotonic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeStatistics {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls from the node's own back end without the context of a call in progress.
    pub without_context: u64,
    /// Calls that reuse a key of the same caller: the caller's own retries.
    pub reused_keys: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Retries sent, redirects to another owner included.
    pub retries: u64,
    /// Attempts sent to resume a download.
    pub resumes: u64,
    /// Retries or resumes denied by the retry budget.
    pub budget_denied: u64,
    /// Retries or resumes denied by the ratio limit.
    pub ratio_denied: u64,
    /// Calls whose answer was relayed.
    pub relayed: u64,
    /// Relayed answers that were aborted.
    pub aborted_streams: u64,
    /// Calls refused.
    pub refused: u64,
    /// Attempts cancelled.
    pub cancelled_attempts: u64,
    /// Attempts whose answer was lost.
    pub lost_attempts: u64,
    /// Attempts that could not connect.
    pub failed_connects: u64,
    /// Targets ejected.
    pub ejections: u64,
    /// Calls sent in spite of a closed admission level.
    pub probes: u64,
    /// Waits of calls for the owner of their slot.
    pub owner_waits: u64,
    /// Requests for tables.
    pub table_fetches: u64,
    /// Inputs about attempts or calls that are no longer in progress.
    pub stale_inputs: u64,
    refusals: [u64; REASONS],
    outcomes: [u64; 3],
}

impl EdgeStatistics {
    /// Calls refused for `reason`.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason as usize]
    }

    /// Calls refused with `outcome`.
    pub fn outcomes(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    pub(crate) fn count_refusal(&mut self, refusal: &Refusal) {
        self.refused += 1;
        self.refusals[refusal.reason as usize] += 1;
        self.outcomes[refusal.outcome as usize] += 1;
    }
}
