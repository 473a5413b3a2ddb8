//! The world in which owners and voters run: calls, control, a network that loses, repeats and reorders, and pauses.
//!
//! A message to a voter stays on the network for ever and may be handed over at any time, any number of times, or
//! never: that is loss, duplication and reordering. The voter's answer arrives at once or never, except that scenarios
//! with late record replies let the answers to new claims arrive at any later time too. Every node may be passed over
//! for as long as one likes: that is a pause, and for ever, a crash. Between an owner's last check and the arrival of
//! the call at the back end any amount may happen too.

use std::collections::BTreeMap;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_claims::{
    ClaimBody, ClaimDecision, ClaimMechanisms, ClaimOwner, ClaimVoter, OwnerInput, OwnerOutput, OwnerSettings,
    RecordId, RecordKind, VoterSettings,
};
use quillhatch_types::{AttemptId, CallId, Epoch, Incarnation, NodeId, RequestKey, RootId, Timestamp};

use super::scenario::{holds, service, ControlStep, Scenario, REMAINING, RETENTION, SLOT};
use super::steps::{Envelope, OwnerStep, StepInput, Steps};
use crate::explore::{ActionLabel, Property, Specification};
use crate::intern::{InternedId, InternedSet};

/// The back end runs a key once.
pub const AT_MOST_ONE_RUN: Property = Property("at-most-one-run");

/// The time at which everything but the passing of retention happens.
const START: Timestamp = Timestamp::from_millis(1_000);

/// The time after every deadline and the retention.
const LATE: Timestamp = Timestamp::from_millis(100_000);

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Call {
    Unsent,
    Waiting,
    Granted,
    /// The owner's last check passed; the call is about to reach the back end.
    Cleared,
    Running,
    Answered,
}

/// One state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    owners: Vec<InternedId>,
    voters: Vec<(NodeId, InternedId)>,
    network: InternedSet,
    calls: Vec<Call>,
    runs: u8,
    control: Control,
}

impl State {
    /// Whether enough calls are left for a second run; without them no state that follows breaks the property.
    fn may_run_twice(&self) -> bool {
        let open = |call: &&Call| matches!(call, Call::Unsent | Call::Waiting | Call::Granted | Call::Cleared);
        usize::from(self.runs) + self.calls.iter().filter(open).count() > 1
    }
}

/// What the control part did and heard of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Control {
    steps: usize,
    settled: BTreeMap<usize, Epoch>,
    exported: Option<InternedId>,
    imported: bool,
    late: bool,
}

/// Shows a message whose answer arrived in the same step.
#[derive(Display)]
#[display("{_0}, answered at once")]
struct AnsweredAtOnce(Rc<Envelope>);

/// The claims protocol in one scenario.
#[derive(Debug)]
pub struct ClaimsWorld {
    scenario: Scenario,
    mechanisms: ClaimMechanisms,
    steps: Steps,
}

impl ClaimsWorld {
    /// The scenario, with some checks switched off or none.
    pub fn new(scenario: Scenario, mechanisms: ClaimMechanisms) -> Self {
        ClaimsWorld { scenario, mechanisms, steps: Steps::default() }
    }

