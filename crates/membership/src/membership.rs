//! The state machine of failure detection and membership.

mod receive;
mod schedule;

use std::collections::BTreeSet;

use quillhatch_types::{NodeAddress, NodeId, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
use crate::message::{MembershipMessage, MessageBody, ZoneRecord};
use crate::probe::Probes;
use crate::rumor::RumorQueue;
use crate::settings::MembershipSettings;
use crate::table::MemberTable;
use crate::zones::ZoneViews;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipInput {
    /// A message arrived.
    Message(Box<MembershipMessage>),
    /// Addresses at which members may be found: from the settings, or from the platform's list, which may be outdated.
    Seeds(Vec<NodeAddress>),
    /// This node leaves the fleet and does not return under this incarnation.
    Leave,
    /// A timer may be due.
    Tick,
}

/// A change of a member's status in this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub member: MemberInfo,
    /// Its new status. `Failed` is also reported when its whole zone becomes unreachable.
    pub status: MemberStatus,
}

/// An output of the state machine, for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: NodeAddress,
        /// The message.
        message: Box<MembershipMessage>,
    },
    /// A member's status changed.
    Changed(MemberChange),
}

/// Failure detection and membership of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberRecord,
    settings: MembershipSettings,
    generator: Pcg64,
    table: MemberTable,
    member_rumors: RumorQueue<NodeId, MemberRecord>,
    zone_rumors: RumorQueue<(NodeId, ZoneId), ZoneRecord>,
    zones: ZoneViews,
    probes: Probes,
    /// Members that this node suspects because its own probe timed out. It decides whether they failed.
    suspected_here: BTreeSet<NodeId>,
    /// The delegates of the local zone. Cached, because every check of another zone's reachability needs them.
    local_delegates: Vec<NodeId>,
    probe_order: Vec<NodeId>,
    remote_site_zone_order: Vec<ZoneId>,
    seeds: Vec<NodeAddress>,
    next_probe: Timestamp,
    next_sync: Timestamp,
    last_step: Option<Timestamp>,
}

impl Membership {
    /// Creates the membership of the node `own`. `seed` seeds its random generator.
    pub fn new(own: MemberInfo, settings: MembershipSettings, seed: u64) -> Self {
        let local_delegates = vec![own.node];
        Membership {
            local_delegates,
            own: MemberRecord { info: own, refutation: 0, status: MemberStatus::Alive },
            settings,
            generator: Pcg64::seed_from_u64(seed),
            table: MemberTable::default(),
            member_rumors: RumorQueue::new(),
            zone_rumors: RumorQueue::new(),
            zones: ZoneViews::default(),
            probes: Probes::default(),
            suspected_here: BTreeSet::new(),
            probe_order: Vec::new(),
            remote_site_zone_order: Vec::new(),
            seeds: Vec::new(),
            next_probe: Timestamp::ZERO,
            next_sync: Timestamp::ZERO,
            last_step: None,
        }
    }

