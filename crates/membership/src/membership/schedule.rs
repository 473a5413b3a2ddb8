//! What a node does as time passes: probes, accusations, synchronization, and forgetting.

use std::time::Duration;

use quillhatch_types::{NodeAddress, Timestamp};
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Membership, MembershipOutput};
use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
use crate::message::{MessageBody, ZoneDigest};
use crate::probe::{Probe, ProbePurpose, ProbeStage};
use crate::settings::HEARSAY_FACTOR;

/// A gap between two steps longer than this many probe intervals means that this process itself was paused.
const PAUSE_INTERVALS: u32 = 3;

/// Seeds contacted per probe interval while no member is known, or to find members beyond a healed partition.
const SEEDS_PER_INTERVAL: usize = 2;

/// Seeds looked at per probe interval, to find those at which nobody is known.
const SEEDS_EXAMINED_PER_INTERVAL: usize = 16;

/// Zones of other sites that a delegate probes per interval; those of its own site are all probed.
const FOREIGN_ZONES_PER_INTERVAL: usize = 2;

impl Membership {
    /// Forgets outstanding probes after a pause of this process: the silence was its own.
    pub(super) fn guard_against_own_pause(&mut self, now: Timestamp) {
        let gap = self.last_step.map_or(Duration::ZERO, |last_step| now.since(last_step));
        self.last_step = Some(now);
        let paused = gap > self.settings.probe_interval * PAUSE_INTERVALS;
        if !paused || !self.settings.mechanisms.pause_guard {
            return;
        }
        self.probes.clear();
        self.zones.forget_failures();
        let suspected: Vec<MemberRecord> = self
            .table
            .ageing()
            .filter(|member| member.record.status == MemberStatus::Suspected)
            .map(|member| member.record.clone())
            .collect();
        for record in suspected {
            // The time to refute starts anew, since a refutation may be among the inputs not yet read.
            self.table.set(record, now);
        }
    }

    pub(super) fn run_timers(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        self.end_probe_stages(now, outputs);
        self.age_members(now, outputs);
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        self.contact_seeds(outputs);
        self.probe_own_zone(now, outputs);
        self.probe_other_zones(now, outputs);
        self.synchronize(now, outputs);
    }

    pub(super) fn age_limit(&self, record: &MemberRecord) -> Duration {
        match record.status {
            MemberStatus::Alive => Duration::MAX,
            MemberStatus::Suspected if self.accused.contains(&record.info.node) => self.settings.suspicion_timeout,
            MemberStatus::Suspected => self.settings.suspicion_timeout * HEARSAY_FACTOR,
            MemberStatus::Failed | MemberStatus::Left => self.settings.tombstone_retention,
        }
    }

    fn end_probe_stages(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        for (sequence, probe) in self.probes.take_expired(now) {
            if probe.purpose != ProbePurpose::Own {
                continue;
            }
            match probe.stage {
                ProbeStage::Direct if self.settings.mechanisms.indirect_probes => {
                    self.probe_indirectly(now, sequence, probe, outputs);
                }
                ProbeStage::Direct | ProbeStage::Indirect => self.accuse(now, &probe.subject, outputs),
            }
        }
    }

    fn probe_indirectly(&mut self, now: Timestamp, sequence: u64, probe: Probe, outputs: &mut Vec<MembershipOutput>) {
        let subject = probe.subject.clone();
        let helpers: Vec<NodeAddress> = self
            .table
            .present_in_zone(&self.own.info.zone)
            .map(|info| info.node)
            .filter(|node| *node != subject.node)
            .choose_multiple(&mut self.generator, self.settings.indirect_probes)
            .into_iter()
            .map(|node| node.address)
            .collect();
        for helper in helpers {
            self.send(helper, sequence, MessageBody::PingRequest { subject: subject.clone() }, outputs);
        }
        // Pinged once more as well: a lost datagram must not cost a suspicion where nobody can help.
        self.send(subject.node.address, sequence, MessageBody::Ping, outputs);
        let deadline = now + self.settings.acknowledge_timeout * 2;
        self.probes.resume(sequence, Probe { stage: ProbeStage::Indirect, deadline, ..probe });
    }

    fn accuse(&mut self, now: Timestamp, subject: &MemberInfo, outputs: &mut Vec<MembershipOutput>) {
        if subject.zone != self.own.info.zone {
            let before = self.is_zone_reachable(&subject.zone);
            let observer = self.own.info.node;
            let view = self.zones.record_failure(&subject.zone, observer, now, self.settings.zone_failures);
            if let Some(view) = view {
                self.zone_rumors.push((view.observer, view.zone.clone()), view);
                self.report_zone_change(&subject.zone, before, outputs);
            }
            return;
        }
        let Some(known) = self.table.get(&subject.node).map(|member| member.record.clone()) else { return };
        if !known.status.is_present() {
            return;
        }
        if known.status == MemberStatus::Alive {
            self.accused.insert(subject.node);
            self.learn(now, MemberRecord { status: MemberStatus::Suspected, ..known }, outputs);
        }
        // The accused must hear of the accusation to refute it, so it is asked again until it is decided.
        self.probe(now, subject.clone(), outputs);
    }

