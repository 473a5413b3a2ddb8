//! The state machine of failure detection.

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

/// What can happen to the membership of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipInput {
    /// A message arrived.
    Message(Box<MembershipMessage>),
    /// Addresses at which members may be found: from the settings, or the platform's lagging list.
    Seeds(Vec<NodeAddress>),
    /// This node leaves for good.
    Leave,
    /// Time has passed.
    Tick,
}

/// A member whose presence changed, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub member: MemberInfo,
    /// Its status; `Failed` also while its whole zone cannot be reached.
    pub status: MemberStatus,
}

/// What the membership of a node wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// Send a message.
    Send {
        /// Where to.
        to: NodeAddress,
        /// The message.
        message: Box<MembershipMessage>,
    },
    /// A member's presence changed.
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
    /// The members that this node itself accused; it decides on their failure.
    accused: BTreeSet<NodeId>,
    /// The delegates of this node's own zone; kept, since every view of another zone rests on them.
    own_delegates: Vec<NodeId>,
    probe_order: Vec<NodeId>,
    foreign_zone_order: Vec<ZoneId>,
    seeds: Vec<NodeAddress>,
    next_probe: Timestamp,
    next_sync: Timestamp,
    last_step: Option<Timestamp>,
}

impl Membership {
    /// The membership of the node `own`.
    pub fn new(own: MemberInfo, settings: MembershipSettings, seed: u64) -> Self {
        let own_delegates = vec![own.node];
        Membership {
            own_delegates,
            own: MemberRecord { info: own, refutation: 0, status: MemberStatus::Alive },
            settings,
            generator: Pcg64::seed_from_u64(seed),
            table: MemberTable::default(),
            member_rumors: RumorQueue::new(),
            zone_rumors: RumorQueue::new(),
            zones: ZoneViews::default(),
            probes: Probes::default(),
            accused: BTreeSet::new(),
            probe_order: Vec::new(),
            foreign_zone_order: Vec::new(),
            seeds: Vec::new(),
            next_probe: Timestamp::ZERO,
            next_sync: Timestamp::ZERO,
            last_step: None,
        }
    }

    /// Takes one input and appends what is to be done to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: MembershipInput, outputs: &mut Vec<MembershipOutput>) {
        self.guard_against_own_pause(now);
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

    /// When the next timer runs out.
    pub fn next_wake(&self) -> Option<Timestamp> {
        // A node that left does nothing more; a timer in its past would keep the driver stepping it for ever.
        if self.own.status == MemberStatus::Left {
            return None;
        }
        let expiry = self.table.ageing().map(|member| member.since + self.age_limit(&member.record)).min();
        let timers = [Some(self.next_probe), self.probes.next_deadline(), expiry];
        timers.into_iter().flatten().min()
    }

    /// This node as it presents itself.
    pub fn own(&self) -> &MemberInfo {
        &self.own.info
    }

    /// The number of members held, failed ones included, without this node.
    pub fn member_count(&self) -> usize {
        self.table.len()
    }

    /// The members that can be reached, without this node.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberInfo> {
        let zones = self.table.zones().filter(|zone| self.is_zone_reachable(zone));
        zones.flat_map(|zone| self.table.present_in_zone(zone))
    }

    /// The delegates of this node's zone: its first present members in the order of their runs' numbers.
    ///
    /// The order is random between nodes and the same for all that know the same members.
    fn find_delegates(&self) -> Vec<NodeId> {
        let others = self.table.present_in_zone(&self.own.info.zone).map(|info| info.node);
        let mut nodes: Vec<NodeId> = others.chain([self.own.info.node]).collect();
        nodes.sort_by_key(|node| (node.incarnation, node.address));
        nodes.truncate(self.settings.delegates_per_zone);
        nodes
    }

    /// Stores a record, or forgets a member, and keeps the delegates in step.
    fn set_member(&mut self, now: Timestamp, record: MemberRecord) {
        let was_present = self.table.get(&record.info.node).is_some_and(|known| known.record.status.is_present());
        let changes_delegates = record.info.zone == self.own.info.zone && was_present != record.status.is_present();
        self.table.set(record, now);
        if changes_delegates {
            self.own_delegates = self.find_delegates();
        }
    }

    fn is_zone_reachable(&self, zone: &ZoneId) -> bool {
        *zone == self.own.info.zone || self.zones.is_reachable(zone, &self.own_delegates)
    }

    fn set_seeds(&mut self, seeds: Vec<NodeAddress>) {
        let own = self.own.info.node.address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.seeds.sort();
        self.seeds.dedup();
    }

    fn leave(&mut self, outputs: &mut Vec<MembershipOutput>) {
        self.own.status = MemberStatus::Left;
        let delegates = self.own_delegates.clone();
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

    /// Stores what is newer than the known, passes it on, and reports a change of presence.
    fn learn(&mut self, now: Timestamp, record: MemberRecord, outputs: &mut Vec<MembershipOutput>) {
        let node = record.info.node;
        if node == self.own.info.node {
            self.refute(&record);
            return;
        }
        let known = self.table.get(&node).map(|member| member.record.clone());
        match &known {
            Some(known) if !record.supersedes(known) => return,
            None if !record.status.is_present() && record.status != MemberStatus::Failed => return,
            None if self.table.len() >= self.settings.maximum_members => return,
            _ => {}
        }
        if record.status != MemberStatus::Suspected {
            self.accused.remove(&node);
        }
        self.set_member(now, record.clone());
        self.member_rumors.push(node, record.clone());
        let before = known.as_ref().map(|known| known.status);
        if before != Some(record.status) && self.is_zone_reachable(&record.info.zone) {
            let change = MemberChange { member: record.info, status: record.status };
            outputs.push(MembershipOutput::Changed(change));
        }
    }

    fn refute(&mut self, accusation: &MemberRecord) {
        let accused = accusation.status != MemberStatus::Alive && accusation.refutation >= self.own.refutation;
        if !accused || !self.settings.mechanisms.refutation || self.own.status == MemberStatus::Left {
            return;
        }
        self.own.refutation = accusation.refutation + 1;
        self.member_rumors.push(self.own.info.node, self.own.clone());
    }

    /// Takes a view of a zone and reports its members as failed or back if that changes whether it is reachable.
    fn learn_zone(&mut self, record: ZoneRecord, outputs: &mut Vec<MembershipOutput>) {
        let zone = record.zone.clone();
        let own_zone = self.own.info.zone.clone();
        let from_own_zone = self.own_delegates.contains(&record.observer);
        if zone == own_zone || !from_own_zone {
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
