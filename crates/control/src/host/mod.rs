//! One member's part in a service's group: it hosts the agreement, applies what is agreed, and leads if elected.
//!
//! The leader's duties are in the submodules. Each looks at the agreed state and the time and asks for at most one
//! command; one command is on its way at a time, so every decision rests on the outcome of the one before. Nothing that
//! matters is kept outside the agreed state, so a new leader simply goes on.

mod agreement;
mod exports;
mod founding;
mod gates;
mod imports;
mod membership;
mod moves;
mod planning;
mod progress;
mod queries;
mod requests;
mod voters;

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_group::{Group, GroupInput, GroupMessage, GroupOutput, Role};
use quillhatch_types::{Configuration, NodeAddress, NodeId, ServiceConfiguration, ServiceName, SiteName, Timestamp};

use crate::io::{ControlEvent, ControlOutput, ControlPayload, GroupFrame, Recipient};
use crate::message::{ControlMessage, GroupBody};
use crate::operator::OperatorReply;
use crate::settings::ControlSettings;
use crate::state::{Command, RetryLimits, ServiceState};

pub(crate) use queries::status_of;

use agreement::Pending;
use exports::Exports;
use founding::Founding;
use gates::GateWatch;
use imports::Imports;
use moves::RemoteSites;
use requests::Desk;
use voters::VoterDuty;

/// The most commands that a leader proposes in one step; further ones wait for the next.
const MAXIMUM_COMMANDS_PER_STEP: usize = 256;

/// Who waits for the reply to an operator's request, and under which number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Asker {
    pub node: NodeId,
    pub number: u64,
}

/// What a step of the host works with.
pub(crate) struct HostStep<'a> {
    pub now: Timestamp,
    pub configuration: &'a Arc<Configuration>,
    pub outputs: &'a mut Vec<ControlOutput>,
}

/// One member's part in a service's group; see the module.
pub(crate) struct ServiceHost {
    settings: ControlSettings,
    service: ServiceName,
    electorate: Vec<NodeAddress>,
    group: Group,
    state: ServiceState,
    tickets: u64,
    pending: Option<Pending>,
    rejected: Option<(Command, Timestamp)>,
    /// How often the group itself refused a proposal.
    proposals_refused: u64,
    /// The service's configuration at the revision that the group agreed on last, if this node had it in force then.
    agreed_service: Option<ServiceConfiguration>,
    leading_since: Option<Timestamp>,
    lost_since: Option<Timestamp>,
    applied_at: BTreeMap<u64, Timestamp>,
    committed_index: u64,
    gates: GateWatch,
    voters: VoterDuty,
    founding: Founding,
    remote: RemoteSites,
    exports: Exports,
    imports: Imports,
    desk: Desk,
}

impl ServiceHost {
    pub fn new(settings: &ControlSettings, service: ServiceName, seed: u64) -> Self {
        let group = Group::new(settings.node, settings.group.clone(), seed);
        let state = ServiceState::new(service.clone(), settings.site.clone(), settings.mechanisms);
        Self {
            settings: settings.clone(),
            service,
            electorate: Vec::new(),
            group,
            state,
            tickets: 0,
            pending: None,
            rejected: None,
            proposals_refused: 0,
            agreed_service: None,
            leading_since: None,
            lost_since: None,
            applied_at: BTreeMap::new(),
            committed_index: 0,
            gates: GateWatch::default(),
            voters: VoterDuty::default(),
            founding: Founding::default(),
            remote: RemoteSites::default(),
            exports: Exports::default(),
            imports: Imports::default(),
            desk: Desk::default(),
        }
    }

    pub fn leader_hint(&self) -> Option<NodeId> {
        self.group.leader_hint()
    }

    pub fn is_outsider(&self) -> bool {
        self.group.role() == Role::Outsider
    }

    pub fn next_wake(&self) -> Option<Timestamp> {
        self.group.next_wake()
    }