    fn age_members(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        let due: Vec<MemberRecord> = self
            .table
            .ageing()
            .filter(|member| member.since + self.age_limit(&member.record) <= now)
            .map(|member| member.record.clone())
            .collect();
        for record in due {
            match record.status {
                MemberStatus::Suspected => {
                    self.learn(now, MemberRecord { status: MemberStatus::Failed, ..record }, outputs);
                }
                _ => self.table.remove(&record.info.node),
            }
        }
    }

    /// Asks a few seeds at which no reachable member is known; only a few are looked at, however long the list is.
    fn contact_seeds(&mut self, outputs: &mut Vec<MembershipOutput>) {
        let candidates: Vec<NodeAddress> =
            self.seeds.choose_multiple(&mut self.generator, SEEDS_EXAMINED_PER_INTERVAL).copied().collect();
        let unknown: Vec<NodeAddress> =
            candidates.into_iter().filter(|seed| !self.is_reachable(*seed)).take(SEEDS_PER_INTERVAL).collect();
        for seed in unknown {
            self.request_sync(seed, outputs);
        }
    }

    fn is_reachable(&self, address: NodeAddress) -> bool {
        self.table
            .at_address(address)
            .any(|member| member.record.status.is_present() && self.is_zone_reachable(&member.record.info.zone))
    }

    fn probe_own_zone(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        while let Some(node) = self.next_in_order() {
            let member = self.table.get(&node).filter(|member| member.record.status.is_present());
            if let Some(subject) = member.map(|member| member.record.info.clone()) {
                self.probe(now, subject, outputs);
                return;
            }
        }
    }

    /// Members are probed in a random order that is drawn anew once all had their turn, which bounds the time until a
    /// failed one is found.
    fn next_in_order(&mut self) -> Option<quillhatch_types::NodeId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.table.present_in_zone(&self.own.info.zone).map(|info| info.node).collect();
            self.probe_order.shuffle(&mut self.generator);
            // An empty zone must not be asked for again in the same interval.
            return self.probe_order.pop();
        }
        self.probe_order.pop()
    }

    fn probe_other_zones(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        let own = self.own.info.clone();
        if !self.own_delegates.contains(&own.node) {
            return;
        }
        let others: Vec<ZoneId> = self.table.zones().filter(|zone| **zone != own.zone).cloned().collect();
        let (near, far): (Vec<ZoneId>, Vec<ZoneId>) = others.into_iter().partition(|zone| zone.site == own.zone.site);
        self.foreign_zone_order.retain(|zone| far.contains(zone));
        if self.foreign_zone_order.is_empty() {
            self.foreign_zone_order = far;
            self.foreign_zone_order.shuffle(&mut self.generator);
        }
        let turn = self.foreign_zone_order.len().saturating_sub(FOREIGN_ZONES_PER_INTERVAL);
        let foreign = self.foreign_zone_order.split_off(turn);
        for zone in near.into_iter().chain(foreign) {
            let subject = self.table.present_in_zone(&zone).choose(&mut self.generator).cloned();
            if let Some(subject) = subject {
                self.probe(now, subject, outputs);
            }
        }
    }

    fn probe(&mut self, now: Timestamp, subject: MemberInfo, outputs: &mut Vec<MembershipOutput>) {
        let to = subject.node.address;
        let deadline = now + self.settings.acknowledge_timeout;
        let sequence =
            self.probes.add(Probe { subject, purpose: ProbePurpose::Own, stage: ProbeStage::Direct, deadline });
        self.send(to, sequence, MessageBody::Ping, outputs);
    }

    fn synchronize(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_interval;
        let partner = self.table.present_in_zone(&self.own.info.zone).choose(&mut self.generator);
        if let Some(partner) = partner.map(|info| info.node.address) {
            self.request_sync(partner, outputs);
        }
    }

    fn request_sync(&mut self, to: NodeAddress, outputs: &mut Vec<MembershipOutput>) {
        let digest = |zone: &ZoneId| ZoneDigest { zone: zone.clone(), digest: self.table.digest(zone) };
        let digests = self.table.zones().map(digest).collect();
        self.send(to, 0, MessageBody::SyncRequest { digests }, outputs);
    }
}
