//! How many repeats this node may send to the targets of a service.
//!
//! All nodes together may repeat a share of the service's calls plus a slack. Each node spends the share of its own calls
//! and a part of the slack, so the bound holds without a message, in a partition too. The slack is not handed out again
//! before a whole window has passed, and a process that has just started has none of it: it can't know what the process
//! before it has spent.

use std::collections::VecDeque;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The part of the allowed share that is spent; the rest is left for repeats below a repeated call.
const SPENT_PART: f64 = 0.5;
/// Windows are counted in this many pieces.
const PIECES: u32 = 10;

/// The repeats of one service by this node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    piece: Duration,
    slack: f64,
    started: Timestamp,
    pieces: VecDeque<Piece>,
}

#[derive(Clone, Copy, Debug)]
struct Piece {
    begins: Timestamp,
    calls: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget with the share `ratio` over `window`, and this node's part of the slack.
    pub fn new(ratio: f64, window: Duration, slack: f64, now: Timestamp) -> Self {
        RetryBudget { ratio, piece: window / PIECES, slack, started: now, pieces: VecDeque::new() }
    }

    /// Counts a call of the service.
    pub fn call(&mut self, now: Timestamp) {
        self.current(now).calls += 1;
    }

    /// Spends one repeat if the budget has it.
    pub fn try_repeat(&mut self, now: Timestamp) -> bool {
        let ratio = self.ratio * SPENT_PART;
        let slack = if now.since(self.started) >= self.piece * PIECES { self.slack } else { 0.0 };
        self.current(now);
        let calls: u32 = self.pieces.iter().map(|piece| piece.calls).sum();
        let repeats: u32 = self.pieces.iter().map(|piece| piece.repeats).sum();
        if f64::from(repeats + 1) > ratio * f64::from(calls) + slack {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    fn current(&mut self, now: Timestamp) -> &mut Piece {
        let window = self.piece * PIECES;
        while self.pieces.front().is_some_and(|piece| now.since(piece.begins) >= window) {
            self.pieces.pop_front();
        }
        let is_new = self.pieces.back().is_none_or(|piece| now.since(piece.begins) >= self.piece);
        if is_new {
            self.pieces.push_back(Piece { begins: now, calls: 0, repeats: 0 });
        }
        self.pieces.back_mut().expect("a piece was added")
    }
}
