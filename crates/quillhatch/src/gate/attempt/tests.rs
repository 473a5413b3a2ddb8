//! Tests of the inputs that the decision code receives when the task of an attempt is dropped.

use std::sync::Mutex;

use quillhatch_calls::gate::io::GateOutput;
use quillhatch_types::{
    AdmissionRank, CallId, ClassName, Configuration, ParentContext, Priority, RootId, ServiceName, Timestamp,
};

use super::*;
use crate::decisions::{Decisions, NodeInput, NodeOutput, Statistic};
use crate::driver::NullMessageSink;

/// Dispatches every attempt at once and records all inputs.
#[derive(Clone, Default)]
struct InputRecorder(Arc<Mutex<Vec<GateInput>>>);

impl Decisions for InputRecorder {
    fn step(&mut self, _now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        let NodeInput::Gate(input) = input else {
            return;
        };
        if let GateInput::Arrived(context) = &input {
            let output = GateOutput::Dispatch { attempt: context.attempt_id(), remaining: context.remaining };
            outputs.push(NodeOutput::Gate(output));
        }
        self.0.lock().expect("inputs").push(input);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }

    fn feedback(&mut self, _now: Timestamp, _attempt: Option<AttemptId>) -> Feedback {
        Feedback::default()
    }

    fn lend_tokens(&mut self, _now: Timestamp, _parent: CallId, _wanted: u16) -> Option<ParentContext> {
        None
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        None
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn statistics(&self) -> Vec<Statistic> {
        Vec::new()
    }
}

fn context() -> CallContext {
    CallContext {
        call: CallId(1),
        root: RootId(1),
        attempt: 0,
        depth: 0,
        tokens: 0,
        service: ServiceName::new("giving").expect("name"),
        class: ClassName::new("all").expect("name"),
        priority: Priority::Protected,
        rank: AdmissionRank::new(Priority::Protected, false, 0),
        repeatable: false,
        key: None,
        key_from_caller: false,
        digest: None,
        remaining: Duration::from_secs(1),
    }
}

#[test]
fn a_dispatch_that_no_task_received_ends_as_not_run() {
    let recorder = InputRecorder::default();
    let driver = Driver::new(Box::new(recorder.clone()), Box::new(NullMessageSink));
    let guard = AttemptGuard::arrived(&driver, &context()).expect("the first of its kind");
    assert!(AttemptGuard::arrived(&driver, &context()).is_none());
    drop(guard);
    let attempt = context().attempt_id();
    let expected = [
        GateInput::Arrived(Box::new(context())),
        GateInput::Cancelled { attempt },
        GateInput::AnswerEnded { attempt, end: AnswerEnd::ConnectFailed },
    ];
    assert_eq!(*recorder.0.lock().expect("inputs"), expected);
    assert!(driver.active_requests().is_empty());
}
