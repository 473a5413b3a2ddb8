//! Handles the result of an attempt: updates the target's state, then relays the answer, retries or refuses the call.

use quillhatch_types::{AttemptId, Feedback, Timestamp};

use super::call::{Attempt, Call, Phase};
use super::io::{Answer, AttemptResult, BodyState, EdgeOutput};
use super::retry::{classify_result, is_failure, is_unavailable, Classification, RetryKind};
use super::state::Edge;

impl Edge {
    /// Handles the head of an attempt's answer, or the attempt's failure.
    pub(super) fn attempt_answered(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        result: &AttemptResult,
        feedback: Option<Feedback>,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        let in_flight = self.calls.get(&id.call).and_then(|call| match call.phase {
            Phase::InFlight(attempt) if attempt.number == id.attempt => Some(attempt),
            _ => None,
        });
        let Some((attempt, mut call)) = in_flight.and_then(|attempt| Some((attempt, self.remove_call(id.call)?)))
        else {
            self.statistics.stale_inputs += 1;
            return;
        };
        recover_tokens(&mut call, result, feedback);
        self.record_health(now, &call, attempt, result);
        if let Some(feedback) = feedback {
            self.record_feedback(now, &call, attempt, &feedback, outputs);
        }
        let Some(classification) = classify_result(result, call.repeatable) else {
            return self.relay(now, call, attempt, outputs);
        };
        self.release_target(&call, attempt);
        if !call.tried.contains(&attempt.target) {
            call.tried.push(attempt.target);
        }
        if call.interrupted.is_some() {
            self.resume(now, call, outputs);
        } else {
            self.retry_or_refuse(now, call, attempt, classification, outputs);
        }
    }

