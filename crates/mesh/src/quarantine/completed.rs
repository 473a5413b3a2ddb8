//! A bounded cache of the requests that have completed recently.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::SignatureKey;

/// The number of runs in the cache. A run replaces another one with the same index, so memory is bounded (32 KB) and a
/// lookup takes one step; at 400 runs a second each stays for some seconds.
const CACHE_ENTRIES: usize = 2048;
/// For how long a completed run clears its request: events that end several targets at once (a rack failure, a release)
/// do so within less time.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(2);

/// The requests that have completed recently.
#[derive(Clone, Debug)]
pub struct CompletedRuns {
    entries: Box<[Option<(SignatureKey, Timestamp)>]>,
}

impl Default for CompletedRuns {
    fn default() -> Self {
        CompletedRuns { entries: vec![None; CACHE_ENTRIES].into_boxed_slice() }
    }
}

impl CompletedRuns {
    /// Records that a run of the request has completed.
    pub fn add(&mut self, key: SignatureKey, now: Timestamp) {
        self.entries[entry_index(key)] = Some((key, now));
    }

    /// Returns whether a run of the request has completed recently.
    pub fn completed_recently(&self, key: SignatureKey, now: Timestamp) -> bool {
        let entry = self.entries[entry_index(key)].filter(|(stored_key, _)| *stored_key == key);
        entry.is_some_and(|(_, at)| now.since(at) < COMPLETION_LIFETIME)
    }
}

fn entry_index(key: SignatureKey) -> usize {
    key.0 as usize % CACHE_ENTRIES
}
