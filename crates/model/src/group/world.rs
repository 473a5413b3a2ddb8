//! The world of the group models: nodes, every message ever sent, and what may happen next.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_group::{Group, GroupInput, GroupMechanisms, GroupMessage, Role};
use quillhatch_types::{Incarnation, NodeId};

use crate::explore::{ActionLabel, Property, Specification};
use crate::intern::InternedId;

use super::memory::{Envelope, Input, Memory};
use super::record::Record;
use super::scenario::{address, requirements, settings, Scenario, Start, NODES};

/// One state: nodes, messages and record by their numbers, and what may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorldState {
    nodes: [InternedId; NODES],
    /// Every message sent to a node that still runs. It may arrive at any time, any number of times, or never.
    messages: BTreeSet<InternedId>,
    record: InternedId,
    proposals: u8,
    restarts: u8,
    joins: u8,
    surveys: u8,
    violated: Option<Property>,
}

/// One thing that may happen.
#[derive(Clone, Debug, Display)]
enum Action {
    #[display("node {_0} finds no leader and campaigns")]
    Campaign(usize),
    #[display("node {_0} gets a command as leader")]
    Propose(usize),
    #[display("node {_0} restarts without memory")]
    Restart(usize),
    #[display("leader {leader} takes in the new run of node {newcomer}")]
    Join { leader: usize, newcomer: usize },
    #[display("node {node} asks {peers:?} and may form a group")]
    Survey { node: usize, peers: Vec<usize> },
    #[display("node {to} receives from {}: {}", envelope.from, describe(&envelope.message))]
    Deliver { number: InternedId, to: usize, envelope: Rc<Envelope> },
}

/// The world of one scenario.
pub(super) struct GroupWorld {
    scenario: Scenario,
    mechanisms: GroupMechanisms,
    memory: RefCell<Memory>,
}

impl GroupWorld {
    pub fn new(scenario: Scenario, mechanisms: GroupMechanisms) -> Self {
        Self { scenario, mechanisms, memory: RefCell::new(Memory::default()) }
    }

    fn new_node(&self, node: usize, run: u64) -> Group {
        // Incarnations rise with the runs, so that no two runs share one.
        let id = NodeId { address: address(node), incarnation: Incarnation(run * 10 + node as u64 + 1) };
        Group::new(id, settings(self.mechanisms), id.incarnation.0)
    }

    fn group(&self, state: &WorldState, node: usize) -> Rc<Group> {
        self.memory.borrow().groups.value(state.nodes[node])
    }

    /// Steps one node and notes what it has become; returns what it sent.
    fn step(&self, state: &mut WorldState, node: usize, input: GroupInput) -> Rc<[InternedId]> {
        let number = self.memory.borrow_mut().inputs.id(input);
        self.step_numbered(state, node, Input::Other(number))
    }

    fn step_numbered(&self, state: &mut WorldState, node: usize, input: Input) -> Rc<[InternedId]> {
        let mut memory = self.memory.borrow_mut();
        let before = state.nodes[node];
        let (after, sent) = memory.step(before, input);
        state.nodes[node] = after;
        if before != after {
            observe(&mut memory, state, node);
        }
        sent
    }

    /// Steps a node and lets its messages, but those of surveys, into the network.
    fn act(&self, state: &mut WorldState, node: usize, input: GroupInput) {
        let sent = self.step(state, node, input);
        self.send(state, &sent);
    }

    fn send(&self, state: &mut WorldState, sent: &[InternedId]) {
        let memory = self.memory.borrow();
        for number in sent {
            let envelope = memory.envelopes.value(*number);
            let survey = matches!(envelope.message, GroupMessage::Inquiry { .. } | GroupMessage::Answer(_));
            if !survey && receiver(&memory, state, &envelope).is_some() {
                state.messages.insert(*number);
            }
        }
    }

    /// An inquiry with its answer, both of which arrive.
    fn ask(&self, state: &mut WorldState, asking: usize, asked: usize, round: u64) {
        let (from, answering) = (self.group(state, asking).node(), self.group(state, asked).node());
        let inquiry = GroupInput::Message { from, message: GroupMessage::Inquiry { round } };
        let sent = self.step(state, asked, inquiry);
        let answers: Vec<GroupMessage> = {
            let memory = self.memory.borrow();
            let messages = sent.iter().map(|number| memory.envelopes.value(*number).message.clone());
            messages.filter(|message| matches!(message, GroupMessage::Answer(_))).collect()
        };
        for message in answers {
            self.act(state, asking, GroupInput::Message { from: answering, message });
        }
    }

