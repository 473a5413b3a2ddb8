//! Counters of what the edge did, for metrics.

use quillhatch_types::{Outcome, Refusal, RefusalReason};

/// Room for one counter per [`RefusalReason`].
const REASONS: usize = 32;

/// What the edge did since it started. All counters only rise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeStatistics {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls of the node's own back end that came without the context of a call in progress.
    pub without_context: u64,
    /// Calls recognised as a caller's own repeat of a key.
    pub reused_keys: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Retries sent, redirects to another owner included.
    pub retries: u64,
    /// Resumed downloads sent.
    pub resumes: u64,
    /// Retries or resumes that were wanted and that the retry budget did not allow.
    pub budget_denied: u64,
    /// Retries or resumes that were wanted and that the ratio limit did not allow.
    pub ratio_denied: u64,
    /// Calls whose answer was relayed.
    pub relayed: u64,
    /// Relayed answers that were broken off.
    pub broken_off: u64,
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
    /// Calls that waited for the owner of their slot.
    pub owner_waits: u64,
    /// Tables asked for.
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
