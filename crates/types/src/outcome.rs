//! Outcomes and refusals: the result that a caller receives when the back end's own response can't be delivered.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::admission::AdmissionLevel;
use crate::identity::{Epoch, Revision};

/// Whether a call ran, as far as it is known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is proven that no back end ran the call.
    #[display("not-run")]
    NotRun,
    /// The call may have run; this cannot be determined.
    #[display("unknown")]
    Unknown,
    /// The call ran, but its response could not be delivered completely.
    #[display("failed")]
    Failed,
}

/// Why a caller received no complete response from the back end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The target, or every target, is overloaded and refused the call by rank.
    #[display("overloaded")]
    Overloaded,
    /// The call reached the maximum waiting time of a queue.
    #[display("queue-timeout")]
    QueueTimeout,
    /// The time left is shorter than the minimum that the service needs.
    #[display("deadline-too-short")]
    DeadlineTooShort,
    /// The caller's deadline passed.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The back end is draining and accepts no new calls.
    #[display("draining")]
    Draining,
    /// The node is stopping and accepts no new calls.
    #[display("stopping")]
    Stopping,
    /// The node has not finished starting.
    #[display("not-ready")]
    NotReady,
    /// The gate does not own the slot of the call's key, or its lease expired.
    #[display("not-owner")]
    NotOwner,
    /// The slot of the call's key is being moved to another owner.
    #[display("slot-moving")]
    SlotMoving,
    /// The claim could not be recorded on a majority of voters.
    #[display("claim-not-recorded")]
    ClaimNotRecorded,
    /// A call with the same key is running or may have run.
    #[display("key-in-progress")]
    KeyInProgress,
    /// The key was already used for a different request.
    #[display("key-conflict")]
    KeyConflict,
    /// The key's request already ran, but its response was not retained for replay.
    #[display("answer-not-kept")]
    AnswerNotKept,
    /// The store of claims is full.
    #[display("claim-store-full")]
    ClaimStoreFull,
    /// The group lost its claims, and the retention period has not passed.
    #[display("claims-lost")]
    ClaimsLost,
    /// The retry budget or ratio does not allow another attempt.
    #[display("retries-exhausted")]
    RetriesExhausted,
    /// The caller exceeded its rate of calls or of retries.
    #[display("caller-rate")]
    CallerRate,
    /// The service has no target that accepts calls.
    #[display("no-target")]
    NoTarget,
    /// The connection to the target could not be opened: the edge sent no byte of the call.
    #[display("connect-failed")]
    ConnectFailed,
    /// The connection was lost before the response began.
    #[display("connection-lost")]
    ConnectionLost,
    /// The response was truncated.
    #[display("answer-broken")]
    AnswerBroken,
    /// The caller cancelled the call.
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

/// The final result of a call whose back end's response could not be delivered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// Whether the call ran, as far as it is known.
    pub outcome: Outcome,
    /// Why the back end's response was not delivered.
    pub reason: RefusalReason,
    /// How long the caller should wait before it retries, if a retry may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a call that is proven not to have run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::NotRun, reason, retry_after: None }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::Unknown, reason, retry_after: None }
    }

    /// A refusal of a call that ran but whose response was lost or truncated.
    pub fn failed(reason: RefusalReason) -> Self {
        Refusal { outcome: Outcome::Failed, reason, retry_after: None }
    }

    /// The same refusal with a time to wait before a retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Refusal { retry_after: Some(retry_after), ..self }
    }
}

/// The state that a gate reports to the edge with every response.
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
    /// The service's epoch known to the gate; an edge with a lower epoch fetches the routing table.
    pub epoch: Epoch,
    /// The configuration revision that the gate has in force.
    pub revision: Revision,
}
