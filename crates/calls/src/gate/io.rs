//! Inputs and outputs of the gate.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{AttemptId, CallContext, Configuration, Feedback, RecordedAnswer, Refusal, RefusalReason};

/// What became of the request to record a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResolution {
    /// The claim is recorded on a majority; this attempt alone may run.
    Granted,
    /// The key's request has run; this is its recorded answer.
    Replay(RecordedAnswer),
    /// The claim was not granted; the refusal says what is known of earlier runs.
    Refused(Refusal),
}

/// How a back end's part in an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The back end's whole answer was read.
    Whole {
        /// The status code.
        status: u16,
        /// Bytes of the body.
        bytes: u64,
        /// The answer, if it was small enough to record.
        record: Option<RecordedAnswer>,
    },
    /// The back end answered with a status that the configuration lists as "refused before running".
    RefusedBeforeRunning {
        /// The status code.
        status: u16,
    },
    /// The connection could not be opened: no byte reached the back end.
    ConnectFailed,
    /// The back end's answer broke off, or never came, after bytes had reached it.
    Broken,
    /// The caller went away, and the back end's work was stopped.
    Cancelled,
}

/// What the back end's own health and load endpoints say; they lag or mislead, so their weight is bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Whether the back end calls itself healthy.
    pub healthy: bool,
    /// The load it reports, as a share of its capacity, if it does.
    pub load: Option<f64>,
}

/// What can happen to a gate.
#[derive(Clone, Debug, PartialEq)]
pub enum GateInput {
    /// An attempt arrived from an edge.
    Arrived(Box<CallContext>),
    /// A claim that the gate asked for was decided.
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
        /// The length of the body, if it is known.
        length: Option<u64>,
    },
    /// The back end's part in an attempt ended.
    AnswerEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AnswerEnd,
    },
    /// The edge or its caller went away. A dispatched attempt ends later with [`AnswerEnd::Cancelled`] or another end.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// What the back end says of itself.
    Hint(LoadHint),
    /// A newer configuration is in force.
    Configuration(Arc<Configuration>),
    /// Take no new attempt: the back end is leaving, or the node is stopping. Attempts running or waiting finish.
    Close {
        /// What refused attempts are told: [`RefusalReason::Draining`] or [`RefusalReason::Stopping`].
        reason: RefusalReason,
    },
    /// Take attempts again: a drain was cancelled, or the node became ready.
    Open,
    /// Time has passed.
    Tick,
}

/// What a gate wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GateOutput {
    /// Record a claim for the attempt's key; answered by [`GateInput::ClaimResolved`].
    RequestClaim(Box<CallContext>),
    /// Hand the attempt to the back end now, unless `remaining` has passed.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The time left for the back end.
        remaining: Duration,
    },
    /// Answer the edge in the place of the back end.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The refusal.
        refusal: Refusal,
        /// What the edge is told with it.
        feedback: Feedback,
    },
    /// Answer the edge with a recorded answer.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The recorded answer.
        answer: RecordedAnswer,
        /// What the edge is told with it.
        feedback: Feedback,
    },
    /// Stop the back end's work on a dispatched attempt.
    CancelDispatched {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt's claim ended in a run; its answer, if given, is kept for replay.
    ClaimFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The answer, if it is small enough.
        record: Option<RecordedAnswer>,
    },
    /// The attempt's claim is void: the back end never saw the attempt.
    ClaimReleased {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The last attempt of a closed gate ended.
    Idle,
}
