//! The last refusals, so that an operator can ask why a call was refused.

use std::collections::VecDeque;

use quillhatch_types::{CallId, Refusal, Timestamp};

/// The number of refusals that are remembered.
const CAPACITY: usize = 4_096;

/// A refusal that a caller was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalEntry {
    /// The call.
    pub call: CallId,
    /// When, on this node's clock.
    pub at: Timestamp,
    /// What the caller was told.
    pub refusal: Refusal,
}

/// A bounded ring of refusals, the oldest forgotten first.
#[derive(Debug, Default)]
pub(crate) struct RefusalRing {
    entries: VecDeque<RefusalEntry>,
}

impl RefusalRing {
    pub(crate) fn push(&mut self, entry: RefusalEntry) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn find(&self, call: CallId) -> Option<&RefusalEntry> {
        self.entries.iter().rev().find(|entry| entry.call == call)
    }
}
