//! The border between the program and the decision code of a node.
//!
//! The program hands every event to [`Decisions::step`] with the time on its monotonic clock and carries out each output.
//! Tests put a double behind the trait; the program puts the node there.

use std::sync::Arc;

use quillhatch_node::Node;
use quillhatch_types::{AttemptId, CallId, Configuration, Feedback, ParentContext, Timestamp};

pub use quillhatch_node::{NodeEvent, NodeInput, NodeOutput, Statistic};

/// The decision code of one node.
pub trait Decisions: Send + 'static {
    /// Takes one event and appends what is to be done.
    fn step(&mut self, now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>);

    /// When to step with [`NodeInput::Tick`] at the latest.
    fn next_wake(&self) -> Option<Timestamp>;

    /// What the gate tells the edge with the answer to `attempt`.
    fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Feedback;

    /// What a call made below `parent` inherits, with up to `wanted` retry tokens; `None` if no such call is running.
    fn lend_tokens(&mut self, now: Timestamp, parent: CallId, wanted: u16) -> Option<ParentContext>;

    /// The configuration in force.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Whether the node has finished starting and takes calls.
    fn is_ready(&self) -> bool;

    /// Counts and levels for the metrics page.
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
