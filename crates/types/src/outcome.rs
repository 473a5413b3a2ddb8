//! What a caller is told when the answer is not the back end's own.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::admission::AdmissionLevel;
use crate::identity::{Epoch, Revision};

/// What is known of whether a call ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Proven: no back end saw the call.
    #[display("not-run")]
    NotRun,
    /// The call may have run; nobody can say.
    #[display("unknown")]
    Unknown,
    /// The call ran, and its answer could not be delivered whole.
    #[display("failed")]
    Failed,
}

/// Why a call was not answered by its back end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The target, or every target, is overloaded and refused the call by rank.
    #[display("overloaded")]
    Overloaded,
    /// The call waited in a queue for as long as it may.
    #[display("queue-timeout")]
    QueueTimeout,
    /// The time left is below what the service needs.
    #[display("deadline-too-short")]
    DeadlineTooShort,
    /// The caller's time ran out.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The back end is leaving and takes no new call.
    #[display("draining")]
    Draining,
    /// The node is stopping and takes no new call.
    #[display("stopping")]
    Stopping,
    /// The node has not finished starting.
    #[display("not-ready")]
    NotReady,
    /// The gate does not own the slot of the call's key, or its lease ran out.
    #[display("not-owner")]
    NotOwner,
    /// The slot of the call's key is on its way to another owner.
    #[display("slot-moving")]
    SlotMoving,
    /// The claim could not be recorded on a majority of voters.
    #[display("claim-not-recorded")]
    ClaimNotRecorded,
    /// A call with the same key is running or may have run.
    #[display("key-in-progress")]
    KeyInProgress,
    /// The key was used before for another request.
    #[display("key-conflict")]
    KeyConflict,
    /// The key's request ran before, and its answer was not kept for replay.
    #[display("answer-not-kept")]
    AnswerNotKept,
    /// The store of claims is full.
    #[display("claim-store-full")]
    ClaimStoreFull,
    /// The group lost the memory of its claims, and retention has not passed.
    #[display("claims-lost")]
    ClaimsLost,
    /// The retry budget or ratio does not allow another attempt.
    #[display("retries-exhausted")]
    RetriesExhausted,
    /// The caller repeats more often than it may.
    #[display("caller-rate")]
    CallerRate,
    /// The service has no target that takes calls.
    #[display("no-target")]
    NoTarget,
    /// The target could not be reached: no byte of the call left the edge.
    #[display("connect-failed")]
    ConnectFailed,
    /// The connection broke before the answer began.
    #[display("connection-lost")]
    ConnectionLost,
    /// The answer broke off in the middle.
    #[display("answer-broken")]
    AnswerBroken,
    /// The caller went away.
    #[display("cancelled")]
    Cancelled,
    /// The call chain is deeper than allowed.
    #[display("too-deep")]
    TooDeep,
    /// No service or class matches the request.
    #[display("no-route")]
    NoRoute,
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
}

/// The final answer to a call that its back end did not answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// What is known of whether the call ran.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back, if that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that proves the call did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::NotRun, reason, retry_after: None }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::Unknown, reason, retry_after: None }
    }

    /// A call that ran and whose answer was lost or broken.
    pub fn failed(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::Failed, reason, retry_after: None }
    }

    /// The same refusal, with advice on when to come back.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Refusal { retry_after: Some(retry_after), ..self }
    }
}

/// What a gate tells the edge with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feedback {
    /// The gate admits calls below this level.
    pub level: AdmissionLevel,
    /// Calls running at the back end.
    pub running: u32,
    /// Calls waiting at the gate.
    pub waiting: u32,
    /// The gate's concurrency limit.
    pub limit: u32,
    /// Retry tokens that the attempt did not use.
    pub tokens_left: u16,
    /// The service's epoch as the gate knows it; an edge that is behind fetches the table.
    pub epoch: Epoch,
    /// The configuration revision that the gate has in force.
    pub revision: Revision,
}
