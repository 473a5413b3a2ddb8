//! A stand-in for the decision code. It admits every call, tries the targets in order, lets attempts with a key continue after
//! cancellation, and records its inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quillhatch::decisions::{Decisions, NodeInput, NodeOutput, Statistic};
use quillhatch_calls::edge::io::{Answer, AttemptResult, CallArrival, EdgeInput, EdgeOutput};
use quillhatch_calls::gate::io::{GateInput, GateOutput};
use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, Configuration, Feedback, NodeId, ParentContext, Priority, Refusal,
    RefusalReason, Timestamp,
};

use super::TEST_TIMEOUT;

/// The inputs that a [`FakeDecisions`] received, in order.
#[derive(Clone, Default)]
pub struct InputLog(Arc<Mutex<Vec<NodeInput>>>);

impl InputLog {
    pub fn inputs(&self) -> Vec<NodeInput> {
        self.0.lock().expect("log").clone()
    }

    /// Waits for an input that satisfies `predicate` and returns it.
    pub async fn wait_for(&self, what: &str, predicate: impl Fn(&NodeInput) -> bool) -> NodeInput {
        let search = async {
            loop {
                if let Some(input) = self.inputs().into_iter().find(|input| predicate(input)) {
                    return input;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        match tokio::time::timeout(TEST_TIMEOUT, search).await {
            Ok(input) => input,
            Err(_) => panic!("no such input: {what}; inputs: {:#?}", self.inputs()),
        }
    }
}

/// Decisions for tests; see the module's documentation.
pub struct FakeDecisions {
    targets: Vec<NodeId>,
    /// The calls, each with the number of its next attempt, which is also the index of the next target.
    calls: BTreeMap<CallId, (CallArrival, u8)>,
    non_repeatable: BTreeSet<AttemptId>,
    log: InputLog,
    configuration: Arc<Configuration>,
}

impl FakeDecisions {
    pub fn new(targets: Vec<NodeId>) -> (Self, InputLog) {
        let log = InputLog::default();
        let configuration = Arc::new(super::configuration());
        (
            FakeDecisions {
                targets,
                calls: BTreeMap::new(),
                non_repeatable: BTreeSet::new(),
                log: log.clone(),
                configuration,
            },
            log,
        )
    }

    fn context(arrival: &CallArrival, attempt: u8) -> Box<CallContext> {
        Box::new(CallContext {
            call: arrival.call,
            root: arrival.root,
            attempt,
            depth: 0,
            tokens: 0,
            service: arrival.service.clone(),
            class: arrival.class.clone(),
            priority: Priority::Interactive,
            rank: AdmissionRank::new(Priority::Interactive, false, 0),
            repeatable: arrival.key.is_none(),
            key: arrival.key.clone(),
            key_from_caller: arrival.key.is_some(),
            digest: arrival.digest,
            remaining: arrival.remaining.unwrap_or(Duration::from_secs(20)),
        })
    }

    fn next_attempt(&mut self, call: CallId) -> Option<(NodeId, Box<CallContext>)> {
        let (arrival, next_attempt) = self.calls.get_mut(&call)?;
        let target = *self.targets.get(usize::from(*next_attempt))?;
        let context = Self::context(arrival, *next_attempt);
        *next_attempt += 1;
        Some((target, context))
    }

    fn handle_edge_input(&mut self, input: EdgeInput, outputs: &mut Vec<NodeOutput>) {
        let output = match input {
            EdgeInput::Arrived(arrival) => {
                let call = arrival.call;
                self.calls.insert(call, (arrival, 0));
                match self.next_attempt(call) {
                    Some((target, context)) => EdgeOutput::Send { target, context },
                    None => refuse_call(call, Refusal::not_run(RefusalReason::NoTarget)),
                }
            }
            EdgeInput::AttemptAnswered { attempt, result, .. } => match self.handle_attempt_result(attempt, result) {
                Some(output) => output,
                None => return,
            },
            EdgeInput::BodyEnded { attempt, incomplete: Some(broken) } => {
                let rest = broken.validator.and_then(|validator| Some((validator, self.next_attempt(attempt.call)?)));
                match rest {
                    Some((validator, (target, context))) => {
                        EdgeOutput::Resume { target, context, offset: broken.received, validator }
                    }
                    None => EdgeOutput::AbortStream { call: attempt.call },
                }
            }
            _ => return,
        };
        outputs.push(NodeOutput::Edge(output));
    }

    fn handle_attempt_result(&self, attempt: AttemptId, result: AttemptResult) -> Option<EdgeOutput> {
        let resumed = attempt.attempt > 0;
        let call = attempt.call;
        Some(match result {
            AttemptResult::Answered { .. } if resumed => return None,
            AttemptResult::Answered { .. } => EdgeOutput::Finish { call, answer: Answer::Relay(attempt) },
            AttemptResult::ResumeRefused => EdgeOutput::AbortStream { call },
            AttemptResult::Refused(refusal) => refuse_call(call, refusal),
            AttemptResult::ConnectFailed => refuse_call(call, Refusal::not_run(RefusalReason::ConnectFailed)),
            AttemptResult::Lost => refuse_call(call, Refusal::unknown(RefusalReason::ConnectionLost)),
        })
    }
}

fn refuse_call(call: CallId, refusal: Refusal) -> EdgeOutput {
    EdgeOutput::Finish { call, answer: Answer::Refuse(refusal) }
}

impl Decisions for FakeDecisions {
    fn step(&mut self, _now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        self.log.0.lock().expect("log").push(input.clone());
        match input {
            NodeInput::Edge(input) => self.handle_edge_input(input, outputs),
            NodeInput::Gate(GateInput::Arrived(context)) => {
                if !context.repeatable {
                    self.non_repeatable.insert(context.attempt_id());
                }
                let output = GateOutput::Dispatch { attempt: context.attempt_id(), remaining: context.remaining };
                outputs.push(NodeOutput::Gate(output));
            }
            NodeInput::Gate(GateInput::Cancelled { attempt }) if !self.non_repeatable.contains(&attempt) => {
                outputs.push(NodeOutput::Gate(GateOutput::CancelDispatched { attempt }));
            }
            NodeInput::Stop { .. } => outputs.push(NodeOutput::ReadyToExit),
            _ => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }

    fn feedback(&mut self, _now: Timestamp, _attempt: Option<AttemptId>) -> Feedback {
        Feedback { limit: 10, ..Feedback::default() }
    }

    fn lend_tokens(&mut self, _now: Timestamp, _parent: CallId, _wanted: u16) -> Option<ParentContext> {
        None
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        Some(Arc::clone(&self.configuration))
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn statistics(&self) -> Vec<Statistic> {
        Vec::new()
    }
}
