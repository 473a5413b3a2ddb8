//! How many repeats this node may send to the targets of a service.
//!
//! All nodes together may repeat a share of the service's calls plus a slack. Each node spends the share of its own calls
//! and a part of the slack, so the bound holds without a message, in a partition too. The slack is not handed out again
//! before a whole window has passed, and a process that has just started has none of it: it can't know what the process
//! before it has spent.
//!
//! A repeat high in a chain of calls brings every call below it once more. Each hop tells whether its call is such a one, and
//! the node that sends it on takes it off its own budget. So the repeats that reach any depth are at most the greater of what
//! arrives from above and the share that may be spent there, and they don't add up from level to level.

use std::collections::VecDeque;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The part of the allowed share that is spent; the rest is left for what nodes can't know of each other: windows that begin
/// at other moments, and calls below a repeated one that are not matched with it.
///
/// With 0.9 one of some dozens of days under faults and load passed the bound; for which service is not known.
const SPENT_PART: f64 = 0.75;
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
    pub fn record_call(&mut self, now: Timestamp) {
        self.current(now).calls += 1;
    }

    /// Counts a call of the service that arrives once more since a call above it was repeated. It can't be refused for that
    /// without wasting the work above it, so it is taken off what may be repeated here.
    pub fn record_inherited_retry(&mut self, now: Timestamp) {
        self.current(now).repeats += 1;
    }

    /// The repeats in the current window, inherited ones included.
    pub fn retries_in_window(&self) -> u32 {
        self.pieces.iter().map(|piece| piece.repeats).sum()
    }

    /// Spends one repeat if the budget has it.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let ratio = self.ratio * SPENT_PART;
        let slack = if now.since(self.started) >= self.piece * PIECES { self.slack } else { 0.0 };
        self.current(now);
        let calls: u32 = self.pieces.iter().map(|piece| piece.calls).sum();
        if f64::from(self.retries_in_window() + 1) > ratio * f64::from(calls) + slack {
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
