//! Ends calls: with a refusal, because the caller disconnected, or because the deadline passed.

use quillhatch_types::{CallId, Outcome, Refusal, RefusalReason, Timestamp};

use super::call::{Attempt, Call, Phase};
use super::caller::{KeyHash, KeyHistory};
use super::io::{Answer, AttemptResult, CallArrival, EdgeOutput};
use super::state::Edge;

/// An attempt without an answer for at least the class's deadline divided by this counts as a failure of its target.
const CLASS_DEADLINE_DIVISOR: u32 = 2;

impl Edge {
    /// Refuses a call on arrival, before any attempt.
    pub(super) fn refuse_arrival(
        &mut self,
        arrival: &CallArrival,
        key: Option<(KeyHash, KeyHistory)>,
        refusal: Refusal,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        let refusal = self.resolve_key(key, refusal);
        self.statistics.count_refusal(&refusal);
        if let Some(parent) = arrival.parent.as_ref().filter(|parent| parent.tokens > 0) {
            outputs.push(EdgeOutput::ReturnTokens { parent: parent.call, tokens: parent.tokens });
        }
        outputs.push(EdgeOutput::Finish { call: arrival.call, answer: Answer::Refuse(refusal) });
    }

    /// Answers the caller with `refusal`, or with that of an earlier attempt that is stronger evidence that the call
    /// ran, and drops the call.
    pub(super) fn finish_refused(&mut self, mut call: Box<Call>, refusal: Refusal, outputs: &mut Vec<EdgeOutput>) {
        self.refund_retry(&mut call);
        let refusal = self.resolve_key(call.key, call.final_refusal(refusal));
        self.statistics.count_refusal(&refusal);
        // The tokens are returned first: once its child is answered, the parent may answer too and accept no more
        // tokens.
        self.return_tokens(&call, outputs);
        outputs.push(EdgeOutput::Finish { call: call.id(), answer: Answer::Refuse(refusal) });
    }

    /// Returns the unused tokens of a call that ends to its parent.
    pub(super) fn return_tokens(&mut self, call: &Call, outputs: &mut Vec<EdgeOutput>) {
        let tokens = call.budget.retained();
        if let Some(parent) = call.arrival.parent.as_ref().filter(|_| tokens > 0) {
            outputs.push(EdgeOutput::ReturnTokens { parent: parent.call, tokens });
        }
    }

    /// Changes a "not run" refusal to "unknown" if an earlier call with the caller's key may have run: to the caller
    /// both are the same request, so "not run" could be false. Records that the refused call itself did not run.
    fn resolve_key(&mut self, key: Option<(KeyHash, KeyHistory)>, refusal: Refusal) -> Refusal {
        let Some((hash, earlier)) = key else {
            return refusal;
        };
        if refusal.outcome != Outcome::NotRun {
            return refusal;
        }
        self.callers.record_not_run(hash);
        if earlier.may_have_run {
            return Refusal { outcome: Outcome::Unknown, ..refusal };
        }
        refusal
    }

    /// Cancels a call whose caller disconnected.
    pub(super) fn caller_disconnected(&mut self, id: CallId, outputs: &mut Vec<EdgeOutput>) {
        let Some(mut call) = self.remove_call(id) else {
            self.statistics.stale_inputs += 1;
            return;
        };
        let attempt = call.attempt();
        if let Some(attempt) = attempt {
            self.cancel(&mut call, attempt, outputs);
        }
        let is_relayed = call.interrupted.is_some() || matches!(call.phase, Phase::Relaying(_));
        if is_relayed {
            self.refund_retry(&mut call);
            self.return_tokens(&call, outputs);
            return;
        }
        if attempt.is_some() {
            call.record_refusal(Refusal::unknown(RefusalReason::Cancelled));
        }
        self.finish_refused(call, Refusal::not_run(RefusalReason::Cancelled), outputs);
    }

    /// Ends a call whose deadline passed before the head of an answer arrived.
    pub(super) fn expire(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        if let Phase::InFlight(attempt) = call.phase {
            // After a long wait a missing answer counts as a lost one. A caller's short timeout is no evidence against
            // the target.
            if now.since(attempt.sent_at) * CLASS_DEADLINE_DIVISOR >= call.class_deadline {
                self.record_health(now, &call, attempt, &AttemptResult::Lost);
            }
            self.cancel(&mut call, attempt, outputs);
            call.record_refusal(Refusal::unknown(RefusalReason::DeadlinePassed));
        }
        if call.interrupted.is_some() {
            self.abort_stream(call, outputs);
            return;
        }
        self.finish_refused(call, Refusal::not_run(RefusalReason::DeadlinePassed), outputs);
    }

    fn cancel(&mut self, call: &mut Call, attempt: Attempt, outputs: &mut Vec<EdgeOutput>) {
        self.release_target(call, attempt);
        call.budget.discard_lent();
        self.statistics.cancelled_attempts += 1;
        outputs.push(EdgeOutput::CancelAttempt { attempt: call.attempt_id(attempt) });
    }

    /// Decrements the target's count of attempts in flight.
    pub(super) fn release_target(&mut self, call: &Call, attempt: Attempt) {
        let service = self.services.get_mut(&call.arrival.service);
        if let Some(target) = service.and_then(|service| service.target(attempt.target)) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
