//! The queue of inputs that a node's parts have for each other, first in, first out.

use std::collections::VecDeque;

use derive_more::From;
use quillhatch_calls::edge::EdgeInput;
use quillhatch_calls::gate::GateInput;
use quillhatch_claims::{ClaimMessage, OwnerInput};
use quillhatch_control::ControlInput;
use quillhatch_membership::MembershipInput;
use quillhatch_types::NodeId;

/// An input for one part of the node.
#[derive(Debug, From)]
pub(crate) enum PartInput {
    Edge(EdgeInput),
    Gate(GateInput),
    Owner(OwnerInput),
    #[from(skip)]
    Voter {
        from: NodeId,
        message: ClaimMessage,
    },
    Control(ControlInput),
    Membership(MembershipInput),
}

/// The queued inputs, in the order in which they were pushed.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    queue: VecDeque<PartInput>,
}

impl Inbox {
    pub(crate) fn push(&mut self, input: impl Into<PartInput>) {
        self.queue.push_back(input.into());
    }

    pub(crate) fn pop(&mut self) -> Option<PartInput> {
        self.queue.pop_front()
    }
}
