//! Interns the values that an exploration reaches and caches the results of the nodes' steps.

use std::collections::HashMap;
use std::rc::Rc;

use quillhatch_group::{Group, GroupInput, GroupMessage, GroupOutput};
use quillhatch_types::{NodeId, Timestamp};

use super::observer::Observer;
use crate::intern::{InternedId, Interner};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: GroupMessage,
}

/// The interned values and cached steps of an exploration.
#[derive(Default)]
pub(super) struct StepCache {
    pub groups: Interner<Group>,
    pub envelopes: Interner<Envelope>,
    pub observers: Interner<Observer>,
    pub inputs: Interner<GroupInput>,
    /// The results of steps by the node's state and the input.
    steps: HashMap<(InternedId, StepInput), StepResult>,
}

/// The interned state of a node after a step and the messages that it sent.
type StepResult = (InternedId, Rc<[InternedId]>);

/// The interned input of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum StepInput {
    Envelope(InternedId),
    Other(InternedId),
}

impl StepCache {
    /// Steps a node with an input and returns the result, which may be cached.
    pub fn step(&mut self, before: InternedId, input: StepInput) -> StepResult {
        if let Some(cached) = self.steps.get(&(before, input)) {
            return cached.clone();
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

    fn input(&self, input: StepInput) -> GroupInput {
        match input {
            StepInput::Other(id) => (*self.inputs.value(id)).clone(),
            StepInput::Envelope(id) => {
                let envelope = self.envelopes.value(id);
                GroupInput::Message { from: envelope.from, message: envelope.message.clone() }
            }
        }
    }
}
