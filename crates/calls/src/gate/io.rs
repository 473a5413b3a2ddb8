//! Inputs and outputs of the gate.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{AttemptId, CallContext, Configuration, Feedback, RecordedAnswer, Refusal, RefusalReason};

/// The decision on a request to record a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResolution {
    /// The claim is recorded on a majority; only this attempt may run.
    Granted,
    /// The request with this key has already run; this is its recorded answer.
    Replay(RecordedAnswer),
    /// The claim was not granted; the refusal says what is known about earlier runs.
    Refused(Refusal),
}

/// How an attempt ended at the back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The back end's answer was read completely.
    Whole {
        /// The status code.
        status: u16,
        /// The length of the body in bytes.
        bytes: u64,
        /// The answer, if it was small enough to record.
        record: Option<RecordedAnswer>,
    },
    /// The back end answered with a status that the configuration lists as "refused before running".
    RefusedBeforeRunning {
        /// The status code.
        status: u16,
    },
    /// The connection could not be opened, so no byte reached the back end.
    ConnectFailed,
    /// The answer was incomplete or never came, after bytes had reached the back end.
    Broken,
    /// The attempt was cancelled: its caller disconnected or its deadline passed, and the back end's work was stopped.
    Cancelled,
}

/// What the back end's own health and load endpoints report; it can be late or wrong, so its effect is bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Whether the back end reports itself healthy.
    pub healthy: bool,
    /// The load that it reports, as a share of its capacity, if any.
    pub load: Option<f64>,
}

/// Inputs to a gate.
#[derive(Clone, Debug, PartialEq)]
pub enum GateInput {
    /// An attempt arrived from an edge.
    Arrived(Box<CallContext>),
    /// A claim that the gate requested was decided.
    ClaimResolved {
        /// The attempt.
        attempt: AttemptId,
        /// The decision.
        resolution: ClaimResolution,
    },
    /// The head of the back end's answer arrived.
    AnswerStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The status code.
        status: u16,
        /// The length of the body in bytes, if it is known.
        length: Option<u64>,
    },
    /// An attempt ended at the back end.
    AnswerEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AnswerEnd,
    },
    /// The edge or its caller disconnected. A dispatched attempt still ends with [`AnswerEnd::Cancelled`] or another
    /// end.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A health and load report of the back end.
    Hint(LoadHint),
    /// A newer configuration is in force.
    Configuration(Arc<Configuration>),
    /// Accept no new attempts: the back end is draining, or the node is stopping. Running and waiting attempts may
    /// finish, waiting ones of a draining back end only within the grace period.
    Close {
        /// The reason sent with refusals: [`RefusalReason::Draining`] or [`RefusalReason::Stopping`].
        reason: RefusalReason,
    },
    /// Accept attempts again: a drain was cancelled, or the node became ready.
    Open,
    /// Time has passed.
    Tick,
}

/// Actions that a gate requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum GateOutput {
    /// Record a claim for the attempt's key; answered by [`GateInput::ClaimResolved`].
    RequestClaim(Box<CallContext>),
    /// Send the attempt to the back end now, unless `remaining` has passed.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The time remaining for the back end to answer.
        remaining: Duration,
    },
    /// Answer the edge with a refusal, without an answer from the back end.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The refusal.
        refusal: Refusal,
        /// The feedback to send with it.
        feedback: Feedback,
    },
    /// Answer the edge with a recorded answer.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The recorded answer.
        answer: RecordedAnswer,
        /// The feedback to send with it.
        feedback: Feedback,
    },
    /// Stop the back end's work on a dispatched attempt.
    CancelDispatched {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The claimed attempt ran or may have run; its answer, if given, is recorded for replay.
    ClaimFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The answer, if it is small enough to record.
        record: Option<RecordedAnswer>,
    },
    /// The attempt's claim is released: the back end did not run the attempt.
    ClaimReleased {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The last attempt of a closed gate ended.
    Idle,
}
