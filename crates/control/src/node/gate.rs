//! The control side of this node's own gate: heartbeats, lease, opening and closing, and the planned stop.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{
    Epoch, GateStatus, Generation, NodeId, RefusalReason, ServiceName, ServiceTable, SiteName, Timestamp,
};

use crate::electorate::electorate;
use crate::host::nth_member;
use crate::io::{ControlOutput, LoadReport, MachineStatus, Recipient};
use crate::message::{GroupBody, Heartbeat};
use crate::node::ControlNode;

/// Heartbeats whose sending time is remembered for their answers.
const MAXIMUM_SENT: usize = 16;

/// Unanswered heartbeats after which another member is tried.
const TRIES_PER_MEMBER: u32 = 2;

#[derive(Clone, Debug)]
pub(crate) struct GateClient {
    pub service: ServiceName,
    connections: u32,
    pub load: LoadReport,
    pub idle: bool,
    leaving: bool,
    open: Option<bool>,
    was_listed: bool,
    leader: Option<NodeId>,
    attempt: usize,
    unanswered: u32,
    sequence: u64,
    sent: BTreeMap<u64, Timestamp>,
    next_heartbeat: Timestamp,
    leased_until: Option<Timestamp>,
    unsettled: Option<Epoch>,
}

impl GateClient {
    fn new(service: ServiceName, connections: u32) -> Self {
        Self {
            service,
            connections,
            load: LoadReport::default(),
            idle: false,
            leaving: false,
            open: None,
            was_listed: false,
            leader: None,
            attempt: 0,
            unanswered: 0,
            sequence: 0,
            sent: BTreeMap::new(),
            next_heartbeat: Timestamp::ZERO,
            leased_until: None,
            unsettled: None,
        }
    }

    pub fn settled(&mut self, epoch: Epoch) {
        self.unsettled = Some(epoch);
    }

    pub fn settled_known(&mut self, epoch: Epoch) {
        if self.unsettled.is_some_and(|unsettled| unsettled <= epoch) {
            self.unsettled = None;
        }
    }

    fn close(&mut self, reason: RefusalReason, outputs: &mut Vec<ControlOutput>) {
        if self.open != Some(false) {
            self.open = Some(false);
            outputs.push(ControlOutput::CloseGate { reason });
        }
    }

    fn reopen(&mut self, outputs: &mut Vec<ControlOutput>) {
        if self.open != Some(true) {
            self.open = Some(true);
            self.idle = false;
            outputs.push(ControlOutput::OpenGate);
        }
    }
}

impl ControlNode {
    /// Finds the service whose target this node stands before.
    pub(crate) fn set_up_gate(&mut self) {
        let Some(configuration) = self.configuration.current() else {
            return;
        };
        let me = self.settings.node.address;
        let own = configuration.services.values().find_map(|service| {
            let mut targets = service.targets_at(&self.settings.site);
            let target = targets.find(|target| target.node == me)?;
            Some((service.name.clone(), target.connections))
        });
        let Some((service, connections)) = own else {
            // Not a target any more: it drains under the last known service and then simply is not listed.
            self.with_gate(|gate| gate.leaving = true);
            return;
        };
        match &mut self.gate {
            Some(gate) if gate.service == service => gate.connections = connections,
            _ => self.gate = Some(GateClient::new(service, connections)),
        }
    }

    pub(crate) fn tick_gate(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        if !self.readiness.is_ready() {
            return;
        }
        let heartbeat_interval = self.settings.timing.gate_heartbeat;
        let zone = self.settings.zone.clone();
        let Some(gate) = self.gate.as_mut().filter(|gate| now >= gate.next_heartbeat) else {
            return;
        };
        gate.next_heartbeat = now + heartbeat_interval;
        gate.sequence += 1;
        gate.sent.insert(gate.sequence, now);
        if gate.sent.len() > MAXIMUM_SENT {
            gate.sent.pop_first();
        }
        gate.unanswered += 1;
        if gate.unanswered > TRIES_PER_MEMBER {
            gate.unanswered = 0;
            gate.leader = None;
            gate.attempt += 1;
        }
        let heartbeat = Heartbeat {
            sequence: gate.sequence,
            zone,
            connections: gate.connections,
            leaving: gate.leaving,
            idle: gate.idle && gate.open == Some(false),
            load: std::mem::take(&mut gate.load),
        };
        gate.load = LoadReport { protected_refusals: 0, ..heartbeat.load };
        let (service, unsettled) = (gate.service.clone(), gate.unsettled);
        self.send_to_leader(&service, GroupBody::Heartbeat(heartbeat), outputs);
        if let Some(epoch) = unsettled {
            self.send_to_leader(&service, GroupBody::VotersSettled { epoch }, outputs);
        }
    }

    /// Sends to the leader of the local group of `service`, or to a member that may know it.
    pub(crate) fn send_to_leader(&self, service: &ServiceName, body: GroupBody, outputs: &mut Vec<ControlOutput>) {
        if let Some(recipient) = self.leader_of(service) {
            let site: &SiteName = &self.settings.site;
            self.send_about(recipient, service, site, body, outputs);
        }
    }

    fn leader_of(&self, service: &ServiceName) -> Option<Recipient> {
        let hosted = self.hosts.get(service).and_then(|host| host.leader_hint());
        let gate = self.gate.as_ref().filter(|gate| gate.service == *service);
        let heard = gate.and_then(|gate| gate.leader);
        if let Some(leader) = hosted.or(heard) {
            return Some(Recipient::Run(leader));
        }
        let configuration = self.configuration.current()?;
        let attempt = gate.map_or(0, |gate| gate.attempt);
        nth_member(configuration, service, &self.settings.site, attempt).map(Recipient::Address)
    }