    fn round_of(&self, sent: &[InternedId]) -> Option<u64> {
        let memory = self.memory.borrow();
        sent.iter().find_map(|number| match memory.envelopes.value(*number).message {
            GroupMessage::Inquiry { round } => Some(round),
            _ => None,
        })
    }

    fn survey(&self, state: &mut WorldState, node: usize, peers: &[usize]) {
        let sent = self.step(state, node, GroupInput::Tick);
        if let Some(round) = self.round_of(&sent) {
            peers.iter().for_each(|peer| self.ask(state, node, *peer, round));
        }
        self.act(state, node, GroupInput::Tick);
    }

    fn join(&self, state: &mut WorldState, leader: usize, newcomer: usize) {
        let node = self.group(state, newcomer).node();
        let inquiry = GroupInput::Message { from: node, message: GroupMessage::Inquiry { round: 0 } };
        let sent = self.step(state, leader, inquiry);
        if let Some(round) = self.round_of(&sent) {
            self.ask(state, leader, newcomer, round);
        }
        self.act(state, leader, GroupInput::ChangeVoters { ticket: 0, add: Some(node), remove: None });
    }

    fn restart(&self, state: &mut WorldState, node: usize) {
        let run = u64::from(state.restarts);
        let fresh = self.new_node(node, run);
        {
            let mut memory = self.memory.borrow_mut();
            state.nodes[node] = memory.groups.id(fresh);
            let kept = state.messages.iter().copied();
            let kept = kept.filter(|number| receiver(&memory, state, &memory.envelopes.value(*number)).is_some());
            state.messages = kept.collect();
        }
        if self.scenario.surveys > 0 {
            self.step(state, node, GroupInput::Form(requirements()));
        }
    }

    fn apply(&self, state: &WorldState, action: &Action) -> WorldState {
        let mut next = state.clone();
        match action {
            Action::Campaign(node) => self.act(&mut next, *node, GroupInput::Tick),
            Action::Propose(node) => {
                next.proposals -= 1;
                let command = vec![next.proposals];
                self.act(&mut next, *node, GroupInput::Propose { ticket: 0, command });
            }
            Action::Restart(node) => {
                self.restart(&mut next, *node);
                next.restarts -= 1;
            }
            Action::Join { leader, newcomer } => {
                next.joins -= 1;
                self.join(&mut next, *leader, *newcomer);
            }
            Action::Survey { node, peers } => {
                next.surveys -= 1;
                self.survey(&mut next, *node, peers);
            }
            Action::Deliver { number, to, .. } => {
                let sent = self.step_numbered(&mut next, *to, Input::Envelope(*number));
                self.send(&mut next, &sent);
            }
        }
        next
    }

    fn actions(&self, state: &WorldState) -> Vec<Action> {
        let groups: Vec<Rc<Group>> = (0..NODES).map(|node| self.group(state, node)).collect();
        let mut actions = self.deliveries(state);
        for (node, group) in groups.iter().enumerate() {
            let role = group.role();
            if matches!(role, Role::Follower | Role::Candidate) && group.term() < self.scenario.last_term {
                actions.push(Action::Campaign(node));
            }
            if role == Role::Leader && state.proposals > 0 {
                actions.push(Action::Propose(node));
            }
            if state.restarts > 0 {
                actions.push(Action::Restart(node));
            }
            if role == Role::Leader && state.joins > 0 {
                let newcomers = (0..NODES).filter(|other| groups[*other].role() == Role::Outsider);
                actions.extend(newcomers.map(|newcomer| Action::Join { leader: node, newcomer }));
            }
            if role != Role::Leader && state.surveys > 0 {
                actions.extend(peer_sets(node).into_iter().map(|peers| Action::Survey { node, peers }));
            }
        }
        actions
    }

    fn deliveries(&self, state: &WorldState) -> Vec<Action> {
        let memory = self.memory.borrow();
        let deliver = |number: &InternedId| {
            let envelope = memory.envelopes.value(*number);
            let to = receiver(&memory, state, &envelope)?;
            Some(Action::Deliver { number: *number, to, envelope })
        };
        state.messages.iter().filter_map(deliver).collect()
    }

