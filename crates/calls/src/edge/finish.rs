//! Ends calls: with a refusal, because the caller went away, or because the time ran out.

use quillhatch_types::{CallId, Outcome, Refusal, RefusalReason, Timestamp};

use super::call::{Attempt, Call, Phase};
use super::caller::{KeyHash, KeyHistory};
use super::io::{Answer, AttemptResult, CallArrival, EdgeOutput};
use super::state::Edge;

/// An attempt without an answer counts against its target after the class's deadline divided by this.
const CLASS_DEADLINE_DIVISOR: u32 = 2;

impl Edge {
    /// Refuses a call before anything was done for it.
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

    /// Gives the caller `refusal`, or what an earlier attempt proved if that is worse, and drops the call.
    pub(super) fn finish_refused(&mut self, mut call: Box<Call>, refusal: Refusal, outputs: &mut Vec<EdgeOutput>) {
        self.refund_retry(&mut call);
        let refusal = self.resolve_key(call.key, call.final_refusal(refusal));
        self.statistics.count_refusal(&refusal);
        // The tokens go first: once its child is answered, the parent may answer and take no more tokens back.
        self.return_tokens(&call, outputs);
        outputs.push(EdgeOutput::Finish { call: call.id(), answer: Answer::Refuse(refusal) });
    }

    /// Gives the tokens of a call that has ended back to its parent.
    pub(super) fn return_tokens(&mut self, call: &Call, outputs: &mut Vec<EdgeOutput>) {
        let tokens = call.budget.retained();
        if let Some(parent) = call.arrival.parent.as_ref().filter(|_| tokens > 0) {
            outputs.push(EdgeOutput::ReturnTokens { parent: parent.call, tokens });
        }
    }

    /// What a refusal proves of the caller's key: an earlier call with the same key may have run, and to the caller both
    /// are the same request. "Not run" would then be a false promise.
    fn resolve_key(&mut self, key: Option<(KeyHash, KeyHistory)>, refusal: Refusal) -> Refusal {
        let Some((hash, earlier)) = key else {
            return refusal;
        };
        if refusal.outcome != Outcome::NotRun {
            return refusal;
        }
        self.callers.proven_not_run(hash);
        if earlier.may_have_run {
            return Refusal { outcome: Outcome::Unknown, ..refusal };
        }
        refusal
    }

    /// The caller went away: whatever runs for it is stopped.
    pub(super) fn caller_gone(&mut self, id: CallId, outputs: &mut Vec<EdgeOutput>) {
        let Some(mut call) = self.remove_call(id) else {
            self.statistics.stale_inputs += 1;
            return;
        };
        let attempt = call.attempt();
        if let Some(attempt) = attempt {
            self.cancel(&mut call, attempt, outputs);
        }
        let is_relayed = call.broken.is_some() || matches!(call.phase, Phase::Relaying(_));
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

    /// The time of a call ran out before it was answered.
    pub(super) fn expire(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        if let Phase::InFlight(attempt) = call.phase {
            // No answer for long counts like a lost one. A caller with little patience proves nothing against the target.
            if now.since(attempt.sent_at) * CLASS_DEADLINE_DIVISOR >= call.class_deadline {
                self.record_health(now, &call, attempt, &AttemptResult::Lost);
            }
            self.cancel(&mut call, attempt, outputs);
            call.record_refusal(Refusal::unknown(RefusalReason::DeadlinePassed));
        }
        if call.broken.is_some() {
            self.break_off(call, outputs);
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

    /// The attempt is no longer in flight.
    pub(super) fn release_target(&mut self, call: &Call, attempt: Attempt) {
        let service = self.services.get_mut(&call.arrival.service);
        if let Some(target) = service.and_then(|service| service.target(attempt.target)) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
