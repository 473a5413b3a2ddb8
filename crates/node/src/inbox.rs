//! What one part of a node has for another, in the order in which it came up.

use std::collections::VecDeque;

use derive_more::From;
use quillhatch_calls::edge::EdgeInput;
use quillhatch_calls::gate::GateInput;
use quillhatch_claims::{ClaimMessage, OwnerInput};
use quillhatch_control::ControlInput;
use quillhatch_membership::MembershipInput;
use quillhatch_types::NodeId;

/// An input of one part.
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

/// The inputs that wait for their part.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    waiting: VecDeque<PartInput>,
}

impl Inbox {
    pub(crate) fn push(&mut self, input: impl Into<PartInput>) {
        self.waiting.push_back(input.into());
    }

    pub(crate) fn pop(&mut self) -> Option<PartInput> {
        self.waiting.pop_front()
    }
}
