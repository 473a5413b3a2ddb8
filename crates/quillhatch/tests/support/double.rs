//! A double of the decision code: admits everything, tries targets in order, lets keyed attempts run on, and notes what it
//! was told.

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

use super::BOUND;

/// What a double was told, in order.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<NodeInput>>>);

impl Log {
    pub fn inputs(&self) -> Vec<NodeInput> {
        self.0.lock().expect("log").clone()
    }

    /// Waits until an input satisfies `wanted`.
    pub async fn wait_for(&self, what: &str, wanted: impl Fn(&NodeInput) -> bool) -> NodeInput {
        let waiting = async {
            loop {
                if let Some(input) = self.inputs().into_iter().find(|input| wanted(input)) {
                    return input;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        match tokio::time::timeout(BOUND, waiting).await {
            Ok(input) => input,
            Err(_) => panic!("never told: {what}; told {:#?}", self.inputs()),
        }
    }
}

pub struct Double {
    targets: Vec<NodeId>,
    calls: BTreeMap<CallId, (CallArrival, u8)>,
    unrepeatable: BTreeSet<AttemptId>,
    log: Log,
    configuration: Arc<Configuration>,
}

impl Double {
    pub fn new(targets: Vec<NodeId>) -> (Self, Log) {
        let log = Log::default();
        let configuration = Arc::new(super::configuration());
        (
            Double { targets, calls: BTreeMap::new(), unrepeatable: BTreeSet::new(), log: log.clone(), configuration },
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
        let (arrival, next) = self.calls.get_mut(&call)?;
        let target = *self.targets.get(usize::from(*next))?;
        let context = Self::context(arrival, *next);
        *next += 1;
        Some((target, context))
    }

    fn edge(&mut self, input: EdgeInput, outputs: &mut Vec<NodeOutput>) {
        let output = match input {
            EdgeInput::Arrived(arrival) => {
                let call = arrival.call;
                self.calls.insert(call, (arrival, 0));
                match self.next_attempt(call) {
                    Some((target, context)) => EdgeOutput::Send { target, context },
                    None => finish(call, Refusal::not_run(RefusalReason::NoTarget)),
                }
            }
            EdgeInput::AttemptAnswered { attempt, result, .. } => match self.answered(attempt, result) {
                Some(output) => output,
                None => return,
            },
            EdgeInput::BodyEnded { attempt, broken: Some(broken) } => {
                let rest = broken.validator.and_then(|validator| Some((validator, self.next_attempt(attempt.call)?)));
                match rest {
                    Some((validator, (target, context))) => {
                        EdgeOutput::Resume { target, context, offset: broken.received, validator }
                    }
                    None => EdgeOutput::BreakOff { call: attempt.call },
                }
            }
            _ => return,
        };
        outputs.push(NodeOutput::Edge(output));
    }

    fn answered(&self, attempt: AttemptId, result: AttemptResult) -> Option<EdgeOutput> {
        let resumed = attempt.attempt > 0;
        let call = attempt.call;
        Some(match result {
            AttemptResult::Answered { .. } if resumed => return None,
            AttemptResult::Answered { .. } => EdgeOutput::Finish { call, answer: Answer::Relay(attempt) },
            AttemptResult::ResumeRefused => EdgeOutput::BreakOff { call },
            AttemptResult::Refused(refusal) => finish(call, refusal),
            AttemptResult::ConnectFailed => finish(call, Refusal::not_run(RefusalReason::ConnectFailed)),
            AttemptResult::Lost => finish(call, Refusal::unknown(RefusalReason::ConnectionLost)),
        })
    }
}

fn finish(call: CallId, refusal: Refusal) -> EdgeOutput {
    EdgeOutput::Finish { call, answer: Answer::Refuse(refusal) }
}

impl Decisions for Double {
    fn step(&mut self, _now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        self.log.0.lock().expect("log").push(input.clone());
        match input {
            NodeInput::Edge(input) => self.edge(input, outputs),
            NodeInput::Gate(GateInput::Arrived(context)) => {
                if !context.repeatable {
                    self.unrepeatable.insert(context.attempt_id());
                }
                let output = GateOutput::Dispatch { attempt: context.attempt_id(), remaining: context.remaining };
                outputs.push(NodeOutput::Gate(output));
            }
            NodeInput::Gate(GateInput::Cancelled { attempt }) if !self.unrepeatable.contains(&attempt) => {
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
