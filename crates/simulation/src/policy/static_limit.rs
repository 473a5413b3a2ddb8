//! As [`Direct`](super::Direct), with a fixed concurrency limit and a first-in-first-out queue before every back end.

use std::collections::VecDeque;
use std::time::Duration;

use quillhatch_calls::gate::io::{GateInput, GateOutput};
use quillhatch_types::{AttemptId, CallContext, CallId, Feedback, ParentContext, Refusal, RefusalReason, Timestamp};

use super::passage::Passage;
use super::{Direct, HostInput, HostOutput, NodeStart, Policy};

/// The limit of running attempts; every target has the same, as fixed limits usually have.
const LIMIT: usize = 20;

/// Attempts that wait at most.
const QUEUE_CAPACITY: usize = 50;

/// How long an attempt waits at most.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

struct Waiting {
    context: CallContext,
    until: Timestamp,
}

/// The edge of the direct policy behind a gate with a fixed limit.
pub struct StaticLimit {
    edge: Direct,
    passage: Passage,
    running: usize,
    waiting: VecDeque<Waiting>,
}

impl StaticLimit {
    /// A node that has just started.
    pub fn new(start: NodeStart) -> Self {
        StaticLimit { edge: Direct::new(start), passage: Passage::default(), running: 0, waiting: VecDeque::new() }
    }

    fn refuse(attempt: AttemptId, reason: RefusalReason, outputs: &mut Vec<HostOutput>) {
        let refusal = Refusal::not_run(reason);
        outputs.push(HostOutput::Gate(GateOutput::Refuse { attempt, refusal, feedback: Feedback::default() }));
    }

    fn arrived(&mut self, now: Timestamp, context: CallContext, outputs: &mut Vec<HostOutput>) {
        if self.running < LIMIT {
            self.running += 1;
            return self.passage.dispatch(context, outputs);
        }
        if self.waiting.len() >= QUEUE_CAPACITY {
            return Self::refuse(context.attempt_id(), RefusalReason::Overloaded, outputs);
        }
        self.waiting.push_back(Waiting { context, until: now + QUEUE_TIMEOUT });
    }

    fn expire(&mut self, now: Timestamp, outputs: &mut Vec<HostOutput>) {
        while self.waiting.front().is_some_and(|waiting| waiting.until <= now) {
            if let Some(expired) = self.waiting.pop_front() {
                Self::refuse(expired.context.attempt_id(), RefusalReason::QueueTimeout, outputs);
            }
        }
    }

    fn start_waiting(&mut self, outputs: &mut Vec<HostOutput>) {
        while self.running < LIMIT {
            let Some(next) = self.waiting.pop_front() else { return };
            self.running += 1;
            self.passage.dispatch(next.context, outputs);
        }
    }

    fn gate(&mut self, now: Timestamp, input: GateInput, outputs: &mut Vec<HostOutput>) {
        self.expire(now, outputs);
        match input {
            GateInput::Arrived(context) => self.arrived(now, *context, outputs),
            GateInput::AnswerEnded { attempt, end } => {
                let was_running = self.passage.ended(attempt, &end, outputs);
                self.running -= usize::from(was_running);
            }
            _ => {}
        }
        self.start_waiting(outputs);
    }
}

impl Policy for StaticLimit {
    fn step(&mut self, now: Timestamp, input: HostInput, outputs: &mut Vec<HostOutput>) {
        match input {
            HostInput::Gate(input) => self.gate(now, input, outputs),
            HostInput::Tick => self.expire(now, outputs),
            other => self.edge.step(now, other, outputs),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.waiting.front().map(|waiting| waiting.until)
    }

    fn feedback(&mut self, _now: Timestamp, _attempt: Option<AttemptId>) -> Option<Feedback> {
        None
    }

    fn lend_tokens(&mut self, _now: Timestamp, parent: CallId) -> Option<ParentContext> {
        self.passage.parent(parent)
    }
}
