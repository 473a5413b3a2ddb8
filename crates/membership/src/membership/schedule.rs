//! Timers: probes, suspicion, synchronization and the expiry of records.

use std::time::Duration;

use quillhatch_types::{NodeAddress, Timestamp};
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Membership, MembershipOutput};
use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
use crate::message::{MessageBody, ZoneDigest};
use crate::probe::{Probe, ProbePurpose, ProbeStage};
use crate::settings::INDIRECT_SUSPICION_FACTOR;

/// A gap between two steps longer than this many probe intervals means that this process itself was paused.
const PAUSE_THRESHOLD_INTERVALS: u32 = 3;

/// The maximum number of seeds contacted per probe interval, to find the first members or those beyond a healed
/// partition.
const SEEDS_PER_INTERVAL: usize = 2;

/// Seeds examined per probe interval, to find those at which no reachable member is known.
const SEEDS_EXAMINED_PER_INTERVAL: usize = 16;

/// Zones of other sites that a delegate probes per interval. It probes all zones of its own site in each interval.
const REMOTE_SITE_ZONES_PER_INTERVAL: usize = 2;

impl Membership {
    /// Drops pending probes after a pause of this process: their acknowledgements may have arrived but not been read.
    pub(super) fn handle_local_pause(&mut self, now: Timestamp) {
        let gap = self.last_step.map_or(Duration::ZERO, |last_step| now.since(last_step));
        self.last_step = Some(now);
        let paused = gap > self.settings.probe_interval * PAUSE_THRESHOLD_INTERVALS;
        if !paused || !self.settings.mechanisms.pause_guard {
            return;
        }
        self.probes.clear();
        self.zones.forget_failures();
        let suspected: Vec<MemberRecord> = self
            .table
            .expiring()
            .filter(|member| member.record.status == MemberStatus::Suspected)
            .map(|member| member.record.clone())
            .collect();
        for record in suspected {
            // Restart the suspicion timeout, since a refutation may be among the inputs not yet read.
            self.table.set(record, now);
        }
    }

    pub(super) fn run_timers(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        self.handle_probe_timeouts(now, outputs);
        self.expire_members(now, outputs);
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        self.contact_seeds(outputs);
        self.probe_local_zone(now, outputs);
        self.probe_other_zones(now, outputs);
        self.synchronize(now, outputs);
    }

    pub(super) fn status_timeout(&self, record: &MemberRecord) -> Duration {
        match record.status {
            MemberStatus::Alive => Duration::MAX,
            MemberStatus::Suspected if self.suspected_here.contains(&record.info.node) => {
                self.settings.suspicion_timeout
            }
            MemberStatus::Suspected => self.settings.suspicion_timeout * INDIRECT_SUSPICION_FACTOR,
            MemberStatus::Failed | MemberStatus::Left => self.settings.tombstone_retention,
        }
    }

    fn handle_probe_timeouts(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        for (sequence, probe) in self.probes.take_expired(now) {
            if probe.purpose != ProbePurpose::Own {
                continue;
            }
            match probe.stage {
                ProbeStage::Direct if self.settings.mechanisms.indirect_probes => {
                    self.probe_indirectly(now, sequence, probe, outputs);
                }
                ProbeStage::Direct | ProbeStage::Indirect => self.record_probe_failure(now, &probe.subject, outputs),
            }
        }
    }

    fn probe_indirectly(&mut self, now: Timestamp, sequence: u64, probe: Probe, outputs: &mut Vec<MembershipOutput>) {
        let subject = probe.subject.clone();
        let relays: Vec<NodeAddress> = self
            .table
            .present_in_zone(&self.own.info.zone)
            .map(|info| info.node)
            .filter(|node| *node != subject.node)
            .choose_multiple(&mut self.generator, self.settings.indirect_probes)
            .into_iter()
            .map(|node| node.address)
            .collect();
        for relay in relays {
            self.send(relay, sequence, MessageBody::PingRequest { subject: subject.clone() }, outputs);
        }
        // Ping directly once more: one lost datagram must not cause a suspicion where no other member can probe.
        self.send(subject.node.address, sequence, MessageBody::Ping, outputs);
        let deadline = now + self.settings.acknowledge_timeout * 2;
        self.probes.resume(sequence, Probe { stage: ProbeStage::Indirect, deadline, ..probe });
    }

    fn record_probe_failure(&mut self, now: Timestamp, subject: &MemberInfo, outputs: &mut Vec<MembershipOutput>) {
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
            self.suspected_here.insert(subject.node);
            self.merge_member(now, MemberRecord { status: MemberStatus::Suspected, ..known }, outputs);
        }
        // A member can refute only a suspicion that it received, so it is pinged again until the suspicion is resolved.
        self.probe(now, subject.clone(), outputs);
    }

    fn expire_members(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        let due: Vec<MemberRecord> = self
            .table
            .expiring()
            .filter(|member| member.since + self.status_timeout(&member.record) <= now)
            .map(|member| member.record.clone())
            .collect();
        for record in due {
            match record.status {
                MemberStatus::Suspected => {
                    self.merge_member(now, MemberRecord { status: MemberStatus::Failed, ..record }, outputs);
                }
                _ => self.table.remove(&record.info.node),
            }
        }
    }

    /// Requests a sync from a few seeds at which no reachable member is known. Only a few are examined, however long the
    /// list is.
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

    fn probe_local_zone(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        while let Some(node) = self.next_probe_target() {
            let member = self.table.get(&node).filter(|member| member.record.status.is_present());
            if let Some(subject) = member.map(|member| member.record.info.clone()) {
                self.probe(now, subject, outputs);
                return;
            }
        }
    }

    /// The next member to probe. The members are shuffled once all have been probed, which bounds the time until a failed
    /// one is detected.
    fn next_probe_target(&mut self) -> Option<quillhatch_types::NodeId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.table.present_in_zone(&self.own.info.zone).map(|info| info.node).collect();
            self.probe_order.shuffle(&mut self.generator);
            // Return here even if the zone is empty: the order is refilled at most once per call.
            return self.probe_order.pop();
        }
        self.probe_order.pop()
    }

    fn probe_other_zones(&mut self, now: Timestamp, outputs: &mut Vec<MembershipOutput>) {
        let own = self.own.info.clone();
        if !self.local_delegates.contains(&own.node) {
            return;
        }
        let others: Vec<ZoneId> = self.table.zones().filter(|zone| **zone != own.zone).cloned().collect();
        let (local_site, remote_sites): (Vec<ZoneId>, Vec<ZoneId>) =
            others.into_iter().partition(|zone| zone.site == own.zone.site);
        self.remote_site_zone_order.retain(|zone| remote_sites.contains(zone));
        if self.remote_site_zone_order.is_empty() {
            self.remote_site_zone_order = remote_sites;
            self.remote_site_zone_order.shuffle(&mut self.generator);
        }
        let split_at = self.remote_site_zone_order.len().saturating_sub(REMOTE_SITE_ZONES_PER_INTERVAL);
        let next_remote = self.remote_site_zone_order.split_off(split_at);
        for zone in local_site.into_iter().chain(next_remote) {
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
