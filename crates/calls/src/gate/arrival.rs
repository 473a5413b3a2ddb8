//! The first phase of an attempt: arrival, waiting, and refusal while waiting.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, AttemptId, CallContext, Refusal, RefusalReason, Timestamp};

use super::attempt::{is_protected, Attempt, Lane, Phase};
use super::io::GateOutput;
use super::machine::Gate;
use super::queue::{QueueTicket, WaitingAttempt};
use super::tokens::TokenAccount;

/// A waiting attempt that can be evicted for a more important one.
#[derive(Clone, Copy, Debug)]
struct EvictionCandidate {
    lane: Lane,
    ticket: QueueTicket,
    attempt: AttemptId,
    rank: AdmissionRank,
}

/// Longer remaining times are reduced to this, so that a forged value cannot hold memory for long. It also serves as
/// the queue timeout while that mechanism is off.
const MAX_REMAINING_TIME: Duration = Duration::from_secs(3600);

impl Gate {
    pub(super) fn arrive(&mut self, now: Timestamp, context: Box<CallContext>, outputs: &mut Vec<GateOutput>) {
        let attempt = context.attempt_id();
        if self.attempts.contains_key(&attempt) || self.recent.contains(attempt) {
            return;
        }
        let lane = self.lane_of(&context);
        if let Some(refusal) = self.refusal_on_arrival(now, &context) {
            self.refuse_arrival(now, &context, refusal, outputs);
            return;
        }
        if lane == Lane::Short {
            self.admission.arrived(context.rank);
        }
        if is_protected(context.rank) {
            self.last_protected_arrival = Some(now);
        }
        let starts_immediately =
            self.would_start_next(lane, &context) && self.has_free_slot(now, lane, is_protected(context.rank));
        if !starts_immediately {
            if let Some(refusal) = self.admit_to_queue(now, lane, &context, outputs) {
                self.refuse_arrival(now, &context, refusal, outputs);
                return;
            }
        }
        self.enqueue(now, lane, context);
    }

    /// Whether a new attempt would start before all waiting ones. A protected one may: a reserved slot can be free
    /// while less important attempts wait.
    fn would_start_next(&self, lane: Lane, context: &CallContext) -> bool {
        let short = self.short_queue.peek(false);
        if lane == Lane::Large && short.is_some_and(|(_, head)| head.rank < context.rank) {
            return false;
        }
        let Some((_, head)) = self.queue(lane).peek(false) else { return true };
        let by_rank = self.settings.mechanisms.priority_queue;
        by_rank && is_protected(context.rank) && !is_protected(head.rank)
    }

    fn lane_of(&self, context: &CallContext) -> Lane {
        let class = self.target.as_ref().and_then(|target| target.class(&context.class));
        let large = class.is_some_and(|class| class.large_answers);
        if large && self.settings.mechanisms.large_answer_limit {
            Lane::Large
        } else {
            Lane::Short
        }
    }

    /// Refuses an arrival for a reason other than load: a closed or unconfigured gate, a wrong service, too little
    /// time.
    fn refusal_on_arrival(&self, now: Timestamp, context: &CallContext) -> Option<Refusal> {
        if let Some(closed) = self.closed {
            return Some(Refusal::not_run(closed.reason));
        }
        if self.target.is_none() {
            return Some(Refusal::not_run(RefusalReason::NotReady));
        }
        if context.service != self.settings.service {
            return Some(Refusal::not_run(RefusalReason::NoRoute));
        }
        let too_short = self.settings.mechanisms.deadline_check && context.remaining < self.needed_time(now, context);
        too_short.then(|| Refusal::not_run(RefusalReason::DeadlineTooShort))
    }

    /// The minimum time that a call of this class needs: with less remaining time it is expected to miss its deadline.
    pub(super) fn needed_time(&self, now: Timestamp, context: &CallContext) -> Duration {
        let Some(target) = &self.target else { return Duration::ZERO };
        let deadline = target.deadline(&context.class);
        let typical = target.class(&context.class).map(|class| class.service_time.estimate(now, deadline));
        target.minimum_time.max(typical.unwrap_or_default())
    }

