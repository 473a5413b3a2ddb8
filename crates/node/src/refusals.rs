//! The most recent refusals, so that an operator can query why a call was refused.

use std::collections::VecDeque;

use quillhatch_types::{CallId, Refusal, Timestamp};

/// The number of refusals that are retained.
const MAX_REFUSALS: usize = 4_096;

/// A refusal that was sent to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalEntry {
    /// The call.
    pub call: CallId,
    /// The time of the refusal, on this node's clock.
    pub at: Timestamp,
    /// The refusal.
    pub refusal: Refusal,
}

/// A bounded queue of refusals that drops the oldest when it is full.
#[derive(Debug, Default)]
pub(crate) struct RefusalHistory {
    entries: VecDeque<RefusalEntry>,
}

impl RefusalHistory {
    pub(crate) fn push(&mut self, entry: RefusalEntry) {
        if self.entries.len() == MAX_REFUSALS {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn find(&self, call: CallId) -> Option<&RefusalEntry> {
        self.entries.iter().rev().find(|entry| entry.call == call)
    }
}
