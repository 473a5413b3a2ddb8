//! The system that the group models explore: the nodes, all messages sent so far, and the possible actions.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_group::{Group, GroupInput, GroupMechanisms, GroupMessage, Role};
use quillhatch_types::{Incarnation, NodeId};

use crate::explore::{ActionLabel, Property, Specification};
use crate::intern::InternedId;

use super::observer::Observer;
use super::scenario::{address, requirements, settings, Scenario, Start, NODES};
use super::step_cache::{Envelope, StepCache, StepInput};

/// One state of the explored system: the interned nodes, messages and observer, and how often each action may still
/// happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorldState {
    nodes: [InternedId; NODES],
    /// All messages sent to the current runs of nodes. Each may arrive at any time, any number of times, or never.
    messages: BTreeSet<InternedId>,
    observer: InternedId,
    proposals: u8,
    restarts: u8,
    joins: u8,
    surveys: u8,
    violated: Option<Property>,
}

/// An action of a node.
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
    Deliver { id: InternedId, to: usize, envelope: Rc<Envelope> },
}

/// The explored system of one scenario.
pub(super) struct GroupWorld {
    scenario: Scenario,
    mechanisms: GroupMechanisms,
    cache: RefCell<StepCache>,
}

impl GroupWorld {
    pub fn new(scenario: Scenario, mechanisms: GroupMechanisms) -> Self {
        Self { scenario, mechanisms, cache: RefCell::new(StepCache::default()) }
    }

    fn new_node(&self, node: usize, run: u64) -> Group {
        // Incarnations differ for all nodes and runs, so that no two runs share one.
        let id = NodeId { address: address(node), incarnation: Incarnation(run * 10 + node as u64 + 1) };
        Group::new(id, settings(self.mechanisms), id.incarnation.0)
    }

    fn group(&self, state: &WorldState, node: usize) -> Rc<Group> {
        self.cache.borrow().groups.value(state.nodes[node])
    }

    /// Steps one node, lets the observer see it, and returns the messages that it sent.
    fn step(&self, state: &mut WorldState, node: usize, input: GroupInput) -> Rc<[InternedId]> {
        let id = self.cache.borrow_mut().inputs.id(input);
        self.step_interned(state, node, StepInput::Other(id))
    }

    fn step_interned(&self, state: &mut WorldState, node: usize, input: StepInput) -> Rc<[InternedId]> {
        let mut cache = self.cache.borrow_mut();
        let before = state.nodes[node];
        let (after, sent) = cache.step(before, input);
        state.nodes[node] = after;
        if before != after {
            observe(&mut cache, state, node);
        }
        sent
    }

    /// Steps a node and adds its messages to the network, except those of surveys.
    fn step_and_send(&self, state: &mut WorldState, node: usize, input: GroupInput) {
        let sent = self.step(state, node, input);
        self.send(state, &sent);
    }

    fn send(&self, state: &mut WorldState, sent: &[InternedId]) {
        let cache = self.cache.borrow();
        for id in sent {
            let envelope = cache.envelopes.value(*id);
            let survey = matches!(envelope.message, GroupMessage::Inquiry { .. } | GroupMessage::Answer(_));
            if !survey && receiver(&cache, state, &envelope).is_some() {
                state.messages.insert(*id);
            }
        }
    }

    /// Sends an inquiry from one node to another and delivers both the inquiry and its answer.
    fn inquire(&self, state: &mut WorldState, asking: usize, asked: usize, round: u64) {
        let (from, answering) = (self.group(state, asking).node(), self.group(state, asked).node());
        let inquiry = GroupInput::Message { from, message: GroupMessage::Inquiry { round } };
        let sent = self.step(state, asked, inquiry);
        let answers: Vec<GroupMessage> = {
            let cache = self.cache.borrow();
            let messages = sent.iter().map(|id| cache.envelopes.value(*id).message.clone());
            messages.filter(|message| matches!(message, GroupMessage::Answer(_))).collect()
        };
        for message in answers {
            self.step_and_send(state, asking, GroupInput::Message { from: answering, message });
        }
    }

    fn round_of(&self, sent: &[InternedId]) -> Option<u64> {
        let cache = self.cache.borrow();
        sent.iter().find_map(|id| match cache.envelopes.value(*id).message {
            GroupMessage::Inquiry { round } => Some(round),
            _ => None,
        })
    }

    fn survey(&self, state: &mut WorldState, node: usize, peers: &[usize]) {
        let sent = self.step(state, node, GroupInput::Tick);
        if let Some(round) = self.round_of(&sent) {
            peers.iter().for_each(|peer| self.inquire(state, node, *peer, round));
        }
        self.step_and_send(state, node, GroupInput::Tick);
    }

    fn join(&self, state: &mut WorldState, leader: usize, newcomer: usize) {
        let node = self.group(state, newcomer).node();
        let inquiry = GroupInput::Message { from: node, message: GroupMessage::Inquiry { round: 0 } };
        let sent = self.step(state, leader, inquiry);
        if let Some(round) = self.round_of(&sent) {
            self.inquire(state, leader, newcomer, round);
        }
        self.step_and_send(state, leader, GroupInput::ChangeVoters { ticket: 0, add: Some(node), remove: None });
    }

