//! Controls the local gate: heartbeats to the leader, the lease, opening and closing, and the planned stop.

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

/// The maximum number of unanswered heartbeats whose send time is retained.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// The number of unanswered heartbeats after which the gate tries another member.
const ATTEMPTS_PER_MEMBER: u32 = 2;

#[derive(Clone, Debug)]
pub(crate) struct GateClient {
    pub service: ServiceName,
    connections: u32,
    pub load: LoadReport,
    pub idle: bool,
    draining: bool,
    open: Option<bool>,
    was_listed: bool,
    leader: Option<NodeId>,
    attempt: usize,
    unanswered: u32,
    sequence: u64,
    sent: BTreeMap<u64, Timestamp>,
    next_heartbeat: Timestamp,
    leased_until: Option<Timestamp>,
    unacknowledged_epoch: Option<Epoch>,
}

impl GateClient {
    fn new(service: ServiceName, connections: u32) -> Self {
        Self {
            service,
            connections,
            load: LoadReport::default(),
            idle: false,
            draining: false,
            open: None,
            was_listed: false,
            leader: None,
            attempt: 0,
            unanswered: 0,
            sequence: 0,
            sent: BTreeMap::new(),
            next_heartbeat: Timestamp::ZERO,
            leased_until: None,
            unacknowledged_epoch: None,
        }
    }

    pub fn report_settled(&mut self, epoch: Epoch) {
        self.unacknowledged_epoch = Some(epoch);
    }

    pub fn acknowledge_settled(&mut self, epoch: Epoch) {
        if self.unacknowledged_epoch.is_some_and(|settled| settled <= epoch) {
            self.unacknowledged_epoch = None;
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
    /// Creates or updates the gate for the service that has a target at this node's address.
    pub(crate) fn configure_gate(&mut self) {
        let Some(configuration) = self.configuration.current() else {
            return;
        };
        let own_address = self.settings.node.address;
        let own = configuration.services.values().find_map(|service| {
            let mut targets = service.targets_at(&self.settings.site);
            let target = targets.find(|target| target.node == own_address)?;
            Some((service.name.clone(), target.connections))
        });
        let Some((service, connections)) = own else {
            // The node is no longer a target: its gate drains under the last known service until the table omits it.
            self.with_gate(|gate| gate.draining = true);
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
        if gate.sent.len() > MAX_PENDING_HEARTBEATS {
            gate.sent.pop_first();
        }
        gate.unanswered += 1;
        if gate.unanswered > ATTEMPTS_PER_MEMBER {
            gate.unanswered = 0;
            gate.leader = None;
            gate.attempt += 1;
        }
        let heartbeat = Heartbeat {
            sequence: gate.sequence,
            zone,
            connections: gate.connections,
            leaving: gate.draining,
            idle: gate.idle && gate.open == Some(false),
            load: std::mem::take(&mut gate.load),
        };
        gate.load = LoadReport { protected_refusals: 0, ..heartbeat.load };
        let (service, unacknowledged_epoch) = (gate.service.clone(), gate.unacknowledged_epoch);
        self.send_to_leader(&service, GroupBody::Heartbeat(heartbeat), outputs);
        if let Some(epoch) = unacknowledged_epoch {
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
        let gate_leader = gate.and_then(|gate| gate.leader);
        if let Some(leader) = hosted.or(gate_leader) {
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
        // The lease starts when the heartbeat was sent, so a delayed answer cannot extend it.
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
            let request = GroupBody::AskTable { generation, epoch };
            self.send_about(Recipient::Run(from), &service, &site, request, outputs);
        }
    }

    pub(crate) fn on_gate_not_leader(&mut self, service: &ServiceName, leader: Option<NodeId>) {
        if let Some(gate) = self.gate.as_mut().filter(|gate| gate.service == *service) {
            gate.attempt += usize::from(leader.is_none());
            gate.leader = leader;
            gate.unanswered = 0;
        }
    }

    /// Opens or closes the local gate according to its status in the routing table.
    pub(crate) fn update_gate_from_table(&mut self, table: &ServiceTable, outputs: &mut Vec<ControlOutput>) {
        let own_node = self.settings.node;
        let closes = self.settings.mechanisms.drain_closes_gate;
        let ready = self.readiness.is_ready();
        let Some(gate) = self.gate.as_mut().filter(|gate| gate.service == table.service) else {
            return;
        };
        let entry = table.gates.iter().find(|entry| entry.node == own_node);
        let listed_before = std::mem::replace(&mut gate.was_listed, entry.is_some());
        match entry.map(|entry| entry.status) {
            Some(GateStatus::Serving) if ready && !gate.draining => gate.reopen(outputs),
            Some(GateStatus::Draining) if closes => gate.close(RefusalReason::Draining, outputs),
            None if listed_before && closes => gate.close(RefusalReason::Draining, outputs),
            _ => {}
        }
    }

    /// Starts draining the gate if the platform lists this machine as leaving, and stops draining it if the machine is
    /// live again.
    pub(crate) fn update_drain_from_platform(&mut self, outputs: &mut Vec<ControlOutput>) {
        let listed = self.machines.get(&self.settings.node.address).copied();
        let stopping = self.stopping.is_some();
        let closes = self.settings.mechanisms.drain_closes_gate;
        let Some(gate) = &mut self.gate else {
            return;
        };
        match listed {
            Some(MachineStatus::Leaving) => {
                gate.draining = true;
                if closes {
                    gate.close(RefusalReason::Draining, outputs);
                }
            }
            Some(MachineStatus::Live) if !stopping => gate.draining = false,
            _ => {}
        }
        self.update_gate_from_known_table(outputs);
    }

    /// Applies the last known table again after readiness or the gate's drain state may have changed.
    pub(crate) fn update_gate_from_known_table(&mut self, outputs: &mut Vec<ControlOutput>) {
        let service = self.gate.as_ref().map(|gate| gate.service.clone());
        let table = service.and_then(|service| self.tables.get(&service, &self.settings.site).cloned());
        if let Some(table) = table {
            self.update_gate_from_table(&table, outputs);
        }
    }

    pub(crate) fn on_stop(&mut self, now: Timestamp, grace: Duration, outputs: &mut Vec<ControlOutput>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now + grace);
        if let Some(gate) = &mut self.gate {
            gate.draining = true;
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

    /// After a stop, reports [`ControlOutput::ReadyToExit`] once no call runs, no slot is owned and no group needs this
    /// node's vote, or once the grace period has passed.
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

    /// Whether this node is still a voter of a group whose electorate no longer contains it.
    ///
    /// If several nodes were replaced one after another and exited before their replacements had become voters, the
    /// group would lose its majority. A node that restarts at the same address remains in the electorate, so its exit
    /// isn't delayed.
    fn is_vote_needed(&self) -> bool {
        let Some(configuration) = self.configuration.current() else {
            return false;
        };
        let own_address = self.settings.node.address;
        let continues_without_node = |service: &ServiceName| {
            let wanted = electorate(configuration, service, &self.settings.site);
            !wanted.is_empty() && !wanted.contains(&own_address)
        };
        self.hosts.iter().any(|(service, host)| host.is_voter() && continues_without_node(service))
    }

    fn owns_slots(&self, service: &ServiceName) -> bool {
        let owned = quillhatch_types::SlotState::Owned { owner: self.settings.node };
        let table = self.tables.get(service, &self.settings.site);
        table.is_some_and(|table| table.slots.iter().any(|assignment| assignment.state == owned))
    }
}
