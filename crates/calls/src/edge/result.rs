//! Takes in how an attempt came out: learns about the target, then relays, retries or refuses.

use quillhatch_types::{AttemptId, Feedback, Timestamp};

use super::call::{Attempt, Call, Phase};
use super::io::{Answer, AttemptResult, BodyState, EdgeOutput};
use super::retry::{is_closing, is_failure, judge, RetryKind, Verdict};
use super::state::Edge;

impl Edge {
    /// The head of an attempt's answer arrived, or the attempt failed.
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
        let Some((attempt, mut call)) = in_flight.and_then(|attempt| Some((attempt, self.take(id.call)?))) else {
            self.statistics.stale_inputs += 1;
            return;
        };
        settle_tokens(&mut call, result, feedback);
        self.learn_health(now, &call, attempt, result);
        if let Some(feedback) = feedback {
            self.learn_feedback(now, &call, attempt, &feedback, outputs);
        }
        let Some(verdict) = judge(result, call.repeatable) else {
            return self.relay(now, call, attempt, outputs);
        };
        self.release_target(&call, attempt);
        if !call.tried.contains(&attempt.target) {
            call.tried.push(attempt.target);
        }
        if call.broken.is_some() {
            self.resume(now, call, outputs);
        } else {
            self.retry_or_refuse(now, call, attempt, verdict, outputs);
        }
    }

    /// The body of the answer that is being relayed ended.
    pub(super) fn body_ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        broken: Option<BodyState>,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        let relayed = self.calls.get(&id.call).and_then(|call| match call.phase {
            Phase::Relaying(attempt) if attempt.number == id.attempt => Some(attempt),
            _ => None,
        });
        let Some((attempt, mut call)) = relayed.and_then(|attempt| Some((attempt, self.take(id.call)?))) else {
            self.statistics.stale_inputs += 1;
            return;
        };
        self.release_target(&call, attempt);
        call.phase = Phase::Idle;
        if broken.is_none() {
            return self.end(&call, outputs);
        }
        self.count_failure(now, &call, attempt);
        if !call.tried.contains(&attempt.target) {
            call.tried.push(attempt.target);
        }
        call.broken = broken;
        self.resume(now, call, outputs);
    }

    fn relay(&mut self, now: Timestamp, mut call: Box<Call>, attempt: Attempt, outputs: &mut Vec<EdgeOutput>) {
        call.phase = Phase::Relaying(attempt);
        let continues = call.broken.take().is_some();
        if !continues {
            self.statistics.relayed += 1;
            let answer = Answer::Relay(call.attempt_id(attempt));
            outputs.push(EdgeOutput::Finish { call: call.id(), answer });
        }
        self.keep(now, call);
    }

    fn retry_or_refuse(
        &mut self,
        now: Timestamp,
        mut call: Box<Call>,
        attempt: Attempt,
        verdict: Verdict,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        call.note(verdict.refusal);
        call.phase = Phase::Idle;
        let useful = verdict.retry.filter(|_| call.arrival.replayable_body && call.deadline.leaves_time(now));
        let Some(kind) = useful.filter(|_| self.charge_retry(&mut call)) else {
            return self.finish_refused(call, verdict.refusal, outputs);
        };
        if kind == RetryKind::OtherOwner && !call.repeatable {
            let service = self.services.get_mut(&call.arrival.service);
            call.refused_owner = service.and_then(|service| service.target(attempt.target)).map(|target| target.node);
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
        self.keep(now, call);
    }

    /// Pays for another attempt out of the call's budget and the class's ratio; returns whether both allow it.
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
        let allowed = service.ratio(&call.arrival.class).is_some_and(|ratio| !limited || ratio.charge(percent));
        if !allowed {
            self.statistics.ratio_denied += 1;
            return false;
        }
        call.charged = call.budget.charge();
        call.charged
    }

    /// Takes back the payment for an attempt that was not sent.
    pub(super) fn refund_retry(&mut self, call: &mut Call) {
        if !std::mem::take(&mut call.charged) {
            return;
        }
        call.budget.refund();
        let limited = self.settings.mechanisms.retry_ratio;
        let service = self.services.get_mut(&call.arrival.service);
        if let Some(ratio) = service.and_then(|service| service.ratio(&call.arrival.class)).filter(|_| limited) {
            ratio.refund();
        }
    }

    /// A first try earns its class a part of a retry.
    pub(super) fn earn_retry(&mut self, call: &Call) {
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        let percent = service.class(&call.arrival.class).map_or(0, |class| class.retry_ratio_percent);
        if let Some(ratio) = service.ratio(&call.arrival.class) {
            ratio.first_try(percent);
        }
    }

    /// What the result says of the target's health and speed.
    pub(super) fn learn_health(&mut self, now: Timestamp, call: &Call, attempt: Attempt, result: &AttemptResult) {
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
        // A refusal is quick and says nothing of the back end; counted as an answer it would attract calls.
        let elapsed = now.since(attempt.sent_at);
        match result {
            AttemptResult::Answered { .. } => target.sample(elapsed, now, &settings.balance),
            AttemptResult::Lost => target.sample_without_answer(elapsed, now),
            _ => {}
        }
        if is_closing(result) {
            target.closed_until = now + settings.balance.unavailable_time;
        }
        if is_failure(result) {
            self.count_failure(now, call, attempt);
        } else if !matches!(result, AttemptResult::Refused(_)) {
            target.outlier.success();
        }
    }

    fn count_failure(&mut self, now: Timestamp, call: &Call, attempt: Attempt) {
        let settings = &self.settings.ejection;
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        let due = service.target(attempt.target).is_some_and(|target| target.outlier.failure(settings));
        if due && self.settings.mechanisms.ejection && service.eject(attempt.target, now, settings) {
            self.statistics.ejections += 1;
        }
    }

    fn learn_feedback(
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
        target.hear(feedback, now);
        let site = target.site.clone();
        if feedback.epoch > service.epoch(&site) {
            self.fetch_table(now, call, &site, outputs);
        }
    }
}

/// Takes back the tokens that went with the attempt, if the answer proves that they are not in use.
fn settle_tokens(call: &mut Call, result: &AttemptResult, feedback: Option<Feedback>) {
    match (result, feedback) {
        (AttemptResult::ConnectFailed, _) => call.budget.bring_back_all(),
        (AttemptResult::Lost, _) | (_, None) => call.budget.lose_lent(),
        (_, Some(feedback)) => call.budget.bring_back(feedback.tokens_left),
    }
}