    /// Handles the end of the body of a relayed answer; `incomplete` is the progress of a body that was cut short.
    pub(super) fn body_ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        incomplete: Option<BodyState>,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        let relayed = self.calls.get(&id.call).and_then(|call| match call.phase {
            Phase::Relaying(attempt) if attempt.number == id.attempt => Some(attempt),
            _ => None,
        });
        let Some((attempt, mut call)) = relayed.and_then(|attempt| Some((attempt, self.remove_call(id.call)?))) else {
            self.statistics.stale_inputs += 1;
            return;
        };
        self.release_target(&call, attempt);
        call.phase = Phase::Idle;
        if incomplete.is_none() {
            return self.return_tokens(&call, outputs);
        }
        self.record_failure(now, &call, attempt);
        if !call.tried.contains(&attempt.target) {
            call.tried.push(attempt.target);
        }
        call.interrupted = incomplete;
        self.resume(now, call, outputs);
    }

    fn relay(&mut self, now: Timestamp, mut call: Box<Call>, attempt: Attempt, outputs: &mut Vec<EdgeOutput>) {
        call.phase = Phase::Relaying(attempt);
        let is_resumed = call.interrupted.take().is_some();
        if !is_resumed {
            self.statistics.relayed += 1;
            let answer = Answer::Relay(call.attempt_id(attempt));
            outputs.push(EdgeOutput::Finish { call: call.id(), answer });
        }
        self.insert_call(now, call);
    }

    fn retry_or_refuse(
        &mut self,
        now: Timestamp,
        mut call: Box<Call>,
        attempt: Attempt,
        classification: Classification,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        call.record_refusal(classification.refusal);
        call.phase = Phase::Idle;
        let useful = classification.retry.filter(|_| call.arrival.replayable_body && call.deadline.leaves_time(now));
        let Some(kind) = useful.filter(|_| self.charge_retry(&mut call)) else {
            return self.finish_refused(call, classification.refusal, outputs);
        };
        if kind == RetryKind::OtherOwner && !call.repeatable {
            let service = self.services.get_mut(&call.arrival.service);
            call.rejecting_owner = service.and_then(|service| service.target(attempt.target)).map(|target| target.node);
            return self.dispatch(now, call, outputs);
        }
        call.ranks_as_retry = true;
        self.back_off(now, call, outputs);
    }

    fn back_off(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        if !self.settings.mechanisms.backoff {
            return self.dispatch(now, call, outputs);
        }
        let retry = u32::from(call.attempts.saturating_sub(1));
        let delay = self.settings.backoff.delay(retry, call.deadline.spare(now), &mut self.random);
        call.phase = Phase::Backoff { until: now + delay };
        self.insert_call(now, call);
    }

    /// Charges a retry to the call's budget and the class's ratio limit; returns whether both allow it.
    pub(super) fn charge_retry(&mut self, call: &mut Call) -> bool {
        if call.attempts == u8::MAX {
            return false;
        }
        if !call.budget.allows_retry() {
            self.statistics.budget_denied += 1;
            return false;
        }
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return false;
        };
        let percent = service.class(&call.arrival.class).map_or(0, |class| class.retry_ratio_percent);
        let limited = self.settings.mechanisms.retry_ratio;
        let allowed = service.ratio_limit(&call.arrival.class).is_some_and(|ratio| !limited || ratio.charge(percent));
        if !allowed {
            self.statistics.ratio_denied += 1;
            return false;
        }
        call.retry_charged = call.budget.charge();
        call.retry_charged
    }

    /// Returns the charge for a retry that was not sent.
    pub(super) fn refund_retry(&mut self, call: &mut Call) {
        if !std::mem::take(&mut call.retry_charged) {
            return;
        }
        call.budget.refund();
        let limited = self.settings.mechanisms.retry_ratio;
        let service = self.services.get_mut(&call.arrival.service);
        if let Some(ratio) = service.and_then(|service| service.ratio_limit(&call.arrival.class)).filter(|_| limited) {
            ratio.refund();
        }
    }

    /// Credits the class's ratio limit for a first attempt.
    pub(super) fn earn_retry(&mut self, call: &Call) {
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        let percent = service.class(&call.arrival.class).map_or(0, |class| class.retry_ratio_percent);
        if let Some(ratio) = service.ratio_limit(&call.arrival.class) {
            ratio.earn(percent);
        }
    }

    /// Updates the target's latency, availability and failures from the result.
    pub(super) fn record_health(&mut self, now: Timestamp, call: &Call, attempt: Attempt, result: &AttemptResult) {
        match result {
            AttemptResult::Lost => self.statistics.lost_attempts += 1,
            AttemptResult::ConnectFailed => self.statistics.failed_connects += 1,
            _ => {}
        }
        let settings = &self.settings;
        let service = self.services.get_mut(&call.arrival.service);
        let Some(target) = service.and_then(|service| service.target(attempt.target)) else {
            return;
        };
        // A refusal is quick and says nothing about the back end; recorded as a latency it would attract calls.
        let elapsed = now.since(attempt.sent_at);
        match result {
            AttemptResult::Answered { .. } => target.record_latency(elapsed, now, &settings.balance),
            AttemptResult::Lost => target.record_unanswered(elapsed, now),
            _ => {}
        }
        if is_unavailable(result) {
            target.unavailable_until = now + settings.balance.unavailable_time;
        }
        if is_failure(result) {
            self.record_failure(now, call, attempt);
        } else if !matches!(result, AttemptResult::Refused(_)) {
            target.outlier.success();
        }
    }

    fn record_failure(&mut self, now: Timestamp, call: &Call, attempt: Attempt) {
        let settings = &self.settings.ejection;
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        let due = service.target(attempt.target).is_some_and(|target| target.outlier.failure(settings));
        if due && self.settings.mechanisms.ejection && service.eject(attempt.target, now, settings) {
            self.statistics.ejections += 1;
        }
    }

    fn record_feedback(
        &mut self,
        now: Timestamp,
        call: &Call,
        attempt: Attempt,
        feedback: &Feedback,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        let Some(target) = service.target(attempt.target) else {
            return;
        };
        target.record_feedback(feedback, now);
        let site = target.site.clone();
        if feedback.epoch > service.epoch(&site) {
            self.fetch_table(now, call, &site, outputs);
        }
    }
}

/// Recovers the tokens lent to the attempt as far as the result proves that they are unused; otherwise discards them.
fn recover_tokens(call: &mut Call, result: &AttemptResult, feedback: Option<Feedback>) {
    match (result, feedback) {
        (AttemptResult::ConnectFailed, _) => call.budget.return_all_tokens(),
        (AttemptResult::Lost, _) | (_, None) => call.budget.discard_lent(),
        (_, Some(feedback)) => call.budget.return_tokens(feedback.tokens_left),
    }
}
