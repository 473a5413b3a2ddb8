//! Classifies the result of an attempt: the refusal for the caller, and whether a retry is safe and useful.
//!
//! A non-repeatable call is retried only if it is certain that no back end received it. An answered call is never
//! retried.

use quillhatch_types::{Outcome, Refusal, RefusalReason};

use super::io::AttemptResult;

/// How a call may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// Retry, at another target if possible.
    Again,
    /// Retry at the slot's owner, which has to be looked up again.
    OtherOwner,
}

/// The classification of an attempt's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Classification {
    /// The refusal for the caller if the call is not retried.
    pub(crate) refusal: Refusal,
    /// How the call may be retried, if a retry is safe and useful.
    pub(crate) retry: Option<RetryKind>,
}

/// Classifies a result; `None` if the attempt was answered.
pub(crate) fn classify_result(result: &AttemptResult, repeatable: bool) -> Option<Classification> {
    let refusal = match result {
        AttemptResult::Answered { .. } => return None,
        AttemptResult::Refused(refusal) => *refusal,
        AttemptResult::ConnectFailed => Refusal::not_run(RefusalReason::ConnectFailed),
        AttemptResult::Lost => Refusal::unknown(RefusalReason::ConnectionLost),
        // Only a resumed attempt can have this result; the call ran, and the rest of the answer is missing.
        AttemptResult::ResumeRefused => Refusal::failed(RefusalReason::AnswerBroken),
    };
    let safe = repeatable || refusal.outcome == Outcome::NotRun;
    let retry = if safe { retry_kind(refusal.reason, repeatable) } else { None };
    Some(Classification { refusal, retry })
}

fn retry_kind(reason: RefusalReason, repeatable: bool) -> Option<RetryKind> {
    match reason {
        // A gate that drains or stops hands its slots over; only the next owner can run the call.
        RefusalReason::Draining | RefusalReason::Stopping | RefusalReason::NotReady if !repeatable => {
            Some(RetryKind::OtherOwner)
        }
        RefusalReason::NotOwner | RefusalReason::SlotMoving => Some(RetryKind::OtherOwner),
        RefusalReason::Overloaded
        | RefusalReason::QueueTimeout
        | RefusalReason::Draining
        | RefusalReason::Stopping
        | RefusalReason::NotReady
        | RefusalReason::ClaimNotRecorded
        | RefusalReason::ConnectFailed
        | RefusalReason::ConnectionLost
        | RefusalReason::AnswerBroken => Some(RetryKind::Again),
        RefusalReason::DeadlineTooShort
        | RefusalReason::DeadlinePassed
        | RefusalReason::KeyInProgress
        | RefusalReason::KeyConflict
        | RefusalReason::ClaimStoreFull
        | RefusalReason::ClaimsLost
        | RefusalReason::RetriesExhausted
        | RefusalReason::CallerRate
        | RefusalReason::NoTarget
        | RefusalReason::Cancelled
        | RefusalReason::TooDeep
        | RefusalReason::NoRoute
        | RefusalReason::AnswerNotKept
        | RefusalReason::BadRequest => None,
    }
}

/// Whether a result counts as a failure of its target in outlier ejection.
pub(crate) fn is_failure(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::ConnectFailed | AttemptResult::Lost => true,
        AttemptResult::Refused(refusal) => matches!(
            refusal.reason,
            RefusalReason::ConnectFailed | RefusalReason::ConnectionLost | RefusalReason::AnswerBroken
        ),
        AttemptResult::Answered { .. } | AttemptResult::ResumeRefused => false,
    }
}

/// Whether the target reported that it currently accepts no calls.
pub(crate) fn is_unavailable(result: &AttemptResult) -> bool {
    let AttemptResult::Refused(refusal) = result else {
        return false;
    };
    matches!(refusal.reason, RefusalReason::Draining | RefusalReason::Stopping | RefusalReason::NotReady)
}