    /// Decides whether a new attempt without a free slot may wait, and evicts a less important one if the queue is
    /// full.
    ///
    /// Returns the refusal if it may not wait.
    fn admit_to_queue(
        &mut self,
        now: Timestamp,
        lane: Lane,
        context: &CallContext,
        outputs: &mut Vec<GateOutput>,
    ) -> Option<Refusal> {
        if lane == Lane::Short {
            self.limit.blocked();
        }
        let candidate = self.eviction_candidate(lane, context);
        let protected_can_evict = is_protected(context.rank) && candidate.is_some();
        let above_level = lane == Lane::Short && !self.level().admits(context.rank);
        let too_late = self.expected_wait(now, lane, context) > self.max_useful_wait(now, context);
        if !protected_can_evict && (above_level || too_late) {
            // A refusal caused by the level itself must not count as pressure, or the level would keep itself low.
            if !above_level {
                self.record_queue_pressure(now, lane);
            }
            return Some(self.overload_refusal(RefusalReason::Overloaded));
        }
        if self.queue(lane).len() < self.max_queue_len(now, lane) {
            return None;
        }
        self.record_queue_pressure(now, lane);
        let Some(victim) = candidate else {
            return Some(self.overload_refusal(RefusalReason::Overloaded));
        };
        self.evict(now, victim, outputs);
        None
    }

    /// The waiting attempt to evict for `context`, if any. No protected one is chosen while an unprotected one waits in
    /// either lane.
    fn eviction_candidate(&self, lane: Lane, context: &CallContext) -> Option<EvictionCandidate> {
        let candidate_in = |lane: Lane| {
            let least = self.queue(lane).least_important().filter(|(_, waiting)| waiting.rank > context.rank);
            least.map(|(ticket, waiting)| EvictionCandidate {
                lane,
                ticket,
                attempt: waiting.attempt,
                rank: waiting.rank,
            })
        };
        let own = candidate_in(lane);
        if !is_protected(context.rank) || own.is_some_and(|victim| !is_protected(victim.rank)) {
            return own;
        }
        candidate_in(lane.other()).filter(|victim| !is_protected(victim.rank)).or(own)
    }

    /// The maximum number of waiting attempts: at most as many as get a slot within the queue timeout.
    ///
    /// In a longer queue the least important attempts would be overtaken until they time out.
    fn max_queue_len(&mut self, now: Timestamp, lane: Lane) -> usize {
        let bound = self.settings.maximum_waiting;
        if lane == Lane::Large {
            // Protected short calls beyond their own bound have evicted waiting large answers and take up their places.
            let excess = self.short_queue.len().saturating_sub(bound);
            return self.settings.maximum_waiting_large.saturating_sub(excess);
        }
        if !self.settings.mechanisms.early_refusal || self.mean_slot_seconds <= 0.0 {
            return bound;
        }
        let served = self.queue_timeout().as_secs_f64() * self.slot_rate(now);
        bound.min((served as usize).max(1))
    }

    /// The number of slots that become free per second, by Little's law.
    fn slot_rate(&mut self, now: Timestamp) -> f64 {
        f64::from(self.short_call_limit(now).max(1)) / self.mean_slot_seconds
    }

    /// The expected wait of a new attempt: the number of attempts ahead of it, divided by the rate at which slots
    /// become free.
    fn expected_wait(&mut self, now: Timestamp, lane: Lane, context: &CallContext) -> Duration {
        if lane == Lane::Large || !self.settings.mechanisms.early_refusal || self.mean_slot_seconds <= 0.0 {
            return Duration::ZERO;
        }
        let ahead = self.short_queue.ahead_of(context.rank, self.overloaded(now)) as f64;
        Duration::from_secs_f64(ahead / self.slot_rate(now))
    }

    fn max_useful_wait(&self, now: Timestamp, context: &CallContext) -> Duration {
        let spare = context.remaining.saturating_sub(self.needed_time(now, context));
        spare.min(self.queue_timeout())
    }

    fn queue_timeout(&self) -> Duration {
        if !self.settings.mechanisms.queue_timeout {
            return MAX_REMAINING_TIME;
        }
        self.target.as_ref().map_or(Duration::ZERO, |target| target.queue_timeout)
    }

    pub(super) fn record_queue_pressure(&mut self, now: Timestamp, lane: Lane) {
        // Large answers have a limit of their own: their queue says nothing about the slots of short calls.
        if lane == Lane::Short {
            self.admission.record_pressure(now);
        }
    }

    fn enqueue(&mut self, now: Timestamp, lane: Lane, context: Box<CallContext>) {
        let attempt = context.attempt_id();
        let deadline = now + context.remaining.min(MAX_REMAINING_TIME);
        let queue_expires = now + self.queue_timeout();
        let expires = queue_expires.min(self.latest_start(now, deadline, &context));
        let waiting = WaitingAttempt { attempt, rank: context.rank, since: now, expires };
        let ticket = self.queue_mut(lane).push(waiting);
        let entry = Attempt {
            lane,
            deadline,
            phase: Phase::Waiting { ticket, queue_expires },
            tokens: TokenAccount::new(context.tokens),
            slot_since: now,
            reserved_bytes: 0,
            context,
        };
        self.attempts.insert(attempt, entry);
    }

