//! Handling of received messages.

use quillhatch_types::{NodeAddress, Timestamp};

use super::{Membership, MembershipOutput};
use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
use crate::message::{MembershipMessage, MessageBody, ZoneDigest};
use crate::probe::{Probe, ProbePurpose, ProbeStage};

/// Records on one page of a sync answer. A page stays well below the maximum payload size.
const RECORDS_PER_PAGE: usize = 500;

impl Membership {
    pub(super) fn receive(&mut self, now: Timestamp, message: MembershipMessage, outputs: &mut Vec<MembershipOutput>) {
        let sender = message.sender.info.clone();
        self.merge_sender(now, message.sender, outputs);
        for record in message.members {
            self.merge_member(now, record, outputs);
        }
        for record in message.zones {
            self.merge_zone_view(record, outputs);
        }
        let from = sender.node.address;
        match message.body {
            MessageBody::Ping => {
                self.send(from, message.sequence, MessageBody::Acknowledge { subject: None }, outputs);
            }
            MessageBody::PingRequest { subject } => self.relay_ping(now, from, message.sequence, subject, outputs),
            MessageBody::Acknowledge { subject } => {
                let answered = subject.unwrap_or(sender);
                self.receive_acknowledgement(now, message.sequence, answered, outputs);
            }
            MessageBody::SyncRequest { digests } => self.answer_sync(from, &digests, outputs),
            MessageBody::SyncAnswer => {}
        }
    }

    /// Merges the sender's record. The message proves that the sender is alive or left, and that older incarnations at its
    /// address have ended.
    fn merge_sender(&mut self, now: Timestamp, sender: MemberRecord, outputs: &mut Vec<MembershipOutput>) {
        self.fail_other_incarnations(now, &sender.info, outputs);
        let node = sender.info.node;
        let newer_report = self
            .table
            .get(&node)
            .filter(|member| member.record.status != MemberStatus::Alive && !sender.supersedes(&member.record))
            .map(|member| member.record.clone());
        match newer_report {
            // The report is gossiped with the next messages, also to the sender, so that it can refute.
            Some(report) if sender.status != MemberStatus::Left => self.member_rumors.push(node, report),
            _ => self.merge_member(now, sender, outputs),
        }
    }

    fn fail_other_incarnations(&mut self, now: Timestamp, current: &MemberInfo, outputs: &mut Vec<MembershipOutput>) {
        let others: Vec<MemberRecord> = self
            .table
            .at_address(current.node.address)
            .filter(|member| member.record.info.node != current.node && member.record.status.is_present())
            .map(|member| member.record.clone())
            .collect();
        for record in others {
            self.merge_member(now, MemberRecord { status: MemberStatus::Failed, ..record }, outputs);
        }
    }

    fn relay_ping(
        &mut self,
        now: Timestamp,
        requester: NodeAddress,
        sequence: u64,
        subject: MemberInfo,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        let to = subject.node.address;
        let probe = Probe {
            subject,
            purpose: ProbePurpose::Relayed { requester, sequence },
            stage: ProbeStage::Indirect,
            deadline: now + self.settings.probe_interval,
        };
        let own_sequence = self.probes.add(probe);
        self.send(to, own_sequence, MessageBody::Ping, outputs);
    }

    fn receive_acknowledgement(
        &mut self,
        now: Timestamp,
        sequence: u64,
        answered: MemberInfo,
        outputs: &mut Vec<MembershipOutput>,
    ) {
        let Some(probe) = self.probes.acknowledge(sequence) else { return };
        if answered.node != probe.subject.node {
            // Another run answers at the address: the probed one is gone.
            self.fail_other_incarnations(now, &answered, outputs);
        }
        match probe.purpose {
            ProbePurpose::Relayed { requester, sequence } => {
                self.send(requester, sequence, MessageBody::Acknowledge { subject: Some(answered) }, outputs);
            }
            ProbePurpose::Own => self.record_zone_answer(&answered.zone, outputs),
        }
    }

    fn record_zone_answer(&mut self, zone: &ZoneId, outputs: &mut Vec<MembershipOutput>) {
        if *zone == self.own.info.zone {
            return;
        }
        let before = self.is_zone_reachable(zone);
        if let Some(view) = self.zones.record_answer(zone, self.own.info.node) {
            self.zone_rumors.push((view.observer, zone.clone()), view);
            self.report_zone_change(zone, before, outputs);
        }
    }

    fn answer_sync(&mut self, to: NodeAddress, digests: &[ZoneDigest], outputs: &mut Vec<MembershipOutput>) {
        let differs = |zone: &ZoneId| {
            let remote_digest = digests.iter().find(|digest| digest.zone == *zone).map(|digest| digest.digest);
            remote_digest != Some(self.table.digest(zone))
        };
        let zones: Vec<ZoneId> = self.table.zones().filter(|zone| differs(zone)).cloned().collect();
        let records: Vec<MemberRecord> =
            zones.iter().flat_map(|zone| self.table.in_zone(zone)).map(|member| member.record.clone()).collect();
        for page in records.chunks(RECORDS_PER_PAGE) {
            let message = MembershipMessage {
                sequence: 0,
                sender: self.own.clone(),
                body: MessageBody::SyncAnswer,
                members: page.to_vec(),
                zones: Vec::new(),
            };
            outputs.push(MembershipOutput::Send { to, message: Box::new(message) });
        }
    }
}
