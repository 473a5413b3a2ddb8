//! The interface between the program and the decision code of a node.
//!
//! The program passes every event to [`Decisions::step`], together with the time on its monotonic clock, and executes
//! each output. The program uses [`Node`] as the implementation; tests use a test double.

use std::sync::Arc;

use quillhatch_node::Node;
use quillhatch_types::{AttemptId, CallId, Configuration, Feedback, ParentContext, Timestamp};

pub use quillhatch_node::{NodeEvent, NodeInput, NodeOutput, Statistic};

/// The decision code of one node.
pub trait Decisions: Send + 'static {
    /// Processes one event and appends the resulting actions to `outputs`.
    fn step(&mut self, now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>);

    /// The time by which the next step with [`NodeInput::Tick`] is due; `None` if no step is scheduled.
    fn next_wake(&self) -> Option<Timestamp>;

    /// The feedback that the gate sends to the edge with the answer to `attempt`.
    fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Feedback;

    /// The context that a child call of `parent` inherits, with up to `wanted` retry tokens; `None` if no such call is
    /// in progress.
    fn lend_tokens(&mut self, now: Timestamp, parent: CallId, wanted: u16) -> Option<ParentContext>;

    /// The configuration in force.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Whether the node has finished starting and accepts calls.
    fn is_ready(&self) -> bool;

    /// The counters and gauges for the metrics page.
    fn statistics(&self) -> Vec<Statistic>;
}

impl Decisions for Node {
    fn step(&mut self, now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        Node::step(self, now, input, outputs);
    }

    fn next_wake(&self) -> Option<Timestamp> {
        Node::next_wake(self)
    }

    fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Feedback {
        Node::feedback(self, now, attempt)
    }

    fn lend_tokens(&mut self, now: Timestamp, parent: CallId, wanted: u16) -> Option<ParentContext> {
        Node::lend_tokens(self, now, parent, wanted)
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        Node::configuration(self)
    }

    fn is_ready(&self) -> bool {
        Node::is_ready(self)
    }

    fn statistics(&self) -> Vec<Statistic> {
        Node::statistics(self)
    }
}