    /// The latest time at which an attempt may start: early enough to meet its deadline, or the deadline itself while
    /// the deadline check is off.
    pub(super) fn latest_start(&self, now: Timestamp, deadline: Timestamp, context: &CallContext) -> Timestamp {
        if self.settings.mechanisms.deadline_check {
            deadline - self.needed_time(now, context)
        } else {
            deadline
        }
    }

    /// Refuses waiting attempts that have expired.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, lane: Lane, outputs: &mut Vec<GateOutput>) {
        self.refuse_after_drain(now, lane, outputs);
        while let Some((at, ticket)) = self.queue(lane).first_expiry() {
            if at > now {
                break;
            }
            if !self.extend_by_eviction(now, lane, ticket, outputs) {
                self.refuse_expired(now, lane, ticket, outputs);
            }
        }
    }

    /// Refuses all waiting attempts once the drain's grace period is over: the back end gets no new work after it.
    fn refuse_after_drain(&mut self, now: Timestamp, lane: Lane, outputs: &mut Vec<GateOutput>) {
        if !self.drain_grace_is_over(now) {
            return;
        }
        while let Some((_, waiting)) = self.queue(lane).peek(false) {
            self.end_refused(now, waiting.attempt, Refusal::not_run(RefusalReason::Draining), outputs);
        }
    }

    pub(super) fn drain_grace_is_over(&self, now: Timestamp) -> bool {
        let draining = self.closed.filter(|closed| closed.reason == RefusalReason::Draining);
        draining.is_some_and(|closed| now >= closed.since + self.settings.drain_grace)
    }

    /// Extends the wait of an expired protected attempt by evicting a less important one, if its deadline allows;
    /// returns whether it did.
    fn extend_by_eviction(
        &mut self,
        now: Timestamp,
        lane: Lane,
        ticket: QueueTicket,
        outputs: &mut Vec<GateOutput>,
    ) -> bool {
        let Some(waiting) = self.queue(lane).get(ticket) else { return false };
        let Some(entry) = self.attempts.get(&waiting.attempt) else { return false };
        let latest = self.latest_start(now, entry.deadline, &entry.context);
        let eviction_candidate = self.eviction_candidate(lane, &entry.context);
        let Some(victim) = eviction_candidate.filter(|_| entry.is_protected() && latest > now) else {
            return false;
        };
        self.record_queue_pressure(now, lane);
        self.evict(now, victim, outputs);
        self.extend_wait(now, lane, ticket, latest);
        true
    }

    fn extend_wait(&mut self, now: Timestamp, lane: Lane, ticket: QueueTicket, latest: Timestamp) {
        let queue_expires = now + self.queue_timeout();
        let Some(waiting) = self.queue_mut(lane).remove(ticket) else { return };
        let ticket = self.queue_mut(lane).push(WaitingAttempt { expires: queue_expires.min(latest), ..waiting });
        if let Some(entry) = self.attempts.get_mut(&waiting.attempt) {
            entry.phase = Phase::Waiting { ticket, queue_expires };
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, lane: Lane, ticket: QueueTicket, outputs: &mut Vec<GateOutput>) {
        let Some(waiting) = self.queue_mut(lane).remove(ticket) else { return };
        let Some(entry) = self.attempts.get(&waiting.attempt) else { return };
        let queue_timed_out = matches!(entry.phase, Phase::Waiting { queue_expires, .. } if queue_expires <= now);
        let too_late = self.latest_start(now, entry.deadline, &entry.context) <= now;
        let refusal = if queue_timed_out && !too_late {
            self.overload_refusal(RefusalReason::QueueTimeout)
        } else {
            Refusal::not_run(RefusalReason::DeadlineTooShort)
        };
        self.record_queue_pressure(now, lane);
        self.end_refused(now, waiting.attempt, refusal, outputs);
    }

    fn evict(&mut self, now: Timestamp, victim: EvictionCandidate, outputs: &mut Vec<GateOutput>) {
        self.queue_mut(victim.lane).remove(victim.ticket);
        let refusal = self.overload_refusal(RefusalReason::Overloaded);
        self.end_refused(now, victim.attempt, refusal, outputs);
    }

    fn refuse_arrival(
        &mut self,
        now: Timestamp,
        context: &CallContext,
        refusal: Refusal,
        outputs: &mut Vec<GateOutput>,
    ) {
        let attempt = context.attempt_id();
        self.recent.insert(attempt);
        // The attempt made no child calls, so all its tokens go back.
        let feedback = self.feedback_with(now, context.tokens);
        outputs.push(GateOutput::Refuse { attempt, refusal, feedback });
    }
}
