//! The system that the claims models explore: owners, voters, calls, control steps and an unreliable network.
//!
//! A message stays on the network and may be delivered at any time, any number of times, or never. This covers loss,
//! duplication and reordering. A voter's answer arrives at once or never, except in scenarios with late record replies,
//! in which answers to new claims may also arrive at any later time. Any node may take no step for any time, which
//! covers pauses and, if it never takes one again, crashes. Any number of actions may also happen between an owner's
//! last check and the arrival of the call at the back end.

use std::collections::BTreeMap;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_claims::{
    ClaimBody, ClaimDecision, ClaimMechanisms, ClaimOwner, ClaimVoter, OwnerInput, OwnerOutput, OwnerSettings,
    RecordId, RecordKind, VoterSettings,
};
use quillhatch_types::{AttemptId, CallId, Epoch, Incarnation, NodeId, RequestKey, RootId, Timestamp};

use super::scenario::{holds, service, ControlStep, Scenario, REMAINING, RETENTION, SLOT};
use super::steps::{Envelope, OwnerStep, StepCache, StepInput};
use crate::explore::{ActionLabel, Property, Specification};
use crate::intern::{InternedId, InternedSet};

/// The back end runs a key at most once within its retention.
pub const AT_MOST_ONE_RUN: Property = Property("at-most-one-run");

/// The time before [`ControlStep::PassTime`].
const START: Timestamp = Timestamp::from_millis(1_000);

/// The time after [`ControlStep::PassTime`], when all deadlines and the retention have passed.
const AFTER_RETENTION: Timestamp = Timestamp::from_millis(100_000);

/// The state of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallState {
    Unsent,
    Waiting,
    Granted,
    /// The owner's check before the dispatch passed, and the call has not yet reached the back end.
    Cleared,
    Running,
    Answered,
}

/// One state of the explored system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    owners: Vec<InternedId>,
    voters: Vec<(NodeId, InternedId)>,
    network: InternedSet,
    calls: Vec<CallState>,
    runs: u8,
    control: Control,
}

impl State {
    /// Whether enough calls are left for a second run; otherwise no later state can violate the property.
    fn may_run_twice(&self) -> bool {
        let may_still_run = |call: &&CallState| {
            matches!(call, CallState::Unsent | CallState::Waiting | CallState::Granted | CallState::Cleared)
        };
        usize::from(self.runs) + self.calls.iter().filter(may_still_run).count() > 1
    }
}

/// The state of the control plane: the steps it has taken and the results reported to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Control {
    /// The number of control steps taken.
    steps: usize,
    /// For each owner the epoch of the latest table at whose voters it has recorded its claims.
    settled: BTreeMap<usize, Epoch>,
    exported: Option<InternedId>,
    imported: bool,
    /// Whether all deadlines and the retention have passed.
    time_passed: bool,
}

/// Labels the delivery of a message whose answer arrives in the same step.
#[derive(Display)]
#[display("{_0}, answered at once")]
struct AnsweredAtOnce(Rc<Envelope>);

/// The claims protocol in one scenario.
#[derive(Debug)]
pub struct ClaimsWorld {
    scenario: Scenario,
    mechanisms: ClaimMechanisms,
    steps: StepCache,
}

impl ClaimsWorld {
    /// Creates the system of a scenario; `mechanisms` may disable checks of the protocol.
    pub fn new(scenario: Scenario, mechanisms: ClaimMechanisms) -> Self {
        ClaimsWorld { scenario, mechanisms, steps: StepCache::default() }
    }

    fn now(&self, state: &State) -> Timestamp {
        if state.control.time_passed {
            AFTER_RETENTION
        } else {
            START
        }
    }

