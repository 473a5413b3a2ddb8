//! Decides from the result of an attempt what the caller may be told, and whether another attempt is safe and helps.
//!
//! A call that may run only once is sent again only after proof that no back end saw it. An answered call is never sent
//! again.

use quillhatch_types::{Outcome, Refusal, RefusalReason};

use super::io::AttemptResult;

/// What another attempt should do differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// Try again, elsewhere if possible.
    Again,
    /// Find out who owns the slot first.
    OtherOwner,
}

/// What the result of an attempt means for its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Classification {
    /// What the caller is told if this is the end.
    pub(crate) refusal: Refusal,
    /// How another attempt may go, if one is safe and helps.
    pub(crate) retry: Option<RetryKind>,
}

/// Judges a result; `None` if the attempt was answered.
pub(crate) fn classify_result(result: &AttemptResult, repeatable: bool) -> Option<Classification> {
    let refusal = match result {
        AttemptResult::Answered { .. } => return None,
        AttemptResult::Refused(refusal) => *refusal,
        AttemptResult::ConnectFailed => Refusal::not_run(RefusalReason::ConnectFailed),
        AttemptResult::Lost => Refusal::unknown(RefusalReason::ConnectionLost),
        // Only a resumed attempt can end like this; it ran, and the rest of the answer is missing.
        AttemptResult::ResumeRefused => Refusal::failed(RefusalReason::AnswerBroken),
    };
    let safe = repeatable || refusal.outcome == Outcome::NotRun;
    let retry = if safe { retry_kind(refusal.reason, repeatable) } else { None };
    Some(Classification { refusal, retry })
}

fn retry_kind(reason: RefusalReason, repeatable: bool) -> Option<RetryKind> {
    match reason {
        // A gate that closes hands its slots on; only the next owner can run the call.
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

/// Whether a result speaks against the health of its target.
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

/// Whether the target said that it takes no calls at present.
pub(crate) fn is_unavailable(result: &AttemptResult) -> bool {
    let AttemptResult::Refused(refusal) = result else {
        return false;
    };
    matches!(refusal.reason, RefusalReason::Draining | RefusalReason::Stopping | RefusalReason::NotReady)
}