    fn restart(&self, state: &mut WorldState, node: usize) {
        let run = u64::from(state.restarts);
        let fresh = self.new_node(node, run);
        {
            let mut cache = self.cache.borrow_mut();
            state.nodes[node] = cache.groups.id(fresh);
            let deliverable = state.messages.iter().copied();
            let deliverable = deliverable.filter(|id| receiver(&cache, state, &cache.envelopes.value(*id)).is_some());
            state.messages = deliverable.collect();
        }
        if self.scenario.surveys > 0 {
            self.step(state, node, GroupInput::Form(requirements()));
        }
    }

    fn apply(&self, state: &WorldState, action: &Action) -> WorldState {
        let mut next = state.clone();
        match action {
            Action::Campaign(node) => self.step_and_send(&mut next, *node, GroupInput::Tick),
            Action::Propose(node) => {
                next.proposals -= 1;
                let command = vec![next.proposals];
                self.step_and_send(&mut next, *node, GroupInput::Propose { ticket: 0, command });
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
            Action::Deliver { id, to, .. } => {
                let sent = self.step_interned(&mut next, *to, StepInput::Envelope(*id));
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
            if matches!(role, Role::Follower | Role::Candidate) && group.term() < self.scenario.campaign_term_limit {
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
        let cache = self.cache.borrow();
        let deliver = |id: &InternedId| {
            let envelope = cache.envelopes.value(*id);
            let to = receiver(&cache, state, &envelope)?;
            Some(Action::Deliver { id: *id, to, envelope })
        };
        state.messages.iter().filter_map(deliver).collect()
    }

    /// Takes the nodes to the initial state of the scenario.
    fn start(&self, mut state: WorldState) -> WorldState {
        for node in 0..NODES {
            self.step(&mut state, node, GroupInput::Form(requirements()));
        }
        match self.scenario.start {
            Start::Blank => {}
            Start::Founded => {
                self.survey(&mut state, 0, &[1]);
                self.deliver_until_founded(&mut state);
            }
            Start::Formed => {
                self.survey(&mut state, 0, &[1, 2]);
                self.deliver_all(&mut state);
                state.messages.clear();
            }
        }
        state
    }

    /// Delivers messages until node 0 leads. Then only its append messages remain on the network, none of them
    /// delivered.
    fn deliver_until_founded(&self, state: &mut WorldState) {
        while self.group(state, 0).role() != Role::Leader {
            let deliveries = self.deliveries(state);
            let before = state.clone();
            for action in deliveries {
                *state = self.apply(state, &action);
            }
            assert!(*state != before, "node 0 finds the consent that it needs");
        }
        let cache = self.cache.borrow();
        let appends = |id: &InternedId| matches!(cache.envelopes.value(*id).message, GroupMessage::Append(_));
        state.messages.retain(appends);
    }

    /// Delivers all messages until nothing changes.
    fn deliver_all(&self, state: &mut WorldState) {
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
        let observer = self.cache.borrow_mut().observers.id(Observer::default());
        let nodes = std::array::from_fn(|node| {
            let group = self.new_node(node, 9);
            self.cache.borrow_mut().groups.id(group)
        });
        let state = WorldState {
            nodes,
            messages: BTreeSet::new(),
            observer,
            proposals: self.scenario.proposals,
            restarts: self.scenario.restarts,
            joins: self.scenario.joins,
            surveys: self.scenario.surveys,
            violated: None,
        };
        vec![self.start(state)]
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

fn observe(cache: &mut StepCache, state: &mut WorldState, node: usize) {
    let groups: Vec<Rc<Group>> = state.nodes.iter().map(|id| cache.groups.value(*id)).collect();
    let all: Vec<&Group> = groups.iter().map(Rc::as_ref).collect();
    let mut observer = (*cache.observers.value(state.observer)).clone();
    let violated = observer.observe(all[node], &all);
    state.violated = state.violated.or(violated);
    state.observer = cache.observers.id(observer);
}

/// Returns the node that receives a message, or `None` if the run to which it was sent has ended.
fn receiver(cache: &StepCache, state: &WorldState, envelope: &Envelope) -> Option<usize> {
    let node = (0..NODES).find(|node| address(*node) == envelope.to.address)?;
    let run = cache.groups.value(state.nodes[node]).node().incarnation;
    (envelope.to.incarnation.0 == 0 || envelope.to.incarnation == run).then_some(node)
}

fn peer_sets(node: usize) -> Vec<Vec<usize>> {
    let others: Vec<usize> = (0..NODES).filter(|other| *other != node).collect();
    let mut sets: Vec<Vec<usize>> = others.iter().map(|other| vec![*other]).collect();
    sets.push(others);
    sets
}

/// Returns a short description of a message for a trace.
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