    fn input(&self, step: &StepInput) -> OwnerInput {
        match step {
            StepInput::Deliver(id) => {
                let envelope = self.steps.envelope(*id);
                OwnerInput::Message { from: envelope.from, message: envelope.message.clone() }
            }
            StepInput::Submit(call) => OwnerInput::Claim {
                ticket: ticket(*call),
                key: RequestKey::new("key").expect("the model's key is valid"),
                slot: SLOT,
                digest: None,
                root: RootId(*call as u128),
                key_from_caller: true,
                remaining: REMAINING,
            },
            StepInput::Finish(call) => OwnerInput::Finished { ticket: ticket(*call), record: None },
            StepInput::Release(call) => OwnerInput::Released { ticket: ticket(*call) },
            StepInput::Table(table) => OwnerInput::Table(self.scenario.tables[*table].clone()),
            StepInput::Export => OwnerInput::ExportSlot { slot: SLOT },
            StepInput::Import(claims) => {
                let claims = self.steps.handover(*claims);
                OwnerInput::ImportSlot { slot: SLOT, epoch: self.scenario.import_epoch, claims }
            }
        }
    }

    /// Steps an owner and returns the resulting state, or `None` if nothing changes.
    fn step_owner(&self, state: &State, owner: usize, step: StepInput) -> Option<State> {
        let id = self.scenario.owners[owner].0;
        let input = step.clone();
        let result =
            self.steps.step_owner(state.owners[owner], owner, id, self.now(state), step, || self.input(&input));
        let already_sent = result.sent.iter().all(|message| state.network.contains(*message));
        if result.owner == state.owners[owner] && already_sent && result.outputs.is_empty() {
            return None;
        }
        let mut next = state.clone();
        self.apply_owner_step(&mut next, owner, &result);
        (next != *state).then_some(next)
    }

    fn apply_owner_step(&self, state: &mut State, owner: usize, step: &OwnerStep) {
        state.owners[owner] = step.owner;
        for message in &step.sent {
            state.network.insert(*message);
        }
        for output in &step.outputs {
            match output {
                OwnerOutput::Resolved { ticket, resolution } => {
                    state.calls[ticket.attempt as usize] = call_state_after(resolution);
                }
                OwnerOutput::SlotExported { claims, .. } => {
                    let claims = self.steps.intern_handover(claims.clone());
                    state.control.exported.get_or_insert(claims);
                }
                OwnerOutput::SlotImported { .. } => state.control.imported = true,
                OwnerOutput::VotersSettled { epoch } => {
                    state.control.settled.insert(owner, *epoch);
                }
                OwnerOutput::Send { .. } | OwnerOutput::SlotOpened { .. } | OwnerOutput::SlotLost { .. } => {}
            }
        }
    }

    fn deliveries(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        for id in state.network.iter() {
            let envelope = self.steps.envelope(id);
            match self.owner_at(envelope.to) {
                Some(owner) => {
                    let changed = self.step_owner(state, owner, StepInput::Deliver(id));
                    next.extend(changed.map(|state| (ActionLabel::new(envelope), state)));
                }
                None => self.deliver_to_voter(state, id, &envelope, next),
            }
        }
    }

    fn owner_at(&self, id: NodeId) -> Option<usize> {
        self.scenario.owners.iter().position(|(owner, _)| *owner == id)
    }

    /// Delivers a message to whichever incarnation is at the voter's address.
    fn deliver_to_voter(
        &self,
        state: &State,
        id: InternedId,
        envelope: &Rc<Envelope>,
        next: &mut Vec<(ActionLabel, State)>,
    ) {
        let at_address = |(voter, _): &(NodeId, InternedId)| voter.address == envelope.to.address;
        let Some(index) = state.voters.iter().position(at_address) else {
            return;
        };
        let (run, voter) = state.voters[index];
        let result = self.steps.step_voter(voter, run, id, self.now(state));
        let mut changed = state.clone();
        changed.voters[index].1 = result.voter;
        for message in &result.sent {
            if self.may_be_late(*message) {
                changed.network.insert(*message);
                continue;
            }
            let answered = self.deliver_answer(&changed, *message);
            let label = || ActionLabel::new(Rc::new(AnsweredAtOnce(Rc::clone(envelope))));
            next.extend(answered.map(|state| (label(), state)));
        }
        if changed != *state {
            next.push((ActionLabel::new(envelope.clone()), changed));
        }
    }

