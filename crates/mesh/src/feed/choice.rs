//! Selects the source: the candidate that a node queries next.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::FeedCandidate;

/// How long a node queries another candidate before it retries the first one.
const FIRST_CANDIDATE_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Selects one of the candidates: the same one until it fails, then the next one, and at intervals the first one again.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    /// The index of the selected candidate.
    current: usize,
    last_switch: Timestamp,
    /// The failures since a candidate last succeeded.
    failures: usize,
    /// Whether the first candidate is retried although the selected one works.
    is_retrying_first: bool,
}

impl SourceChoice {
    /// Returns the candidate to query now.
    pub fn next(&mut self, candidates: &[FeedCandidate], now: Timestamp) -> Option<FeedCandidate> {
        if self.current > 0 && self.failures == 0 && now.since(self.last_switch) >= FIRST_CANDIDATE_RETRY_INTERVAL {
            self.current = 0;
            self.is_retrying_first = true;
        }
        if self.current >= candidates.len() {
            self.current = 0;
        }
        candidates.get(self.current).copied()
    }

    /// Records that the queried candidate is usable.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.is_retrying_first = false;
    }

    /// Records that the queried candidate did not respond, has no data or can't reach the store.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        self.is_retrying_first = false;
        self.current += 1;
        self.last_switch = now;
    }

    /// Whether all of `candidates` have failed in a row.
    pub fn all_failed(&self, candidates: &[FeedCandidate]) -> bool {
        self.failures >= candidates.len()
    }

    /// Whether the selected candidate is not known to be usable. A query to it must not be a long poll then, so that
    /// its failure is noticed soon.
    pub fn is_searching(&self) -> bool {
        self.failures > 0 || self.is_retrying_first
    }
}
