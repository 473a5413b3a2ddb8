//! Stores the ids of the attempts that ended most recently, so that a late duplicate of an arrival is not run as a new
//! attempt.

use std::collections::{HashSet, VecDeque};

use quillhatch_types::AttemptId;

/// The number of ids stored. At 5,000 calls/s it covers the last 0.8 s, longer than a duplicate stays in a network
/// buffer.
const MAX_RECENT_ATTEMPTS: usize = 4096;

/// The attempts that ended most recently; the oldest is dropped first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAttempts {
    order: VecDeque<AttemptId>,
    members: HashSet<AttemptId>,
}

impl RecentAttempts {
    pub(super) fn insert(&mut self, attempt: AttemptId) {
        if !self.members.insert(attempt) {
            return;
        }
        self.order.push_back(attempt);
        if self.order.len() > MAX_RECENT_ATTEMPTS {
            if let Some(oldest) = self.order.pop_front() {
                self.members.remove(&oldest);
            }
        }
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.members.contains(&attempt)
    }
}
