//! The control part of one node: its configuration, its routing tables, the groups that it hosts and its local gate.

mod claim_transfers;
mod configuration;
mod forwarder;
mod gate;
mod pages;
mod readiness;
mod status;
mod tables;

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_group::GroupInput;
use quillhatch_types::{Configuration, NodeAddress, NodeId, Revision, ServiceName, SiteName, Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::electorate::electorate;
use crate::host::{HostStep, ServiceHost};
use crate::io::{
    ControlEvent, ControlInput, ControlOutput, ControlPayload, GroupFrame, Machine, MachineStatus, MemberChange,
    MemberStatus, PlatformReading, Recipient,
};
use crate::message::{ControlMessage, GroupBody};
use crate::settings::ControlSettings;

use claim_transfers::ClaimTransfers;
use configuration::ConfigurationStore;
use forwarder::RequestForwarder;
use gate::GateClient;
use readiness::Readiness;
use tables::TableStore;

/// The maximum number of messages to itself that a node handles in one step. The rest stays in the
/// outputs.
const MAX_LOCAL_MESSAGES: usize = 1_024;

/// The control part of one node, driven by [`ControlInput`]s.
pub struct ControlNode {
    settings: ControlSettings,
    random: Pcg64,
    configuration: ConfigurationStore,
    published: Option<Arc<Configuration>>,
    readiness: Readiness,
    tables: TableStore,
    hosts: BTreeMap<ServiceName, ServiceHost>,
    gate: Option<GateClient>,
    claim_transfers: ClaimTransfers,
    forwarder: RequestForwarder,
    machines: Arc<BTreeMap<NodeAddress, MachineStatus>>,
    members: BTreeMap<NodeAddress, MemberChange>,
    stopping: Option<Timestamp>,
    exit_announced: bool,
    last_tick: Timestamp,
}

impl ControlNode {
    /// Creates a node without configuration or tables. `seed` determines its random choice of peers and the timeouts of
    /// its groups.
    pub fn new(settings: ControlSettings, seed: u64) -> Self {
        Self {
            random: Pcg64::seed_from_u64(seed),
            configuration: ConfigurationStore::default(),
            published: None,
            readiness: Readiness::default(),
            tables: TableStore::default(),
            hosts: BTreeMap::new(),
            gate: None,
            claim_transfers: ClaimTransfers::default(),
            forwarder: RequestForwarder::default(),
            machines: Arc::default(),
            members: BTreeMap::new(),
            stopping: None,
            exit_announced: false,
            last_tick: Timestamp::ZERO,
            settings,
        }
    }

    /// Handles one input and appends the resulting actions to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: ControlInput, outputs: &mut Vec<ControlOutput>) {
        let first = outputs.len();
        self.dispatch(now, input, outputs);
        self.handle_local_messages(now, first, outputs);
    }

    /// The time by which the driver should call [`step`](Self::step) with [`ControlInput::Tick`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let own = self.last_tick + self.settings.timing.tick;
        let groups = self.hosts.values().filter_map(ServiceHost::next_wake);
        Some(groups.min().map_or(own, |group| group.min(own)))
    }

    /// The configuration revision in force, or zero if there is none; the driver puts it into every envelope.
    pub fn revision(&self) -> Revision {
        self.configuration.revision()
    }

    /// Whether the node may accept calls.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Handles the messages that the node sends to itself, such as a gate's heartbeat to a leader on the same node.
    fn handle_local_messages(&mut self, now: Timestamp, first: usize, outputs: &mut Vec<ControlOutput>) {
        let mut handled = 0;
        let mut position = first;
        while position < outputs.len() && handled < MAX_LOCAL_MESSAGES {
            let local = matches!(&outputs[position], ControlOutput::Send { to, .. } if self.is_local_node(*to));
            if !local {
                position += 1;
                continue;
            }
            if let ControlOutput::Send { payload, .. } = outputs.remove(position) {
                handled += 1;
                let input = self.local_input(payload);
                self.dispatch(now, input, outputs);
            }
        }
    }

    fn is_local_node(&self, recipient: Recipient) -> bool {
        match recipient {
            Recipient::Run(node) => node == self.settings.node,
            Recipient::Address(address) => address == self.settings.node.address,
        }
    }

    fn local_input(&self, payload: ControlPayload) -> ControlInput {
        let from = self.settings.node;
        match payload {
            ControlPayload::Control(message) => ControlInput::Message { from, message },
            ControlPayload::Group(frame) => ControlInput::Group { from, frame },
        }
    }

    fn dispatch(&mut self, now: Timestamp, input: ControlInput, outputs: &mut Vec<ControlOutput>) {
        match input {
            ControlInput::Message { from, message } => self.on_message(now, from, *message, outputs),
            ControlInput::Group { from, frame } => self.on_group(now, from, *frame, outputs),
            ControlInput::PeerRevision { from, revision } => self.on_peer_revision(now, from, revision, outputs),
            ControlInput::Platform(reading) => self.on_platform(now, reading, outputs),
            ControlInput::Operator { request, body } => self.on_operator(now, request, *body, outputs),
            ControlInput::Load(report) => self.with_gate(|gate| gate.load = report),
            ControlInput::SlotImported { service, slot, epoch } => {
                self.send_to_leader(&service, GroupBody::SlotImported { slot, epoch }, outputs);
            }
            ControlInput::SlotExported { service, slot, epoch, claims } => {
                self.on_slot_exported(&service, slot, epoch, &claims, outputs);
            }
            ControlInput::VotersSettled { epoch, .. } => self.with_gate(|gate| gate.report_settled(epoch)),
            ControlInput::Member(change) => self.on_member(change),
            ControlInput::FetchTable { service, site } => self.on_fetch_table(now, service, site, outputs),
            ControlInput::Stop { grace } => self.on_stop(now, grace, outputs),
            ControlInput::GateIdle => self.with_gate(|gate| gate.idle = true),
            ControlInput::Tick => self.on_tick(now, outputs),
        }
    }

    fn with_gate(&mut self, change: impl FnOnce(&mut GateClient)) {
        if let Some(gate) = &mut self.gate {
            change(gate);
        }
    }

    fn on_tick(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        self.last_tick = now;
        self.tick_hosts(now, outputs);
        self.tick_gate(now, outputs);
        self.query_peers_until_ready(now, outputs);
        self.gossip_if_due(now, outputs);
        self.request_due_tables(now, outputs);
        self.resend_requests(now, outputs);
        self.announce_exit(now, outputs);
    }

    fn tick_hosts(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        for host in self.hosts.values_mut() {
            host.tick(&mut HostStep { now, configuration: &configuration, outputs });
        }
        let own_address = self.settings.node.address;
        // A node that is no longer in the electorate hosts the group until the group has removed it.
        self.hosts.retain(|_, host| !host.is_outsider() || host.is_in_electorate(own_address));
    }

    /// Hosts the group of every service whose electorate contains this node.
    pub(crate) fn join_groups(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        // A stopping node must not rejoin a group: it would become a voter that leaves a moment later.
        if self.stopping.is_some() {
            return;
        }
        for service in configuration.services.keys() {
            let electorate = electorate(&configuration, service, &self.settings.site);
            if !electorate.contains(&self.settings.node.address) {
                if let Some(host) = self.hosts.get_mut(service) {
                    host.set_electorate(electorate);
                }
                continue;
            }
            let seed = self.random.gen();
            let settings = &self.settings;
            let new_host = || ServiceHost::new(settings, service.clone(), seed);
            let host = self.hosts.entry(service.clone()).or_insert_with(new_host);
            let floor = self.tables.floor(service, &self.settings.site);
            let requirements = host.requirements(&configuration, electorate, floor);
            host.set_machines(&self.machines);
            let mut step = HostStep { now, configuration: &configuration, outputs };
            host.step_group(&mut step, GroupInput::Form(requirements));
        }
    }

    fn on_group(&mut self, now: Timestamp, from: NodeId, frame: GroupFrame, outputs: &mut Vec<ControlOutput>) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        if frame.site != self.settings.site {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&frame.service) {
            let mut step = HostStep { now, configuration: &configuration, outputs };
            host.on_group_message(&mut step, from, frame.message);
        }
    }

    fn on_message(&mut self, now: Timestamp, from: NodeId, message: ControlMessage, outputs: &mut Vec<ControlOutput>) {
        match message {
            ControlMessage::AskConfiguration { revision } => self.on_ask_configuration(now, from, revision, outputs),
            ControlMessage::OfferConfiguration { revision, content, page, pages } => {
                self.on_offer_configuration(now, from, revision, (page, pages), content, outputs);
            }
            ControlMessage::Group { service, site, body } => {
                self.on_group_body(now, from, service, site, body, outputs);
            }
        }
    }

    fn on_group_body(
        &mut self,
        now: Timestamp,
        from: NodeId,
        service: ServiceName,
        site: SiteName,
        body: GroupBody,
        outputs: &mut Vec<ControlOutput>,
    ) {
        match &body {
            GroupBody::Table { table, retries } => self.on_table(table, retries, outputs),
            GroupBody::NotLeader { leader } => self.on_not_leader(now, &service, &site, *leader, outputs),
            GroupBody::Reply { number, reply } => self.on_reply(*number, reply, outputs),
            _ => {}
        }
        if site != self.settings.site {
            self.with_host(now, &service, outputs, |host, step| host.on_other_site(step, from, &site, body));
            return;
        }
        if let GroupBody::Table { table, .. } = &body {
            self.with_host(now, &service, outputs, |host, _| host.on_earlier_local_table(table));
        }
        match body {
            GroupBody::HeartbeatAnswer { sequence, lease, generation, epoch } => {
                self.on_heartbeat_answer(from, sequence, lease, (generation, epoch), outputs);
            }
            GroupBody::Export { slot, epoch } => self.on_export(from, &service, slot, epoch, outputs),
            GroupBody::Import(claims) => self.on_import(&service, claims, outputs),
            GroupBody::SettledKnown { epoch } => self.with_gate(|gate| gate.acknowledge_settled(epoch)),
            GroupBody::Table { .. } | GroupBody::NotLeader { .. } | GroupBody::Reply { .. } => {}
            request => self.on_group_request(now, from, service, request, outputs),
        }
    }

    fn on_group_request(
        &mut self,
        now: Timestamp,
        from: NodeId,
        service: ServiceName,
        body: GroupBody,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if self.hosts.contains_key(&service) {
            self.with_host(now, &service, outputs, |host, step| host.on_message(step, from, body));
            return;
        }
        // A node that is not a member can still answer with a table that it holds.
        if let GroupBody::AskTable { generation, epoch } = body {
            self.answer_table(from, &service, (generation, epoch), outputs);
        }
    }

    fn with_host(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        outputs: &mut Vec<ControlOutput>,
        act: impl FnOnce(&mut ServiceHost, &mut HostStep<'_>),
    ) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(service) {
            act(host, &mut HostStep { now, configuration: &configuration, outputs });
        }
    }

    fn on_member(&mut self, change: MemberChange) {
        if let Some(service) = &change.service {
            if let Some(host) = self.hosts.get_mut(service) {
                host.on_member(change.node, change.status);
            }
        }
        match change.status {
            MemberStatus::Alive | MemberStatus::Suspected => {
                self.members.insert(change.node.address, change);
            }
            MemberStatus::Failed | MemberStatus::Left => {
                let same = |known: &MemberChange| known.node == change.node;
                if self.members.get(&change.node.address).is_some_and(same) {
                    self.members.remove(&change.node.address);
                }
            }
        }
    }

    /// Whether `listed` equals the stored list of machines. Avoids rebuilding a large fleet's list at every reading.
    fn is_machine_list_unchanged(&self, listed: &[Machine]) -> bool {
        let known = |machine: &Machine| self.machines.get(&machine.address) == Some(&machine.status);
        listed.len() == self.machines.len() && listed.iter().all(known)
    }

    fn on_platform(&mut self, now: Timestamp, reading: PlatformReading, outputs: &mut Vec<ControlOutput>) {
        if !reading.machines.is_empty() && !self.is_machine_list_unchanged(&reading.machines) {
            let machines = reading.machines.iter().map(|machine| (machine.address, machine.status));
            self.machines = Arc::new(machines.collect());
            for host in self.hosts.values_mut() {
                host.set_machines(&self.machines);
            }
        }
        if let Some(configuration) = reading.configuration {
            self.accept_if_newer(now, configuration, outputs);
        }
        self.update_drain_from_platform(outputs);
    }

    fn send(&self, to: Recipient, message: ControlMessage, outputs: &mut Vec<ControlOutput>) {
        outputs.push(ControlOutput::Send { to, payload: ControlPayload::Control(Box::new(message)) });
    }

    fn send_about(
        &self,
        to: Recipient,
        service: &ServiceName,
        site: &SiteName,
        body: GroupBody,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let message = ControlMessage::Group { service: service.clone(), site: site.clone(), body };
        self.send(to, message, outputs);
    }

    fn event(&self, event: ControlEvent, outputs: &mut Vec<ControlOutput>) {
        outputs.push(ControlOutput::Event(event));
    }
}
