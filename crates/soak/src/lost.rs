//! Requests that a planned stop has cost an answer: cut off, or answered by a node while a target was at work on them.

use std::time::{Duration, Instant};

use derive_more::Display;
use quillhatch_platform_standins::target::{ChainedRecord, FinishedRun, RunEnd};

use crate::checks::{violation, Guarantee, Violation, SETTLE_TIME, UNREAD_CLOSE_TOLERANCE};
use crate::record::{CallEnd, CallRecord, NestedCall, SoakRecord, StopSpan};

/// How long after the grace period of a stop its requests are still counted.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Requests that are sent later than this after a stop was requested must be finished even if their target works until
/// the end of the grace period.
const LONG_WORK_BOUND: Duration = Duration::from_secs(3);
/// The part of the grace period at its end in which targets may still work on requests that were sent before that.
const LONG_WORK_FRACTION: f64 = 1.0 / 6.0;

/// What a caller or a target got in place of the response of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum LossKind {
    /// The connection ended.
    #[display("was cut")]
    Cut,
    /// A response of a node.
    #[display("got a {_0} of a node")]
    OwnResponse(u16),
}

/// A request without the response of a target.
struct Loss<'a> {
    id: &'a str,
    machine: usize,
    sent: Instant,
    ended: Instant,
    deadline: Instant,
    kind: LossKind,
}

impl Loss<'_> {
    fn of_caller(call: &CallRecord) -> Option<Loss<'_>> {
        let kind = match call.end {
            CallEnd::Cut | CallEnd::Unread => LossKind::Cut,
            CallEnd::Answered { status, is_signed: false, .. } => LossKind::OwnResponse(status),
            CallEnd::Answered { .. } | CallEnd::Silent | CallEnd::Unreached => return None,
        };
        let CallRecord { id, machine, sent, ended, .. } = call;
        let deadline = *sent + call.deadline;
        Some(Loss { id, machine: *machine, sent: *sent, ended: *ended, deadline, kind })
    }

    fn of_target(nested: &NestedCall) -> Option<Loss<'_>> {
        let ChainedRecord { id, sent, ended, status, is_timed_out, deadline, is_signed } = &nested.call;
        if *is_timed_out || *is_signed {
            return None;
        }
        let kind = status.map_or(LossKind::Cut, LossKind::OwnResponse);
        Some(Loss { id, machine: nested.machine, sent: *sent, ended: *ended, deadline: *deadline, kind })
    }

    fn is_sent_with(&self, run: &FinishedRun) -> bool {
        run.id == self.id && run.started >= self.sent && run.started <= self.ended
    }

    /// Whether a target was at work on the request when it was lost, or the connection to it was closed before.
    fn was_at_work(&self, run: &FinishedRun) -> bool {
        match run.end {
            RunEnd::TargetEnded => false,
            RunEnd::Unfinished => true,
            RunEnd::Responded => run.ended > self.ended,
        }
    }

    /// Whether the guarantee allows the loss in this stop.
    fn is_excused(&self, stop: &StopSpan, runs: &[&FinishedRun]) -> bool {
        let long_work_from = stop.requested + stop.grace.mul_f64(1.0 - LONG_WORK_FRACTION);
        let is_long_work =
            self.sent <= stop.requested + LONG_WORK_BOUND && runs.iter().any(|run| run.ended >= long_work_from);
        is_long_work || self.ended >= self.deadline
    }

    fn describe(&self, stop: &StopSpan, runs: &[&FinishedRun]) -> String {
        let Loss { id, machine, sent, ended, kind, .. } = self;
        let since_stop = |at: Instant| (at - stop.requested).as_secs_f64();
        let runs: Vec<String> = runs
            .iter()
            .map(|run| format!("{:.2} to {:.2} {:?}", since_stop(run.started), since_stop(run.ended), run.end))
            .collect();
        format!(
            "{id} at machine {machine} {kind}; sent {:.2} s, ended {:.2} s after the stop; runs: {}",
            since_stop(*sent),
            since_stop(*ended),
            runs.join(", ")
        )
    }
}

/// Finds requests of callers and targets that a planned stop of their machine's process has cost the response of a
/// target.
pub fn check(record: &SoakRecord) -> Vec<Violation> {
    let of_callers = record.calls.iter().filter_map(Loss::of_caller);
    let of_targets = record.nested_calls.iter().filter_map(Loss::of_target);
    of_callers.chain(of_targets).filter_map(|loss| violation_of(record, &loss)).collect()
}

fn violation_of(record: &SoakRecord, loss: &Loss<'_>) -> Option<Violation> {
    if !record.is_fault_and_crash_free(SETTLE_TIME, loss.sent, loss.ended) || is_ambiguous(record, loss) {
        return None;
    }
    let runs: Vec<&FinishedRun> = record.finished_runs.iter().filter(|run| loss.is_sent_with(run)).collect();
    let is_lost = match loss.kind {
        LossKind::Cut if runs.is_empty() => {
            let is_unread = record.calls.iter().any(|call| call.id == loss.id && call.end == CallEnd::Unread);
            !is_unread && loss.ended - loss.sent > UNREAD_CLOSE_TOLERANCE && !stood_still(record, loss)
        }
        LossKind::Cut => runs.iter().all(|run| run.end != RunEnd::TargetEnded),
        LossKind::OwnResponse(_) => runs.iter().any(|run| loss.was_at_work(run)),
    };
    let is_around = |stop: &&StopSpan| {
        stop.machine == loss.machine
            && stop.requested <= loss.ended
            && loss.sent <= stop.requested + stop.grace + AFTER_GRACE
    };
    let mut stops = record.stops.iter().filter(is_around).peekable();
    let stop = stops.peek().copied().filter(|_| is_lost)?;
    if stops.any(|stop| loss.is_excused(stop, &runs)) {
        return None;
    }
    Some(violation(Guarantee::Lost, loss.describe(stop, &runs)))
}

/// Whether the process of the request's machine stood still in the meantime, so that it may not have read the request.
fn stood_still(record: &SoakRecord, loss: &Loss<'_>) -> bool {
    record.standstills.iter().any(|span| {
        span.machine == Some(loss.machine)
            && span.from <= loss.ended
            && span.until + UNREAD_CLOSE_TOLERANCE >= loss.sent
    })
}

/// Whether another call had the same id at the same time: a request that runs again makes its calls again.
fn is_ambiguous(record: &SoakRecord, loss: &Loss<'_>) -> bool {
    let overlapping = |nested: &&NestedCall| {
        nested.call.id == loss.id && nested.call.sent <= loss.ended && nested.call.ended >= loss.sent
    };
    record.nested_calls.iter().filter(overlapping).count() > 1
}