    /// Whether this node leads and has heard from a majority lately enough to answer for the group.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.leading_since.is_some() && self.group.readable_index(now).is_some()
    }

    fn site(&self) -> &SiteName {
        &self.settings.site
    }

    fn me(&self) -> NodeId {
        self.settings.node
    }

    /// A limit that a plan has set here, for every class that has one.
    pub fn retries(&self) -> Vec<RetryLimits> {
        self.state.retries.values().cloned().collect()
    }

    pub fn step_group(&mut self, step: &mut HostStep<'_>, input: GroupInput) {
        let mut outputs = Vec::new();
        self.group.step(step.now, input, &mut outputs);
        for output in outputs {
            self.on_group_output(step, output);
        }
    }

    pub fn on_group_message(&mut self, step: &mut HostStep<'_>, from: NodeId, message: GroupMessage) {
        self.step_group(step, GroupInput::Message { from, message });
        self.lead(step);
    }

    pub fn tick(&mut self, step: &mut HostStep<'_>) {
        self.step_group(step, GroupInput::Tick);
        self.lead(step);
    }

    fn on_group_output(&mut self, step: &mut HostStep<'_>, output: GroupOutput) {
        match output {
            GroupOutput::Send { to, message } => self.send_group(step, to, message),
            GroupOutput::Committed { index, term, command } => self.on_committed(step, index, term, &command),
            GroupOutput::Proposed { ticket, result } => self.on_proposed(step, ticket, result),
            GroupOutput::RoleChanged { role, .. } => self.on_role(step, role),
            GroupOutput::InstallSnapshot { index, bytes } => self.on_snapshot(step, index, &bytes),
            GroupOutput::NeedSnapshot { .. } => self.hand_in_snapshot(step),
            GroupOutput::Formed { claims_lost, epoch, .. } => self.on_formed(step, claims_lost, epoch),
            GroupOutput::VotersChanged { voters } => self.voters.on_changed(voters),
            GroupOutput::JoinRequested { node } => self.voters.on_join_requested(step.now, node),
            GroupOutput::Removed => self.forget(step),
            GroupOutput::LeaseGranted { .. } => {}
        }
    }

    fn send_group(&self, step: &mut HostStep<'_>, to: NodeId, message: GroupMessage) {
        let recipient = match to.incarnation.0 {
            0 => Recipient::Address(to.address),
            _ => Recipient::Run(to),
        };
        let frame = GroupFrame { service: self.service.clone(), site: self.site().clone(), message };
        step.outputs.push(ControlOutput::Send { to: recipient, payload: ControlPayload::Group(Box::new(frame)) });
    }

    /// Sends a message about the group of this service at `site`.
    fn send(&self, step: &mut HostStep<'_>, to: Recipient, site: &SiteName, body: GroupBody) {
        let message = ControlMessage::Group { service: self.service.clone(), site: site.clone(), body };
        step.outputs.push(ControlOutput::Send { to, payload: ControlPayload::Control(Box::new(message)) });
    }

    /// Answers a node in the name of this group.
    fn answer(&self, step: &mut HostStep<'_>, to: NodeId, body: GroupBody) {
        let site = self.site().clone();
        self.send(step, Recipient::Run(to), &site, body);
    }

    fn event(&self, step: &mut HostStep<'_>, event: ControlEvent) {
        step.outputs.push(ControlOutput::Event(event));
    }

    fn on_role(&mut self, step: &mut HostStep<'_>, role: Role) {
        let leads = role == Role::Leader;
        if leads == self.leading_since.is_some() {
            return;
        }
        self.leading_since = leads.then_some(step.now);
        if leads {
            self.gates.begin(step.now, &self.settings.timing, &self.state);
        } else {
            self.abandon_pending(step);
        }
        self.remote = RemoteSites::default();
        self.exports = Exports::default();
        self.imports = Imports::default();
        self.desk.clear();
        let event =
            ControlEvent::Leadership { service: self.service.clone(), site: self.site().clone(), leading: leads };
        self.event(step, event);
    }

    fn forget(&mut self, step: &mut HostStep<'_>) {
        self.abandon_pending(step);
        self.state = ServiceState::new(self.service.clone(), self.site().clone(), self.settings.mechanisms);
        self.agreed_service = None;
        self.committed_index = 0;
        self.lost_since = None;
        self.applied_at.clear();
    }

    /// Hands the table to this node, and as the leader to every gate.
    fn publish_table(&mut self, step: &mut HostStep<'_>) {
        if !self.state.is_founded() {
            return;
        }
        let table = Arc::new(self.state.table());
        let body = GroupBody::Table { table, retries: self.retries() };
        self.answer(step, self.me(), body.clone());
        if self.leading_since.is_none() {
            return;
        }
        let gates: Vec<NodeId> = self.state.gates.values().map(|gate| gate.node).collect();
        for gate in gates.into_iter().filter(|gate| *gate != self.me()) {
            self.answer(step, gate, body.clone());
        }
    }

    fn reply(&self, step: &mut HostStep<'_>, asker: Asker, reply: OperatorReply) {
        let body = GroupBody::Reply { number: asker.number, reply: Box::new(reply) };
        self.answer(step, asker.node, body);
    }

    /// Does what a leader has to do next, as far as it can be done at once.
    pub fn lead(&mut self, step: &mut HostStep<'_>) {
        if !self.leads(step.now) {
            return;
        }
        self.gates.adopt(step.now, &self.settings.timing, &self.state);
        self.send_due_messages(step);
        // A group of one agrees at once, so a duty that is never content must not keep the node in this loop.
        for _ in 0..MAXIMUM_COMMANDS_PER_STEP {
            if !self.propose_next(step) {
                break;
            }
        }
        self.change_voters_if_due(step);
    }

    /// Proposes the next command; says whether another one may be proposed in the same step.
    fn propose_next(&mut self, step: &mut HostStep<'_>) -> bool {
        if self.pending.is_some() || !self.leads(step.now) {
            return false;
        }
        let Some(command) = self.next_command(step).filter(|command| !self.was_just_rejected(step.now, command)) else {
            return false;
        };
        let refusals = self.proposals_refused;
        self.propose(step, command, Vec::new());
        // A group that hands its leadership on refuses proposals; asking again in the same step would never end.
        self.proposals_refused == refusals
    }

    fn send_due_messages(&mut self, step: &mut HostStep<'_>) {
        self.ask_other_sites_if_unfounded(step);
        self.send_exports(step);
        self.send_imports(step);
        self.send_for_plan(step);
        self.expire_requests(step);
    }

    /// The first command that a duty asks for, the most urgent duty first.
    fn next_command(&mut self, step: &HostStep<'_>) -> Option<Command> {
        if !self.state.is_founded() {
            return self.found_command(step);
        }
        self.gate_command(step)
            .or_else(|| self.voter_command())
            .or_else(|| self.import_command(step))
            .or_else(|| self.export_command())
            .or_else(|| self.plan_command(step))
            .or_else(|| self.housekeeping_command(step))
    }

    fn housekeeping_command(&self, step: &HostStep<'_>) -> Option<Command> {
        let service = step.configuration.services.get(&self.service)?;
        // Most revisions change other services. To agree on each of them would keep every group of a large fleet busy and
        // make every plan out of date.
        if step.configuration.revision > self.state.revision && self.agreed_service.as_ref() != Some(service) {
            return Some(Command::SetRevision(step.configuration.revision));
        }
        let retention = service.claim_retention;
        let lost_since = self.lost_since?;
        // Claims that were lost would have expired by now, so no key of theirs is protected any more.
        (self.state.claims_lost && step.now.since(lost_since) >= retention).then_some(Command::AcceptLoss)
    }
}

/// The addresses of the group of `service` at `site`, to be tried in turn.
pub(crate) fn nth_member(
    configuration: &Configuration,
    service: &ServiceName,
    site: &SiteName,
    attempt: usize,
) -> Option<NodeAddress> {
    let members = crate::electorate::electorate(configuration, service, site);
    let count = members.len().max(1);
    members.get(attempt % count).copied()
}