    /// Whether an answer stays on the network and may arrive later, instead of arriving at once or never.
    fn may_be_late(&self, id: InternedId) -> bool {
        let record_reply = |id: &RecordId| matches!(id, RecordId::Claim { kind: RecordKind::New, .. });
        match &self.steps.envelope(id).message.body {
            ClaimBody::RecordReply { id, .. } => self.scenario.late_record_replies && record_reply(id),
            _ => false,
        }
    }

    /// Delivers a voter's answer to the owner and returns the resulting state, or `None` if nothing changes.
    fn deliver_answer(&self, state: &State, id: InternedId) -> Option<State> {
        let owner = self.owner_at(self.steps.envelope(id).to)?;
        self.step_owner(state, owner, StepInput::Deliver(id))
    }

    fn call_actions(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        for (index, plan) in self.scenario.calls.iter().enumerate() {
            let mut step = |label: &str, input, call: Option<CallState>| {
                if let Some(mut changed) = self.step_owner(state, plan.owner, input) {
                    if let Some(call) = call {
                        changed.calls[index] = call;
                    }
                    next.push((format!("call {index} {label}").into(), changed));
                }
            };
            match state.calls[index] {
                CallState::Unsent => {
                    // If the owner decides within this step, its decision replaces the state `Waiting`.
                    let mut waiting = state.clone();
                    waiting.calls[index] = CallState::Waiting;
                    let changed = self.step_owner(&waiting, plan.owner, StepInput::Submit(index));
                    next.extend(changed.map(|state| (format!("call {index} is submitted").into(), state)));
                }
                CallState::Waiting | CallState::Granted if plan.may_cancel => {
                    step("is withdrawn", StepInput::Release(index), Some(CallState::Answered));
                }
                CallState::Running if plan.may_finish => {
                    step("ends", StepInput::Finish(index), Some(CallState::Answered))
                }
                _ => {}
            }
            self.dispatch_actions(state, index, next);
        }
    }

    fn dispatch_actions(&self, state: &State, index: usize, next: &mut Vec<(ActionLabel, State)>) {
        let owner = self.scenario.calls[index].owner;
        match state.calls[index] {
            CallState::Granted if self.steps.may_dispatch(state.owners[owner], ticket(index), self.now(state)) => {
                let mut changed = state.clone();
                changed.calls[index] = CallState::Cleared;
                next.push((format!("call {index} passes the last check").into(), changed));
            }
            CallState::Granted => {
                let changed = self.step_owner(state, owner, StepInput::Release(index)).map(|mut state| {
                    state.calls[index] = CallState::Answered;
                    (format!("call {index} fails the last check").into(), state)
                });
                next.extend(changed);
            }
            CallState::Cleared => {
                let mut changed = state.clone();
                changed.calls[index] = CallState::Running;
                changed.runs += 1;
                next.push((format!("call {index} runs").into(), changed));
            }
            _ => {}
        }
    }

    fn control_actions(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        self.published_arrivals(state, next);
        let control = &state.control;
        let Some((guard, step)) = self.scenario.control.get(control.steps) else {
            return;
        };
        if !holds(*guard, &control.settled, control.exported.is_some(), control.imported) {
            return;
        }
        let mut changed = state.clone();
        changed.control.steps += 1;
        let label = match step {
            ControlStep::Publish(table) => format!("table {table} is agreed"),
            ControlStep::RestartVoter(voter) => {
                let run = &mut changed.voters[*voter];
                run.0.incarnation = Incarnation(run.0.incarnation.0 + 1);
                run.1 = self.steps.intern_voter(self.new_voter());
                format!("voter {} restarts without memory", run.0)
            }
            ControlStep::RequestExport(_) => "the export is asked for".to_owned(),
            ControlStep::RequestImport(_) => "the import is asked for".to_owned(),
            // The model assumes that the delay between the last check and the back end is shorter than the retention.
            ControlStep::PassTime if state.calls.contains(&CallState::Cleared) => return,
            ControlStep::PassTime => {
                changed.control.time_passed = true;
                // After the retention the key may run again.
                changed.runs = 0;
                "all deadlines and the retention pass".to_owned()
            }
        };
        next.push((label.into(), changed));
    }