    /// Brings the nodes to where the scenario starts.
    fn begin(&self, mut state: WorldState) -> WorldState {
        for node in 0..NODES {
            self.step(&mut state, node, GroupInput::Form(requirements()));
        }
        match self.scenario.start {
            Start::Blank => {}
            Start::Founded => {
                self.survey(&mut state, 0, &[1]);
                self.found(&mut state);
            }
            Start::Formed => {
                self.survey(&mut state, 0, &[1, 2]);
                self.settle(&mut state);
                state.messages.clear();
            }
        }
        state
    }

    /// Delivers until node 0 leads, and nothing of what it sends then.
    fn found(&self, state: &mut WorldState) {
        while self.group(state, 0).role() != Role::Leader {
            let deliveries = self.deliveries(state);
            let before = state.clone();
            for action in deliveries {
                *state = self.apply(state, &action);
            }
            assert!(*state != before, "node 0 finds the consent that it needs");
        }
        let memory = self.memory.borrow();
        let appends = |number: &InternedId| matches!(memory.envelopes.value(*number).message, GroupMessage::Append(_));
        state.messages.retain(appends);
    }

    /// Delivers everything until nothing changes.
    fn settle(&self, state: &mut WorldState) {
        loop {
            let before = state.clone();
            for action in self.deliveries(&before) {
                *state = self.apply(state, &action);
            }
            if *state == before {
                return;
            }
        }
    }
}

impl Specification for GroupWorld {
    type State = WorldState;

    fn initial_states(&self) -> Vec<WorldState> {
        let record = self.memory.borrow_mut().records.id(Record::default());
        let nodes = std::array::from_fn(|node| {
            let group = self.new_node(node, 9);
            self.memory.borrow_mut().groups.id(group)
        });
        let state = WorldState {
            nodes,
            messages: BTreeSet::new(),
            record,
            proposals: self.scenario.proposals,
            restarts: self.scenario.restarts,
            joins: self.scenario.joins,
            surveys: self.scenario.surveys,
            violated: None,
        };
        vec![self.begin(state)]
    }

    fn successors(&self, state: &WorldState) -> Vec<(ActionLabel, WorldState)> {
        let actions = self.actions(state).into_iter();
        let next = actions.map(|action| {
            let next = self.apply(state, &action);
            (ActionLabel::new(Rc::new(action)), next)
        });
        next.filter(|(_, next)| next != state).collect()
    }

    fn violated(&self, state: &WorldState) -> Option<Property> {
        state.violated
    }
}

fn observe(memory: &mut Memory, state: &mut WorldState, node: usize) {
    let groups: Vec<Rc<Group>> = state.nodes.iter().map(|number| memory.groups.value(*number)).collect();
    let all: Vec<&Group> = groups.iter().map(Rc::as_ref).collect();
    let mut record = (*memory.records.value(state.record)).clone();
    let violated = record.observe(all[node], &all);
    state.violated = state.violated.or(violated);
    state.record = memory.records.id(record);
}

/// The node that a message reaches, unless the run that it was meant for has ended.
fn receiver(memory: &Memory, state: &WorldState, envelope: &Envelope) -> Option<usize> {
    let node = (0..NODES).find(|node| address(*node) == envelope.to.address)?;
    let run = memory.groups.value(state.nodes[node]).node().incarnation;
    (envelope.to.incarnation.0 == 0 || envelope.to.incarnation == run).then_some(node)
}

fn peer_sets(node: usize) -> Vec<Vec<usize>> {
    let others: Vec<usize> = (0..NODES).filter(|other| *other != node).collect();
    let mut sets: Vec<Vec<usize>> = others.iter().map(|other| vec![*other]).collect();
    sets.push(others);
    sets
}

/// The message in short for a trace.
fn describe(message: &GroupMessage) -> String {
    match message {
        GroupMessage::VoteRequest(request) => format!("vote request for term {}", request.term),
        GroupMessage::VoteReply(reply) => format!("vote reply of term {}, granted: {}", reply.term, reply.granted),
        GroupMessage::Append(append) => {
            let (first, count) = (append.previous_index + 1, append.entries.len());
            format!("append of term {}, {count} entries from {first}", append.term)
        }
        GroupMessage::AppendReply(reply) => {
            format!("append reply of term {}, fits: {}, index {}", reply.term, reply.success, reply.index)
        }
        GroupMessage::FormRequest(request) => format!("request to form {}", request.record.identity.generation),
        GroupMessage::FormReply(reply) => {
            format!("consent to form {}: {}", reply.identity.generation, reply.granted)
        }
        other => format!("{other:?}"),
    }
}
