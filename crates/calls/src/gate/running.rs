//! The phases of an attempt after waiting: taking a slot, claiming, running, and ending.

use quillhatch_types::{AttemptId, RecordedAnswer, Refusal, RefusalReason, Timestamp};

use super::attempt::{Attempt, Lane, Phase};
use super::io::{AnswerEnd, ClaimResolution, GateOutput};
use super::machine::Gate;

/// The lowest status of a server error; the latency of such an answer says nothing about that of served calls.
const FIRST_SERVER_ERROR: u16 = 500;

impl Gate {
    pub(super) fn take_slot(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        if self.has_too_little_time(now, entry) {
            self.end_refused(now, attempt, Refusal::not_run(RefusalReason::DeadlineTooShort), outputs);
            return;
        }
        let (lane, protected) = (entry.lane, entry.is_protected());
        let claim = entry.needs_claim(self.settings.mechanisms.claims);
        self.count_slot(now, attempt, lane, protected);
        if claim {
            self.request_claim(now, attempt, outputs);
        } else {
            self.dispatch(now, attempt, outputs);
        }
    }

    fn has_too_little_time(&self, now: Timestamp, entry: &Attempt) -> bool {
        let remaining = now.until(entry.deadline);
        self.settings.mechanisms.deadline_check && remaining < self.needed_time(now, &entry.context)
    }

