//! The values that came up in an exploration, and the steps that were computed before.

use std::collections::HashMap;
use std::rc::Rc;

use quillhatch_group::{Group, GroupInput, GroupMessage, GroupOutput};
use quillhatch_types::{NodeId, Timestamp};

use super::record::Record;
use crate::intern::{InternedId, Interner};

/// A message with its ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: GroupMessage,
}

/// The values that came up so far.
#[derive(Default)]
pub(super) struct Memory {
    pub groups: Interner<Group>,
    pub envelopes: Interner<Envelope>,
    pub records: Interner<Record>,
    pub inputs: Interner<GroupInput>,
    /// Steps that were computed before: node and input give node and messages.
    steps: HashMap<(InternedId, Input), Stepped>,
}

/// The node that came of a step and what it sent, by their numbers.
type Stepped = (InternedId, Rc<[InternedId]>);

/// What a node is stepped with, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Input {
    Envelope(InternedId),
    Other(InternedId),
}

impl Memory {
    /// The node that comes of a step, and what it sends.
    pub fn step(&mut self, before: InternedId, input: Input) -> Stepped {
        if let Some(known) = self.steps.get(&(before, input)) {
            return known.clone();
        }
        let mut group = (*self.groups.value(before)).clone();
        let mut outputs = Vec::new();
        group.step(Timestamp::ZERO, self.input(input), &mut outputs);
        let from = group.node();
        let sent = outputs.into_iter().filter_map(|output| match output {
            GroupOutput::Send { to, message } => Some(Envelope { from, to, message }),
            _ => None,
        });
        let sent: Rc<[InternedId]> = sent.map(|envelope| self.envelopes.id(envelope)).collect();
        let after = self.groups.id(group);
        self.steps.insert((before, input), (after, Rc::clone(&sent)));
        (after, sent)
    }

    fn input(&self, input: Input) -> GroupInput {
        match input {
            Input::Other(number) => (*self.inputs.value(number)).clone(),
            Input::Envelope(number) => {
                let envelope = self.envelopes.value(number);
                GroupInput::Message { from: envelope.from, message: envelope.message.clone() }
            }
        }
    }
}