    /// Handles one input and appends the resulting outputs to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: MembershipInput, outputs: &mut Vec<MembershipOutput>) {
        self.handle_local_pause(now);
        match input {
            MembershipInput::Message(message) => self.receive(now, *message, outputs),
            MembershipInput::Seeds(seeds) => self.set_seeds(seeds),
            MembershipInput::Leave => self.leave(outputs),
            MembershipInput::Tick => {}
        }
        if self.own.status != MemberStatus::Left {
            self.run_timers(now, outputs);
        }
    }

    /// When the next timer is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        // A node that left has no timers. A timer in the past would make the driver step it endlessly.
        if self.own.status == MemberStatus::Left {
            return None;
        }
        let expiry = self.table.expiring().map(|member| member.since + self.status_timeout(&member.record)).min();
        let timers = [Some(self.next_probe), self.probes.next_deadline(), expiry];
        timers.into_iter().flatten().min()
    }

    /// This node's own member information.
    pub fn own(&self) -> &MemberInfo {
        &self.own.info
    }

    /// The number of members in the table, including failed ones and those that left, without this node.
    pub fn member_count(&self) -> usize {
        self.table.len()
    }

    /// The alive and suspected members in reachable zones, without this node.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberInfo> {
        let zones = self.table.zones().filter(|zone| self.is_zone_reachable(zone));
        zones.flat_map(|zone| self.table.present_in_zone(zone))
    }

    /// Selects the delegates of the local zone: its first present members in the order of their incarnation numbers.
    ///
    /// Incarnations are random, so the order is too, and all nodes with the same members select the same delegates.
    fn select_delegates(&self) -> Vec<NodeId> {
        let others = self.table.present_in_zone(&self.own.info.zone).map(|info| info.node);
        let mut nodes: Vec<NodeId> = others.chain([self.own.info.node]).collect();
        nodes.sort_by_key(|node| (node.incarnation, node.address));
        nodes.truncate(self.settings.delegates_per_zone);
        nodes
    }

    /// Stores a record and updates the delegates if a member of the local zone appeared or went away.
    fn set_member(&mut self, now: Timestamp, record: MemberRecord) {
        let was_present = self.table.get(&record.info.node).is_some_and(|known| known.record.status.is_present());
        let changes_delegates = record.info.zone == self.own.info.zone && was_present != record.status.is_present();
        self.table.set(record, now);
        if changes_delegates {
            self.local_delegates = self.select_delegates();
        }
    }

    fn is_zone_reachable(&self, zone: &ZoneId) -> bool {
        *zone == self.own.info.zone || self.zones.is_reachable(zone, &self.local_delegates)
    }

    fn set_seeds(&mut self, seeds: Vec<NodeAddress>) {
        let own = self.own.info.node.address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.seeds.sort();
        self.seeds.dedup();
    }

    fn leave(&mut self, outputs: &mut Vec<MembershipOutput>) {
        self.own.status = MemberStatus::Left;
        let delegates = self.local_delegates.clone();
        let neighbours: Vec<NodeAddress> = self
            .table
            .present_in_zone(&self.own.info.zone)
            .map(|info| info.node.address)
            .take(self.settings.indirect_probes)
            .chain(delegates.into_iter().map(|delegate| delegate.address))
            .collect();
        for neighbour in neighbours {
            self.send(neighbour, 0, MessageBody::SyncAnswer, outputs);
        }
    }

    fn send(&mut self, to: NodeAddress, sequence: u64, body: MessageBody, outputs: &mut Vec<MembershipOutput>) {
        let members = self.member_rumors.take(self.settings.records_per_message, self.table.len());
        let zones = self.zone_rumors.take(self.settings.records_per_message, self.table.len());
        let sender = self.own.clone();
        let message = Box::new(MembershipMessage { sequence, sender, body, members, zones });
        outputs.push(MembershipOutput::Send { to, message });
    }

    /// Stores a record that is newer than the known one, gossips it, and reports a change of status.
    fn merge_member(&mut self, now: Timestamp, record: MemberRecord, outputs: &mut Vec<MembershipOutput>) {
        let node = record.info.node;
        if node == self.own.info.node {
            self.refute(&record);
            return;
        }
        let known = self.table.get(&node).map(|member| member.record.clone());
        match &known {
            Some(known) if !record.supersedes(known) => return,
            None if !record.status.is_present() && record.status != MemberStatus::Failed => return,
            None if self.table.len() >= self.settings.max_members => return,
            _ => {}
        }
        if record.status != MemberStatus::Suspected {
            self.suspected_here.remove(&node);
        }
        self.set_member(now, record.clone());
        self.member_rumors.push(node, record.clone());
        let before = known.as_ref().map(|known| known.status);
        if before != Some(record.status) && self.is_zone_reachable(&record.info.zone) {
            let change = MemberChange { member: record.info, status: record.status };
            outputs.push(MembershipOutput::Changed(change));
        }
    }

    /// Refutes a record that reports this node as suspected, failed or left.
    fn refute(&mut self, report: &MemberRecord) {
        let must_refute = report.status != MemberStatus::Alive && report.refutation >= self.own.refutation;
        if !must_refute || !self.settings.mechanisms.refutation || self.own.status == MemberStatus::Left {
            return;
        }
        self.own.refutation = report.refutation + 1;
        self.member_rumors.push(self.own.info.node, self.own.clone());
    }

    /// Stores a delegate's view of a zone. If that changes whether the zone is reachable, reports its members as failed or
    /// alive.
    fn merge_zone_view(&mut self, record: ZoneRecord, outputs: &mut Vec<MembershipOutput>) {
        let zone = record.zone.clone();
        let local_zone = self.own.info.zone.clone();
        let from_local_delegate = self.local_delegates.contains(&record.observer);
        if zone == local_zone || !from_local_delegate {
            return;
        }
        let before = self.is_zone_reachable(&zone);
        if !self.zones.accept(record.clone()) {
            return;
        }
        self.zone_rumors.push((record.observer, zone.clone()), record);
        self.report_zone_change(&zone, before, outputs);
    }

    fn report_zone_change(&self, zone: &ZoneId, before: bool, outputs: &mut Vec<MembershipOutput>) {
        let reachable = self.is_zone_reachable(zone);
        if reachable == before {
            return;
        }
        for member in self.table.present_in_zone(zone) {
            let status = if reachable { MemberStatus::Alive } else { MemberStatus::Failed };
            outputs.push(MembershipOutput::Changed(MemberChange { member: member.clone(), status }));
        }
    }
}
