//! Which of its candidates a node asks next.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::FeedCandidate;

/// How long a node stays with another than its first candidate before it tries that one again.
const FIRST_AGAIN: Duration = Duration::from_secs(3);

/// The choice among the candidates.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    /// The candidate that is asked, counted from the first.
    number: usize,
    moved: Timestamp,
    /// The candidates that have failed since one was well.
    failures: usize,
    /// Whether the first one is asked again while another is well.
    is_retrying: bool,
}

impl SourceChoice {
    /// The one of `candidates` that is asked now.
    pub fn next(&mut self, candidates: &[FeedCandidate], now: Timestamp) -> Option<FeedCandidate> {
        if self.number > 0 && self.failures == 0 && now.since(self.moved) >= FIRST_AGAIN {
            self.number = 0;
            self.is_retrying = true;
        }
        if self.number >= candidates.len() {
            self.number = 0;
        }
        candidates.get(self.number).copied()
    }

    /// The candidate that was asked is well.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.is_retrying = false;
    }

    /// The candidate that was asked gave no answer, knows nothing, or can't get at the store.
    pub fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        self.is_retrying = false;
        self.number += 1;
        self.moved = now;
    }

    /// Whether all of `candidates` have failed one after the other.
    pub fn all_failed(&self, candidates: &[FeedCandidate]) -> bool {
        self.failures >= candidates.len()
    }

    /// Whether it is not known that the candidate which is asked now is well. Then the question is not to be held.
    pub fn is_searching(&self) -> bool {
        self.failures > 0 || self.is_retrying
    }
}
