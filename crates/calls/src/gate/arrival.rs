//! The first phase of an attempt: arrival, waiting, and refusal while waiting.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, AttemptId, CallContext, Refusal, RefusalReason, Timestamp};

use super::attempt::{is_protected, Attempt, Lane, Phase};
use super::io::GateOutput;
use super::machine::Gate;
use super::queue::{Ticket, Waiting};
use super::tokens::TokenAccount;

/// A waiting attempt that gives way to a more important one.
#[derive(Clone, Copy, Debug)]
struct Victim {
    lane: Lane,
    ticket: Ticket,
    attempt: AttemptId,
    rank: AdmissionRank,
}

/// A longer remaining time is taken as this; it keeps a forged value from holding memory.
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

    /// Whether nothing that waits comes before a newcomer: a reserved slot may be free while less important work waits.
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

    /// Refusals that do not depend on load.
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

    /// The time below which a call of the class cannot finish.
    pub(super) fn needed_time(&self, now: Timestamp, context: &CallContext) -> Duration {
        let Some(target) = &self.target else { return Duration::ZERO };
        let deadline = target.deadline(&context.class);
        let typical = target.class(&context.class).map(|class| class.service_time.estimate(now, deadline));
        target.minimum_time.max(typical.unwrap_or_default())
    }

    /// Decides whether a newcomer that finds no free slot may wait; evicts less important work if the queue is full.
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
        let displaces_unprotected = is_protected(context.rank) && candidate.is_some();
        let above_level = lane == Lane::Short && !self.level().admits(context.rank);
        let too_late = self.expected_wait(now, lane, context) > self.max_useful_wait(now, context);
        if !displaces_unprotected && (above_level || too_late) {
            // A refusal that the level itself caused must not count as pressure: the level would hold itself down.
            if !above_level {
                self.note_pressure(now, lane);
            }
            return Some(self.overload_refusal(RefusalReason::Overloaded));
        }
        if self.queue(lane).len() < self.max_queue_len(now, lane) {
            return None;
        }
        self.note_pressure(now, lane);
        let Some(victim) = candidate else {
            return Some(self.overload_refusal(RefusalReason::Overloaded));
        };
        self.evict(now, victim, outputs);
        None
    }

    /// The waiting attempt that would give way to `context`: no protected one while a less important one waits in any lane.
    fn eviction_candidate(&self, lane: Lane, context: &CallContext) -> Option<Victim> {
        let of_lane = |lane: Lane| {
            let least = self.queue(lane).least_important().filter(|(_, waiting)| waiting.rank > context.rank);
            least.map(|(ticket, waiting)| Victim { lane, ticket, attempt: waiting.attempt, rank: waiting.rank })
        };
        let own = of_lane(lane);
        if !is_protected(context.rank) || own.is_some_and(|victim| !is_protected(victim.rank)) {
            return own;
        }
        of_lane(lane.other()).filter(|victim| !is_protected(victim.rank)).or(own)
    }

    /// The number of attempts that may wait: no more than get a slot within the queue timeout.
    ///
    /// Otherwise the least important would wait in vain, overtaken until their time is over.
    fn max_queue_len(&mut self, now: Timestamp, lane: Lane) -> usize {
        let bound = self.settings.maximum_waiting;
        if lane == Lane::Large {
            // Protected short calls may have taken the places of waiting large answers, beyond their own bound.
            let beyond = self.short_queue.len().saturating_sub(bound);
            return self.settings.maximum_waiting_large.saturating_sub(beyond);
        }
        if !self.settings.mechanisms.early_refusal || self.mean_slot_seconds <= 0.0 {
            return bound;
        }
        let served = self.queue_timeout().as_secs_f64() * self.slot_rate(now);
        bound.min((served as usize).max(1))
    }

    /// The rate at which slots become free, by Little's law, per second.
    fn slot_rate(&mut self, now: Timestamp) -> f64 {
        f64::from(self.short_limit(now).max(1)) / self.mean_slot_seconds
    }

    /// The expected wait: those ahead, over the rate at which slots become free.
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

    pub(super) fn note_pressure(&mut self, now: Timestamp, lane: Lane) {
        // Downloads have slots of their own: their queue says nothing about the slots of short calls.
        if lane == Lane::Short {
            self.admission.record_pressure(now);
        }
    }

    fn enqueue(&mut self, now: Timestamp, lane: Lane, context: Box<CallContext>) {
        let attempt = context.attempt_id();
        let deadline = now + context.remaining.min(MAX_REMAINING_TIME);
        let queue_expires = now + self.queue_timeout();
        let expires = queue_expires.min(self.latest_start(now, deadline, &context));
        let waiting = Waiting { attempt, rank: context.rank, since: now, expires };
        let ticket = self.queue_mut(lane).push(waiting);
        let entry = Attempt {
            lane,
            deadline,
            phase: Phase::Waiting { ticket, queue_expires },
            tokens: TokenAccount::new(context.tokens),
            slot_since: now,
            counted_bytes: 0,
            context,
        };
        self.attempts.insert(attempt, entry);
    }

    pub(super) fn latest_start(&self, now: Timestamp, deadline: Timestamp, context: &CallContext) -> Timestamp {
        if self.settings.mechanisms.deadline_check {
            deadline - self.needed_time(now, context)
        } else {
            deadline
        }
    }

    /// Refuses waiting attempts whose time is over.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, lane: Lane, outputs: &mut Vec<GateOutput>) {
        self.end_drain_grace(now, lane, outputs);
        while let Some((at, ticket)) = self.queue(lane).first_expiry() {
            if at > now {
                break;
            }
            if !self.extend_by_eviction(now, lane, ticket, outputs) {
                self.refuse_expired(now, lane, ticket, outputs);
            }
        }
    }

    /// A draining back end gets no new work after the grace, not even work that waited.
    fn end_drain_grace(&mut self, now: Timestamp, lane: Lane, outputs: &mut Vec<GateOutput>) {
        if !self.drain_is_over(now) {
            return;
        }
        while let Some((_, waiting)) = self.queue(lane).peek(false) {
            self.end_refused(now, waiting.attempt, Refusal::not_run(RefusalReason::Draining), outputs);
        }
    }

    pub(super) fn drain_is_over(&self, now: Timestamp) -> bool {
        let drained = self.closed.filter(|closed| closed.reason == RefusalReason::Draining);
        drained.is_some_and(|closed| now >= closed.since + self.settings.drain_grace)
    }

    /// A protected attempt at the end of its queue time stays while less important work waits, which is refused for it.
    fn extend_by_eviction(
        &mut self,
        now: Timestamp,
        lane: Lane,
        ticket: Ticket,
        outputs: &mut Vec<GateOutput>,
    ) -> bool {
        let Some(waiting) = self.queue(lane).get(ticket) else { return false };
        let Some(entry) = self.attempts.get(&waiting.attempt) else { return false };
        let latest = self.latest_start(now, entry.deadline, &entry.context);
        let eviction_candidate = self.eviction_candidate(lane, &entry.context);
        let Some(victim) = eviction_candidate.filter(|_| entry.is_protected() && latest > now) else {
            return false;
        };
        self.note_pressure(now, lane);
        self.evict(now, victim, outputs);
        self.extend_wait(now, lane, ticket, latest);
        true
    }

    fn extend_wait(&mut self, now: Timestamp, lane: Lane, ticket: Ticket, latest: Timestamp) {
        let queue_expires = now + self.queue_timeout();
        let Some(waiting) = self.queue_mut(lane).remove(ticket) else { return };
        let ticket = self.queue_mut(lane).push(Waiting { expires: queue_expires.min(latest), ..waiting });
        if let Some(entry) = self.attempts.get_mut(&waiting.attempt) {
            entry.phase = Phase::Waiting { ticket, queue_expires };
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, lane: Lane, ticket: Ticket, outputs: &mut Vec<GateOutput>) {
        let Some(waiting) = self.queue_mut(lane).remove(ticket) else { return };
        let Some(entry) = self.attempts.get(&waiting.attempt) else { return };
        let queue_time_over = matches!(entry.phase, Phase::Waiting { queue_expires, .. } if queue_expires <= now);
        let too_late = self.latest_start(now, entry.deadline, &entry.context) <= now;
        let refusal = if queue_time_over && !too_late {
            self.overload_refusal(RefusalReason::QueueTimeout)
        } else {
            Refusal::not_run(RefusalReason::DeadlineTooShort)
        };
        self.note_pressure(now, lane);
        self.end_refused(now, waiting.attempt, refusal, outputs);
    }

    fn evict(&mut self, now: Timestamp, victim: Victim, outputs: &mut Vec<GateOutput>) {
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
        // Nothing ran below this attempt, so it gives all its tokens back.
        let feedback = self.feedback_with(now, context.tokens);
        outputs.push(GateOutput::Refuse { attempt, refusal, feedback });
    }
}