    /// Adds the arrival of published tables and of export and import requests, which may reach an owner at any time.
    fn published_arrivals(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        for table in 0..self.scenario.published {
            self.deliver_table(state, table, next);
        }
        for (_, step) in &self.scenario.control[..state.control.steps] {
            match step {
                ControlStep::Publish(table) => self.deliver_table(state, *table, next),
                ControlStep::RequestExport(owners) => {
                    for owner in owners {
                        let changed = self.step_owner(state, *owner, StepInput::Export);
                        next.extend(changed.map(|state| (format!("owner {owner} is asked to export").into(), state)));
                    }
                }
                ControlStep::RequestImport(owner) => {
                    let import = state.control.exported.map(StepInput::Import);
                    let changed = import.and_then(|import| self.step_owner(state, *owner, import));
                    next.extend(changed.map(|state| (format!("owner {owner} is asked to import").into(), state)));
                }
                ControlStep::RestartVoter(_) | ControlStep::PassTime => {}
            }
        }
    }

    fn deliver_table(&self, state: &State, table: usize, next: &mut Vec<(ActionLabel, State)>) {
        let site = &self.scenario.tables[table].site;
        for owner in (0..self.scenario.owners.len()).filter(|owner| self.scenario.owners[*owner].1 == *site) {
            let changed = self.step_owner(state, owner, StepInput::Table(table));
            next.extend(changed.map(|state| (format!("owner {owner} gets table {table}").into(), state)));
        }
    }

    fn new_owner(&self, id: NodeId) -> ClaimOwner {
        let settings = OwnerSettings { retention: RETENTION, ..OwnerSettings::default() };
        let mut owner = ClaimOwner::with_mechanisms(id, service(), settings, self.mechanisms);
        owner.step(START, OwnerInput::Lease { until: Timestamp(u64::MAX) }, &mut Vec::new());
        owner
    }

    fn new_voter(&self) -> ClaimVoter {
        ClaimVoter::with_mechanisms(service(), VoterSettings::default(), self.mechanisms)
    }
}

impl Specification for ClaimsWorld {
    type State = State;

    fn initial_states(&self) -> Vec<State> {
        let owners = self.scenario.owners.iter().map(|(id, _)| self.steps.intern_owner(self.new_owner(*id)));
        let voters = self.scenario.voters.iter().map(|id| (*id, self.steps.intern_voter(self.new_voter())));
        vec![State {
            owners: owners.collect(),
            voters: voters.collect(),
            network: InternedSet::default(),
            calls: vec![CallState::Unsent; self.scenario.calls.len()],
            runs: 0,
            control: Control::default(),
        }]
    }

    fn successors(&self, state: &State) -> Vec<(ActionLabel, State)> {
        let mut next = Vec::new();
        if !state.may_run_twice() {
            return next;
        }
        self.call_actions(state, &mut next);
        self.control_actions(state, &mut next);
        self.deliveries(state, &mut next);
        next
    }

    fn violated(&self, state: &State) -> Option<Property> {
        (state.runs > 1).then_some(AT_MOST_ONE_RUN)
    }
}

fn ticket(call: usize) -> AttemptId {
    AttemptId { call: CallId(1), attempt: call as u8 }
}

fn call_state_after(decision: &ClaimDecision) -> CallState {
    match decision {
        ClaimDecision::Granted => CallState::Granted,
        ClaimDecision::Replay(_) | ClaimDecision::Refused(_) => CallState::Answered,
    }
}
