//! One member of a service's group: it runs the consensus protocol, applies committed commands and leads if elected.
//!
//! The submodules implement the leader's tasks. Each derives at most one command from the replicated state and the
//! time. Only one command is pending at a time, so every decision takes the outcome of the previous one into account.
//! All essential state is replicated, so a new leader can continue where the previous one stopped.

mod dispatch;
mod exports;
mod founding;
mod gates;
mod imports;
mod membership;
mod planning;
mod progress;
mod proposals;
mod remote_sites;
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

pub(crate) use dispatch::status_of;

use exports::Exports;
use founding::Founding;
use gates::GateMonitor;
use imports::Imports;
use proposals::Pending;
use remote_sites::RemoteSites;
use requests::RequestQueue;
use voters::VoterChanges;

/// The maximum number of commands that a leader proposes in one step; further ones wait for the next step.
const MAX_COMMANDS_PER_STEP: usize = 256;

/// The node that awaits the reply to an operator's request, and its number for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requester {
    pub node: NodeId,
    pub number: u64,
}

/// The context of one step of a host.
pub(crate) struct HostStep<'a> {
    pub now: Timestamp,
    pub configuration: &'a Arc<Configuration>,
    pub outputs: &'a mut Vec<ControlOutput>,
}

/// One member of a service's group.
pub(crate) struct ServiceHost {
    settings: ControlSettings,
    service: ServiceName,
    electorate: Vec<NodeAddress>,
    group: Group,
    state: ServiceState,
    last_ticket: u64,
    pending: Option<Pending>,
    rejected: Option<(Command, Timestamp)>,
    /// The number of proposals that the group refused.
    proposals_refused: u64,
    /// The service's configuration at the revision that the group committed last, if this node had that revision in
    /// force.
    committed_service: Option<ServiceConfiguration>,
    leading_since: Option<Timestamp>,
    lost_since: Option<Timestamp>,
    applied_at: BTreeMap<u64, Timestamp>,
    committed_index: u64,
    gates: GateMonitor,
    voters: VoterChanges,
    founding: Founding,
    remote: RemoteSites,
    exports: Exports,
    imports: Imports,
    requests: RequestQueue,
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
            last_ticket: 0,
            pending: None,
            rejected: None,
            proposals_refused: 0,
            committed_service: None,
            leading_since: None,
            lost_since: None,
            applied_at: BTreeMap::new(),
            committed_index: 0,
            gates: GateMonitor::default(),
            voters: VoterChanges::default(),
            founding: Founding::default(),
            remote: RemoteSites::default(),
            exports: Exports::default(),
            imports: Imports::default(),
            requests: RequestQueue::default(),
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

    /// Whether this node leads and has been in contact with a majority recently enough to answer for the group.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.leading_since.is_some() && self.group.readable_index(now).is_some()
    }

    fn site(&self) -> &SiteName {
        &self.settings.site
    }

    fn own_node(&self) -> NodeId {
        self.settings.node
    }

    /// The retry limits that plans have set at this site, one for each class that has them.
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
            GroupOutput::NeedSnapshot { .. } => self.provide_snapshot(step),
            GroupOutput::Formed { claims_lost, epoch, .. } => self.on_formed(step, claims_lost, epoch),
            GroupOutput::VotersChanged { voters } => self.voters.on_changed(voters),
            GroupOutput::JoinRequested { node } => self.voters.on_join_requested(step.now, node),
            GroupOutput::Removed => self.reset(step),
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

    /// Sends a message about this group to a node.
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
        self.requests.clear();
        let event =
            ControlEvent::Leadership { service: self.service.clone(), site: self.site().clone(), leading: leads };
        self.event(step, event);
    }

    fn reset(&mut self, step: &mut HostStep<'_>) {
        self.abandon_pending(step);
        self.state = ServiceState::new(self.service.clone(), self.site().clone(), self.settings.mechanisms);
        self.committed_service = None;
        self.committed_index = 0;
        self.lost_since = None;
        self.applied_at.clear();
    }

    /// Sends the table to this node and, if it leads, to every gate.
    fn publish_table(&mut self, step: &mut HostStep<'_>) {
        if !self.state.is_founded() {
            return;
        }
        let table = Arc::new(self.state.table());
        let body = GroupBody::Table { table, retries: self.retries() };
        self.answer(step, self.own_node(), body.clone());
        if self.leading_since.is_none() {
            return;
        }
        let gates: Vec<NodeId> = self.state.gates.values().map(|gate| gate.node).collect();
        for gate in gates.into_iter().filter(|gate| *gate != self.own_node()) {
            self.answer(step, gate, body.clone());
        }
    }

    fn reply(&self, step: &mut HostStep<'_>, requester: Requester, reply: OperatorReply) {
        let body = GroupBody::Reply { number: requester.number, reply: Box::new(reply) };
        self.answer(step, requester.node, body);
    }

    /// Sends the messages that are due and proposes the next commands, if this node leads.
    pub fn lead(&mut self, step: &mut HostStep<'_>) {
        if !self.leads(step.now) {
            return;
        }
        self.gates.observe_new_gates(step.now, &self.settings.timing, &self.state);
        self.send_due_messages(step);
        // A group of one commits at once, so a task that always has a further command must not keep the node in this
        // loop.
        for _ in 0..MAX_COMMANDS_PER_STEP {
            if !self.propose_next(step) {
                break;
            }
        }
        self.change_voters_if_due(step);
    }

    /// Proposes the next command. Returns whether another one may be proposed in the same step.
    fn propose_next(&mut self, step: &mut HostStep<'_>) -> bool {
        if self.pending.is_some() || !self.leads(step.now) {
            return false;
        }
        let Some(command) = self.next_command(step).filter(|command| !self.was_just_rejected(step.now, command)) else {
            return false;
        };
        let refusals = self.proposals_refused;
        self.propose(step, command, Vec::new());
        // A group refuses proposals during a leadership transfer, so retries in the same step would never end.
        self.proposals_refused == refusals
    }

    fn send_due_messages(&mut self, step: &mut HostStep<'_>) {
        self.query_other_sites_if_unfounded(step);
        self.send_exports(step);
        self.send_imports(step);
        self.send_for_plan(step);
        self.expire_requests(step);
    }

    /// The next command, from the most urgent task that has one.
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
        // Most revisions change other services. Committing each of them would keep every group of a large fleet busy
        // and invalidate the basis of every plan.
        if step.configuration.revision > self.state.revision && self.committed_service.as_ref() != Some(service) {
            return Some(Command::SetRevision(step.configuration.revision));
        }
        let retention = service.claim_retention;
        let lost_since = self.lost_since?;
        // The lost claims would have expired by now, so their keys would no longer be protected anyway.
        (self.state.claims_lost && step.now.since(lost_since) >= retention).then_some(Command::AcceptLoss)
    }
}

/// The address of the member of `service`'s group at `site` to try at `attempt`; successive attempts cycle through the
/// members.
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