    pub(crate) fn on_heartbeat_answer(
        &mut self,
        from: NodeId,
        sequence: u64,
        lease: Duration,
        newest: (Generation, Epoch),
        outputs: &mut Vec<ControlOutput>,
    ) {
        let Some(gate) = &mut self.gate else {
            return;
        };
        gate.leader = Some(from);
        gate.unanswered = 0;
        let service = gate.service.clone();
        // The lease counts from the sending of the question, so a late answer cannot stretch it.
        if let Some(sent) = gate.sent.remove(&sequence).filter(|_| !lease.is_zero()) {
            let until = sent + lease;
            if gate.leased_until.is_none_or(|known| until > known) {
                gate.leased_until = Some(until);
                outputs.push(ControlOutput::Lease { service: service.clone(), until });
            }
        }
        let known = self.tables.floor(&service, &self.settings.site);
        if newest > known {
            let (generation, epoch) = known;
            let site = self.settings.site.clone();
            let ask = GroupBody::AskTable { generation, epoch };
            self.send_about(Recipient::Run(from), &service, &site, ask, outputs);
        }
    }

    pub(crate) fn on_gate_not_leader(&mut self, service: &ServiceName, leader: Option<NodeId>) {
        if let Some(gate) = self.gate.as_mut().filter(|gate| gate.service == *service) {
            gate.attempt += usize::from(leader.is_none());
            gate.leader = leader;
            gate.unanswered = 0;
        }
    }

    /// Opens or closes the own gate as the agreed table says.
    pub(crate) fn heed_table(&mut self, table: &ServiceTable, outputs: &mut Vec<ControlOutput>) {
        let me = self.settings.node;
        let closes = self.settings.mechanisms.drain_closes_gate;
        let ready = self.readiness.is_ready();
        let Some(gate) = self.gate.as_mut().filter(|gate| gate.service == table.service) else {
            return;
        };
        let entry = table.gates.iter().find(|entry| entry.node == me);
        let listed_before = std::mem::replace(&mut gate.was_listed, entry.is_some());
        match entry.map(|entry| entry.status) {
            Some(GateStatus::Serving) if ready && !gate.leaving => gate.reopen(outputs),
            Some(GateStatus::Draining) if closes => gate.close(RefusalReason::Draining, outputs),
            None if listed_before && closes => gate.close(RefusalReason::Draining, outputs),
            _ => {}
        }
    }

    /// The platform lists this machine as leaving, or as live again.
    pub(crate) fn leave_if_listed(&mut self, outputs: &mut Vec<ControlOutput>) {
        let listed = self.machines.get(&self.settings.node.address).copied();
        let stopping = self.stopping.is_some();
        let closes = self.settings.mechanisms.drain_closes_gate;
        let Some(gate) = &mut self.gate else {
            return;
        };
        match listed {
            Some(MachineStatus::Leaving) => {
                gate.leaving = true;
                if closes {
                    gate.close(RefusalReason::Draining, outputs);
                }
            }
            Some(MachineStatus::Live) if !stopping => gate.leaving = false,
            _ => {}
        }
        self.heed_known_table(outputs);
    }

    /// The last table counts again when the gate's own wish has changed.
    pub(crate) fn heed_known_table(&mut self, outputs: &mut Vec<ControlOutput>) {
        let service = self.gate.as_ref().map(|gate| gate.service.clone());
        let table = service.and_then(|service| self.tables.get(&service, &self.settings.site).cloned());
        if let Some(table) = table {
            self.heed_table(&table, outputs);
        }
    }

    pub(crate) fn on_stop(&mut self, now: Timestamp, grace: Duration, outputs: &mut Vec<ControlOutput>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now + grace);
        if let Some(gate) = &mut self.gate {
            gate.leaving = true;
            gate.next_heartbeat = now;
            gate.close(RefusalReason::Stopping, outputs);
        }
        self.stop_groups(now, outputs);
        self.tick_gate(now, outputs);
        self.announce_exit(now, outputs);
    }

    fn stop_groups(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let services: Vec<ServiceName> = self.hosts.keys().cloned().collect();
        for service in services {
            self.with_host(now, &service, outputs, |host, step| {
                host.step_group(step, quillhatch_group::GroupInput::Stop);
            });
        }
    }

    /// After a stop: leaves when nothing runs, no slot is owned and no group needs its vote, or when the grace is over.
    pub(crate) fn announce_exit(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let Some(deadline) = self.stopping.filter(|_| !self.exit_announced) else {
            return;
        };
        let drained = self.gate.as_ref().is_none_or(|gate| gate.idle && !self.owns_slots(&gate.service));
        let finished = drained && !self.is_vote_needed();
        if finished || now >= deadline {
            self.exit_announced = true;
            outputs.push(ControlOutput::ReadyToExit);
        }
    }

    /// Whether a group that goes on without this node still counts it as a voter.
    ///
    /// If several nodes were replaced one after the other and left before others had taken their places, the group would
    /// lose its majority. A node that will come back at the same address keeps its place and is not waited for.
    fn is_vote_needed(&self) -> bool {
        let Some(configuration) = self.configuration.current() else {
            return false;
        };
        let me = self.settings.node.address;
        let goes_on_without_me = |service: &ServiceName| {
            let wanted = electorate(configuration, service, &self.settings.site);
            !wanted.is_empty() && !wanted.contains(&me)
        };
        self.hosts.iter().any(|(service, host)| host.is_voter() && goes_on_without_me(service))
    }

    fn owns_slots(&self, service: &ServiceName) -> bool {
        let owned = quillhatch_types::SlotState::Owned { owner: self.settings.node };
        let table = self.tables.get(service, &self.settings.site);
        table.is_some_and(|table| table.slots.iter().any(|assignment| assignment.state == owned))
    }
}
