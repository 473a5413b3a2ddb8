//! A gate that hands every attempt to its back end at once and passes on what comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_calls::gate::io::{AnswerEnd, GateInput, GateOutput};
use quillhatch_types::{AttemptId, CallContext, CallId, Feedback, ParentContext, Refusal, RefusalReason};

use super::HostOutput;

/// How long a back end works for a call at most; the comparison policies send no deadlines down.
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// The attempts that have passed through.
#[derive(Default)]
pub(super) struct Passage {
    contexts: BTreeMap<AttemptId, CallContext>,
}

impl Passage {
    /// Handles an input of the gate.
    pub(super) fn step(&mut self, input: GateInput, outputs: &mut Vec<HostOutput>) {
        match input {
            GateInput::Arrived(context) => self.dispatch(*context, outputs),
            GateInput::AnswerEnded { attempt, end } => {
                self.ended(attempt, &end, outputs);
            }
            _ => {}
        }
    }

    /// Hands the attempt of `context` to the back end.
    pub(super) fn dispatch(&mut self, context: CallContext, outputs: &mut Vec<HostOutput>) {
        let attempt = context.attempt_id();
        self.contexts.insert(attempt, context);
        outputs.push(HostOutput::Gate(GateOutput::Dispatch { attempt, remaining: NO_DEADLINE }));
    }

    /// Ends an attempt; the edge is told if the back end did not take it. Returns whether it was running.
    pub(super) fn ended(&mut self, attempt: AttemptId, end: &AnswerEnd, outputs: &mut Vec<HostOutput>) -> bool {
        let reason = match end {
            AnswerEnd::ConnectFailed => Some(RefusalReason::ConnectFailed),
            AnswerEnd::RefusedBeforeRunning { .. } => Some(RefusalReason::Overloaded),
            _ => None,
        };
        if let Some(reason) = reason {
            let refusal = Refusal::unknown(reason);
            let feedback = Feedback::default();
            outputs.push(HostOutput::Gate(GateOutput::Refuse { attempt, refusal, feedback }));
        }
        self.contexts.remove(&attempt).is_some()
    }

    /// What calls made below `call` inherit: its identity, and nothing else.
    pub(super) fn parent(&self, call: CallId) -> Option<ParentContext> {
        let first = AttemptId { call, attempt: 0 };
        let last = AttemptId { call, attempt: u8::MAX };
        let (_, context) = self.contexts.range(first..=last).next_back()?;
        Some(ParentContext {
            call,
            root: context.root,
            depth: context.depth,
            priority: context.priority,
            retry: context.attempt > 0,
            tokens: 0,
            remaining: NO_DEADLINE,
        })
    }
}