    fn count_slot(&mut self, now: Timestamp, attempt: AttemptId, lane: Lane, protected: bool) {
        let reserved_bytes = match lane {
            Lane::Large => self.large_limit.begin(),
            Lane::Short => {
                self.slots.total += 1;
                self.slots.unprotected += u32::from(!protected);
                self.admission.served(protected);
                0
            }
        };
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            entry.reserved_bytes = reserved_bytes;
            entry.slot_since = now;
        }
    }

    fn request_claim(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let latest = self.latest_start(now, entry.deadline, &entry.context);
        let claim_expires = latest.min(now + self.settings.claim_timeout);
        self.timers.insert((claim_expires, attempt));
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        entry.phase = Phase::Claiming { claim_expires };
        outputs.push(GateOutput::RequestClaim(entry.context.clone()));
    }

    /// Handles the decision on a claim; one that comes too late, or for an attempt that is not claiming, has no effect.
    pub(super) fn claim_resolved(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        resolution: ClaimResolution,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let Phase::Claiming { claim_expires } = entry.phase else { return };
        match resolution {
            ClaimResolution::Granted => {
                self.timers.remove(&(claim_expires, attempt));
                self.run_claimed(now, attempt, outputs);
            }
            ClaimResolution::Replay(answer) => {
                let Some(mut entry) = self.remove(now, attempt) else { return };
                let feedback = self.feedback_with(now, entry.tokens.report());
                outputs.push(GateOutput::Replay { attempt, answer, feedback });
            }
            ClaimResolution::Refused(refusal) => self.end_refused(now, attempt, refusal, outputs),
        }
    }

    /// Dispatches a claimed attempt after a last check of its time and of the drain: the gate's process may have been
    /// paused since it requested the claim.
    fn run_claimed(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let reason = if self.has_too_little_time(now, entry) {
            Some(RefusalReason::DeadlineTooShort)
        } else if self.drain_grace_is_over(now) {
            Some(RefusalReason::Draining)
        } else {
            None
        };
        match reason {
            Some(reason) => self.release(now, attempt, Refusal::not_run(reason), outputs),
            None => self.dispatch(now, attempt, outputs),
        }
    }

    fn dispatch(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        let timer = run_expiry(entry, self.settings.deadline_overrun);
        entry.phase = Phase::Running { since: now, answer_started: false, cancel_sent: false, timer };
        let remaining = now.until(entry.deadline);
        self.timers.insert((timer, attempt));
        self.cold_start.dispatched(now);
        self.limit.running_changed(now, self.slots.total + self.large_limit.streams());
        outputs.push(GateOutput::Dispatch { attempt, remaining });
    }

    pub(super) fn answer_started(&mut self, now: Timestamp, attempt: AttemptId, status: u16, length: Option<u64>) {
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        let Phase::Running { since, answer_started, .. } = &mut entry.phase else { return };
        if std::mem::replace(answer_started, true) {
            return;
        }
        let latency = now.since(*since);
        if let (Lane::Large, Some(length)) = (entry.lane, length) {
            entry.reserved_bytes = self.large_limit.length_known(entry.reserved_bytes, length);
        }
        self.cold_start.answered();
        // Slow readers delay the body of an answer, so only the time to the head reflects the back end's load.
        if status < FIRST_SERVER_ERROR {
            self.measure(now, attempt, latency);
        }
    }

    fn measure(&mut self, now: Timestamp, attempt: AttemptId, latency: std::time::Duration) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let Some(class) = self.target.as_mut().and_then(|target| target.class_mut(&entry.context.class)) else {
            return;
        };
        class.service_time.record(now, latency);
        if entry.lane == Lane::Short {
            self.limit.measured(now, &entry.context.class, latency);
        }
    }

    /// Handles the end of an attempt at the back end; a second end, or one for an attempt that is not running, has no
    /// effect.
    pub(super) fn answer_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AnswerEnd,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let Phase::Running { since, answer_started, .. } = entry.phase else { return };
        let lane = entry.lane;
        if !answer_started {
            self.measure_end(now, attempt, &end, now.since(since));
        }
        match end {
            AnswerEnd::Whole { record, .. } => self.finish(now, attempt, record, None, outputs),
            AnswerEnd::RefusedBeforeRunning { .. } => {
                self.refused_by_back_end(now, lane);
                let refusal = self.overload_refusal(RefusalReason::Overloaded);
                self.release(now, attempt, refusal, outputs);
            }
            AnswerEnd::ConnectFailed if !answer_started => {
                self.cold_start.connect_failed();
                self.release(now, attempt, Refusal::not_run(RefusalReason::ConnectFailed), outputs);
            }
            // The head of an answer proves that the back end was reached, whatever the driver reports later.
            AnswerEnd::ConnectFailed | AnswerEnd::Broken => {
                let refusal = Refusal::unknown(RefusalReason::ConnectionLost);
                self.finish(now, attempt, None, Some(refusal), outputs);
            }
            AnswerEnd::Cancelled => {
                let refusal = Refusal::unknown(RefusalReason::Cancelled);
                self.finish(now, attempt, None, Some(refusal), outputs);
            }
        }
    }

    fn refused_by_back_end(&mut self, now: Timestamp, lane: Lane) {
        if lane == Lane::Short {
            self.limit.refused_by_back_end(now);
            self.admission.record_pressure(now);
        }
    }

    /// Records the latency of an attempt that ended without a head; for a broken or cancelled one it is a lower bound.
    fn measure_end(&mut self, now: Timestamp, attempt: AttemptId, end: &AnswerEnd, latency: std::time::Duration) {
        match end {
            AnswerEnd::Whole { status, .. } => {
                self.cold_start.answered();
                if *status < FIRST_SERVER_ERROR {
                    self.measure(now, attempt, latency);
                }
            }
            AnswerEnd::Broken | AnswerEnd::Cancelled => {
                let Some(entry) = self.attempts.get(&attempt) else { return };
                // An end before the deadline has another cause and says nothing about the back end's latency.
                if entry.lane == Lane::Short && now >= entry.deadline {
                    self.limit.measured(now, &entry.context.class, latency);
                }
            }
            _ => {}
        }
    }

    /// Ends an attempt that ran or may have run; sends `refusal` unless the head of an answer was already sent.
    fn finish(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        record: Option<RecordedAnswer>,
        refusal: Option<Refusal>,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(mut entry) = self.remove(now, attempt) else { return };
        if entry.needs_claim(self.settings.mechanisms.claims) {
            outputs.push(GateOutput::ClaimFinished { attempt, record });
        }
        let answered = matches!(entry.phase, Phase::Running { answer_started: true, .. });
        if let Some(refusal) = refusal.filter(|_| !answered) {
            let feedback = self.feedback_with(now, entry.tokens.report());
            outputs.push(GateOutput::Refuse { attempt, refusal, feedback });
        }
    }

    /// Ends an attempt that the back end provably did not run, and releases its claim.
    fn release(&mut self, now: Timestamp, attempt: AttemptId, refusal: Refusal, outputs: &mut Vec<GateOutput>) {
        let Some(mut entry) = self.remove(now, attempt) else { return };
        if entry.needs_claim(self.settings.mechanisms.claims) {
            outputs.push(GateOutput::ClaimReleased { attempt });
        }
        let answered = matches!(entry.phase, Phase::Running { answer_started: true, .. });
        if !answered {
            let feedback = self.feedback_with(now, entry.tokens.report());
            outputs.push(GateOutput::Refuse { attempt, refusal, feedback });
        }
    }

    /// Ends an attempt that has no claim to release: it was waiting, or its claim was refused.
    pub(super) fn end_refused(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        refusal: Refusal,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(mut entry) = self.remove(now, attempt) else { return };
        let feedback = self.feedback_with(now, entry.tokens.report());
        outputs.push(GateOutput::Refuse { attempt, refusal, feedback });
    }

    pub(super) fn cancelled(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        let refusal = Refusal::not_run(RefusalReason::Cancelled);
        match entry.phase {
            Phase::Waiting { .. } => self.end_refused(now, attempt, refusal, outputs),
            Phase::Claiming { .. } => self.release(now, attempt, refusal, outputs),
            // A non-repeatable call that has started runs to its end, so that a retry can get its recorded answer.
            Phase::Running { .. } if entry.needs_claim(self.settings.mechanisms.claims) => {}
            Phase::Running { .. } => self.stop_run(attempt, outputs),
        }
    }

    fn stop_run(&mut self, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        let Phase::Running { cancel_sent, .. } = &mut entry.phase else { return };
        if !std::mem::replace(cancel_sent, true) {
            outputs.push(GateOutput::CancelDispatched { attempt });
        }
    }

    /// Ends attempts that have run out of time.
    pub(super) fn expire(&mut self, now: Timestamp, outputs: &mut Vec<GateOutput>) {
        self.expire_waiting(now, Lane::Short, outputs);
        self.expire_waiting(now, Lane::Large, outputs);
        while let Some((at, attempt)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, attempt));
            self.expire_timer(now, attempt, outputs);
        }
    }

    fn expire_timer(&mut self, now: Timestamp, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get(&attempt) else { return };
        match entry.phase {
            Phase::Waiting { .. } => {}
            Phase::Claiming { .. } => {
                let claiming_for = now.since(entry.slot_since);
                let reason = if claiming_for < self.settings.claim_timeout {
                    RefusalReason::DeadlineTooShort
                } else {
                    RefusalReason::ClaimNotRecorded
                };
                self.release(now, attempt, Refusal::not_run(reason), outputs);
            }
            // The deadline applies to the head: a large answer that has started ends only by itself or by its reader.
            Phase::Running { answer_started: true, .. } if entry.lane == Lane::Large => {}
            Phase::Running { .. } => self.stop_run(attempt, outputs),
        }
    }

    /// Removes an attempt from every table and frees its slot.
    fn remove(&mut self, now: Timestamp, attempt: AttemptId) -> Option<Attempt> {
        let entry = self.attempts.remove(&attempt)?;
        self.recent.insert(attempt);
        match entry.phase {
            Phase::Waiting { ticket, .. } => {
                self.queue_mut(entry.lane).remove(ticket);
            }
            Phase::Claiming { claim_expires } => {
                self.timers.remove(&(claim_expires, attempt));
                self.free_slot(now, &entry);
            }
            Phase::Running { timer, .. } => {
                self.timers.remove(&(timer, attempt));
                self.free_slot(now, &entry);
            }
        }
        Some(entry)
    }

    fn free_slot(&mut self, now: Timestamp, entry: &Attempt) {
        match entry.lane {
            Lane::Large => self.large_limit.end(entry.reserved_bytes),
            Lane::Short => {
                self.slots.total -= 1;
                self.slots.unprotected -= u32::from(!entry.is_protected());
                self.record_slot_time(now.since(entry.slot_since));
            }
        }
        self.limit.running_changed(now, self.slots.total + self.large_limit.streams());
    }
}

/// When a running attempt is cancelled: at its deadline, or later if it is not repeatable.
fn run_expiry(entry: &Attempt, deadline_overrun: std::time::Duration) -> Timestamp {
    if entry.context.repeatable {
        entry.deadline
    } else {
        entry.deadline + deadline_overrun
    }
}
