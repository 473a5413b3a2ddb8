//! Which machine a node reports to: the first one of the candidates that answers.

use std::net::IpAddr;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The reports without an answer after which the next candidate is tried. One is lost now and then, and a node that moves
/// alone gets the part of one node.
const MOST_MISSED: u32 = 3;
/// How often the first candidate is tried again while it does not answer: all nodes should come back to one.
const FIRST_AGAIN: Duration = Duration::from_secs(2);

/// The choice of one node.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorChoice {
    place: usize,
    unanswered: u32,
    moved: Timestamp,
}

impl CoordinatorChoice {
    /// The one of `candidates` that gets the report which is sent now.
    pub fn next(&mut self, candidates: &[IpAddr], now: Timestamp) -> Option<IpAddr> {
        if self.unanswered >= MOST_MISSED {
            self.unanswered = 0;
            self.place += 1;
            self.moved = now;
        } else if self.place > 0 && now.since(self.moved) >= FIRST_AGAIN {
            self.place = 0;
            self.moved = now;
        }
        self.unanswered += 1;
        if self.place >= candidates.len() {
            self.place = 0;
        }
        candidates.get(self.place).copied()
    }

    /// A report was answered.
    pub fn answered(&mut self) {
        self.unanswered = 0;
    }
}
