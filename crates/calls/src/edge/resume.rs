//! Resumes an interrupted download from another target, so that the caller receives the complete answer.
//!
//! This is safe only if the call is repeatable and a strong validator shows that both targets serve the same bytes. A
//! resumed attempt is charged like a retry: it costs a token, counts against the ratio limit and has a deadline.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::balance::Choice;
use super::call::Call;
use super::deadline::Deadline;
use super::io::{BodyState, EdgeOutput, StrongValidator};
use super::state::Edge;

impl Edge {
    /// Requests the rest of the interrupted answer from another target, or aborts the caller's stream.
    pub(super) fn resume(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        let Some((offset, validator)) = call.interrupted.as_ref().and_then(missing_rest) else {
            return self.abort_stream(call, outputs);
        };
        let safe = call.repeatable && call.arrival.replayable_body;
        let wanted = self.settings.mechanisms.resume && safe && call.resumes < self.settings.retry.maximum_resumes;
        if !wanted || !self.charge_retry(&mut call) {
            return self.abort_stream(call, outputs);
        }
        // The attempt keeps the call's rank and is not ranked as a retry: a refusal would waste the bytes already sent.
        let rank = self.rank(&call);
        let Choice::Target { index, probe } = self.choose_target(now, &call, rank, outputs) else {
            return self.abort_stream(call, outputs);
        };
        // The call's deadline applied to the head of the answer; the caller is still reading, so the rest gets a new
        // one.
        call.deadline = Deadline::new(now, [Some(call.class_deadline), None, None], Duration::ZERO);
        call.resumes += 1;
        self.statistics.resumes += 1;
        self.statistics.probes += u64::from(probe);
        if let Some((target, context)) = self.start_attempt(now, &mut call, index, rank) {
            outputs.push(EdgeOutput::Resume { target, context: Box::new(context), offset, validator });
        }
        self.insert_call(now, call);
    }

    /// Aborts the caller's stream so that the caller can detect the truncation.
    pub(super) fn abort_stream(&mut self, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        self.refund_retry(&mut call);
        self.statistics.aborted_streams += 1;
        outputs.push(EdgeOutput::AbortStream { call: call.id() });
        self.return_tokens(&call, outputs);
    }
}

/// The offset of the first missing byte and the validator, if the rest can be requested.
fn missing_rest(interrupted: &BodyState) -> Option<(u64, StrongValidator)> {
    let length = interrupted.length?;
    let validator = interrupted.validator.clone()?;
    (interrupted.received < length).then_some((interrupted.received, validator))
}
