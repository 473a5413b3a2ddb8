//! Runs of attempts at back ends, as the world's own bookkeeping.

use super::calls::{AttemptIndex, CallIndex};
use super::machine::MachineIndex;
use crate::engine::Instant;
use crate::record::{AnswerPart, RunNumber};

/// The position of a run in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunIndex(pub u32);

impl RunIndex {
    /// The position as an index.
    pub fn at(self) -> usize {
        self.0 as usize
    }
}

/// What a back end tells its gate of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum BackEndNews {
    /// No connection could be opened.
    ConnectFailed,
    /// The attempt was refused before it was run.
    RefusedBeforeRunning {
        /// The status code.
        status: u16,
    },
    /// A whole short answer.
    Answer {
        /// The status code.
        status: u16,
        /// The body.
        part: AnswerPart,
        /// The run.
        run: Option<RunNumber>,
    },
    /// A download begins.
    StreamBegins {
        /// The body to come.
        part: AnswerPart,
        /// The length of the whole answer.
        length: u64,
        /// How long the body takes.
        takes: Instant,
        /// The run.
        run: Option<RunNumber>,
    },
    /// A download is sent.
    StreamEnds {
        /// Bytes sent.
        bytes: u64,
    },
    /// The work was stopped.
    Cancelled,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Waits for a slot.
    Queued,
    /// Does a part of its own work.
    Working,
    /// Waits for calls that it made.
    Calling,
    /// Sends a download.
    Streaming,
    /// Is over.
    Ended,
}

/// One attempt at a back end.
pub struct Run {
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Its call.
    pub call: CallIndex,
    /// The machine of the back end.
    pub machine: MachineIndex,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// How far it has come.
    pub state: RunState,
    /// Its number in the record, once it has begun.
    pub number: Option<RunNumber>,
    /// The next stage of its step.
    pub stage: usize,
    /// Calls that it waits for.
    pub pending: usize,
    /// Whether a call below it failed.
    pub failed: bool,
    /// Whether the back end gives the work up half way.
    pub gives_up: bool,
    /// When the present part of its work began.
    pub part_began: Instant,
    /// How long that part takes.
    pub part_takes: Instant,
    /// The calls that it made.
    pub children: Vec<CallIndex>,
}