    fn now(&self, state: &State) -> Timestamp {
        if state.control.late {
            LATE
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

    /// Steps an owner, and brings what it leads to into the state; none if nothing changes.
    fn step_owner(&self, state: &State, owner: usize, step: StepInput) -> Option<State> {
        let id = self.scenario.owners[owner].0;
        let input = step.clone();
        let result =
            self.steps.step_owner(state.owners[owner], owner, id, self.now(state), step, || self.input(&input));
        let heard = result.sent.iter().all(|message| state.network.contains(*message));
        if result.owner == state.owners[owner] && heard && result.outputs.is_empty() {
            return None;
        }
        let mut next = state.clone();
        self.apply(&mut next, owner, &result);
        (next != *state).then_some(next)
    }

    fn apply(&self, state: &mut State, owner: usize, step: &OwnerStep) {
        state.owners[owner] = step.owner;
        for message in &step.sent {
            state.network.insert(*message);
        }
        for output in &step.outputs {
            match output {
                OwnerOutput::Resolved { ticket, resolution } => {
                    state.calls[ticket.attempt as usize] = resolved(resolution);
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
                None => self.hand_to_voter(state, id, &envelope, next),
            }
        }
    }

    fn owner_at(&self, id: NodeId) -> Option<usize> {
        self.scenario.owners.iter().position(|(owner, _)| *owner == id)
    }

    /// Hands a message to whichever run is at the voter's address.
    fn hand_to_voter(
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
            let answered = self.answer_at_once(&changed, *message);
            let label = || ActionLabel::new(Rc::new(AnsweredAtOnce(Rc::clone(envelope))));
            next.extend(answered.map(|state| (label(), state)));
        }
        if changed != *state {
            next.push((ActionLabel::new(envelope.clone()), changed));
        }
    }

    /// Whether an answer stays on the network instead of arriving at once or never.
    fn may_be_late(&self, id: InternedId) -> bool {
        let record_reply = |id: &RecordId| matches!(id, RecordId::Claim { kind: RecordKind::New, .. });
        match &self.steps.envelope(id).message.body {
            ClaimBody::RecordReply { id, .. } => self.scenario.late_record_replies && record_reply(id),
            _ => false,
        }
    }

    /// Hands a voter's answer to its owner; none if nothing changes.
    fn answer_at_once(&self, state: &State, id: InternedId) -> Option<State> {
        let owner = self.owner_at(self.steps.envelope(id).to)?;
        self.step_owner(state, owner, StepInput::Deliver(id))
    }

    fn call_actions(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        for (index, plan) in self.scenario.calls.iter().enumerate() {
            let mut step = |label: &str, input, call: Option<Call>| {
                if let Some(mut changed) = self.step_owner(state, plan.owner, input) {
                    if let Some(call) = call {
                        changed.calls[index] = call;
                    }
                    next.push((format!("call {index} {label}").into(), changed));
                }
            };
            match state.calls[index] {
                Call::Unsent => {
                    // The owner's decision, if it comes at once, replaces the waiting.
                    let mut waiting = state.clone();
                    waiting.calls[index] = Call::Waiting;
                    let changed = self.step_owner(&waiting, plan.owner, StepInput::Submit(index));
                    next.extend(changed.map(|state| (format!("call {index} is submitted").into(), state)));
                }
                Call::Waiting | Call::Granted if plan.may_cancel => {
                    step("is withdrawn", StepInput::Release(index), Some(Call::Answered));
                }
                Call::Running if plan.may_finish => step("ends", StepInput::Finish(index), Some(Call::Answered)),
                _ => {}
            }
            self.dispatch_actions(state, index, next);
        }
    }

    fn dispatch_actions(&self, state: &State, index: usize, next: &mut Vec<(ActionLabel, State)>) {
        let owner = self.scenario.calls[index].owner;
        match state.calls[index] {
            Call::Granted if self.steps.may_dispatch(state.owners[owner], ticket(index), self.now(state)) => {
                let mut changed = state.clone();
                changed.calls[index] = Call::Cleared;
                next.push((format!("call {index} passes the last check").into(), changed));
            }
            Call::Granted => {
                let changed = self.step_owner(state, owner, StepInput::Release(index)).map(|mut state| {
                    state.calls[index] = Call::Answered;
                    (format!("call {index} fails the last check").into(), state)
                });
                next.extend(changed);
            }
            Call::Cleared => {
                let mut changed = state.clone();
                changed.calls[index] = Call::Running;
                changed.runs += 1;
                next.push((format!("call {index} runs").into(), changed));
            }
            _ => {}
        }
    }

    fn control_actions(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        self.published_actions(state, next);
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
            ControlStep::AskExport(_) => "the export is asked for".to_owned(),
            ControlStep::AskImport(_) => "the import is asked for".to_owned(),
            // The pause between the last check and the back end is taken to be shorter than the retention.
            ControlStep::PassTime if state.calls.contains(&Call::Cleared) => return,
            ControlStep::PassTime => {
                changed.control.late = true;
                // A key may run again once its claim was kept for the retention.
                changed.runs = 0;
                "all deadlines and the retention pass".to_owned()
            }
        };
        next.push((label.into(), changed));
    }

    /// Tables and requests that were published and may reach an owner at any time.
    fn published_actions(&self, state: &State, next: &mut Vec<(ActionLabel, State)>) {
        for table in 0..self.scenario.published {
            self.hand_table(state, table, next);
        }
        for (_, step) in &self.scenario.control[..state.control.steps] {
            match step {
                ControlStep::Publish(table) => self.hand_table(state, *table, next),
                ControlStep::AskExport(owners) => {
                    for owner in owners {
                        let changed = self.step_owner(state, *owner, StepInput::Export);
                        next.extend(changed.map(|state| (format!("owner {owner} is asked to export").into(), state)));
                    }
                }
                ControlStep::AskImport(owner) => {
                    let import = state.control.exported.map(StepInput::Import);
                    let changed = import.and_then(|import| self.step_owner(state, *owner, import));
                    next.extend(changed.map(|state| (format!("owner {owner} is asked to import").into(), state)));
                }
                ControlStep::RestartVoter(_) | ControlStep::PassTime => {}
            }
        }
    }

    fn hand_table(&self, state: &State, table: usize, next: &mut Vec<(ActionLabel, State)>) {
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
            calls: vec![Call::Unsent; self.scenario.calls.len()],
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

fn resolved(decision: &ClaimDecision) -> Call {
    match decision {
        ClaimDecision::Granted => Call::Granted,
        ClaimDecision::Replay(_) | ClaimDecision::Refused(_) => Call::Answered,
    }
}
