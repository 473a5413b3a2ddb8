//! The leader's side of replication: proposals, appends, heartbeats, commit index and lease.

use quillhatch_types::{NodeId, Timestamp};

use crate::group::Group;
use crate::io::{GroupOutput, ProposalRefusal, ProposalResult};
use crate::log::{Entry, Payload};
use crate::member::GroupMember;
use crate::message::{Append, AppendReply, GroupMessage};
use crate::settings::MAX_BATCH_BYTES;

/// Maximum number of entries in flight to one follower.
const REPLICATION_WINDOW: u64 = 512;

/// Proposals are refused once the log reaches this multiple of the limit at which a snapshot is requested.
const LOG_HARD_LIMIT_FACTOR: usize = 2;

impl Group {
    pub(crate) fn on_propose(&mut self, now: Timestamp, ticket: u64, command: Vec<u8>, outputs: &mut Vec<GroupOutput>) {
        let result = match self.check_proposal(&command) {
            Ok(()) => self.append_and_replicate(now, Payload::Command(command), outputs),
            Err(refusal) => ProposalResult::Refused(refusal),
        };
        outputs.push(GroupOutput::Proposed { ticket, result });
    }

    fn check_proposal(&self, command: &[u8]) -> Result<(), ProposalRefusal> {
        let member = self.require_leader()?;
        if command.len() > MAX_BATCH_BYTES {
            return Err(ProposalRefusal::CommandTooLarge);
        }
        let entries_full = member.log.len() >= self.settings.log_entries * LOG_HARD_LIMIT_FACTOR;
        let bytes_full = member.log.bytes() >= self.settings.log_bytes * LOG_HARD_LIMIT_FACTOR;
        if entries_full || bytes_full {
            return Err(ProposalRefusal::LogFull);
        }
        Ok(())
    }

    pub(crate) fn require_leader(&self) -> Result<&GroupMember, ProposalRefusal> {
        let refusal = ProposalRefusal::NotLeader { leader: self.leader_hint() };
        let member = self.member.as_ref().ok_or(refusal)?;
        if !member.is_leader() {
            return Err(refusal);
        }
        if self.stopping {
            return Err(ProposalRefusal::TransferringLeadership);
        }
        Ok(member)
    }

    pub(crate) fn append_and_replicate(
        &mut self,
        now: Timestamp,
        payload: Payload,
        outputs: &mut Vec<GroupOutput>,
    ) -> ProposalResult {
        let Some(member) = &mut self.member else {
            return ProposalResult::Refused(ProposalRefusal::NotLeader { leader: None });
        };
        let term = member.term;
        let index = member.log.append(Entry { term, payload });
        self.sync_progress(index);
        self.replicate_to_all(now, outputs);
        ProposalResult::Accepted { index, term }
    }

    pub(crate) fn on_leader_tick(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let heartbeat = self.settings.heartbeat;
        let Some(leadership) = self.member.as_mut().and_then(GroupMember::leadership_mut) else {
            return;
        };
        if now < leadership.heartbeat_due {
            return;
        }
        leadership.heartbeat_due = now + heartbeat;
        for progress in leadership.progress.values_mut() {
            // Without an answer since the last heartbeat, sent entries may be lost: resend from where both logs match.
            if !progress.answered_since_heartbeat {
                progress.next_index = progress.next_index.min(progress.match_index + 1);
            }
            progress.answered_since_heartbeat = false;
        }
        self.step_electorate(now, outputs);
        self.replicate_to_all(now, outputs);
        self.extend_lease(now, outputs);
        self.continue_transfer(now, outputs);
    }

    pub(crate) fn replicate_to_all(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(leadership) = self.member.as_ref().and_then(GroupMember::leadership) else {
            return;
        };
        let peers: Vec<NodeId> = leadership.progress.keys().copied().collect();
        for peer in peers {
            self.replicate_to(now, peer, outputs);
        }
    }

    /// Sends the next entries or snapshot chunk to one follower, or a heartbeat if there is nothing to send.
    pub(crate) fn replicate_to(&mut self, now: Timestamp, peer: NodeId, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &self.member else {
            return;
        };
        let Some(progress) = member.leadership().and_then(|leadership| leadership.progress.get(&peer)) else {
            return;
        };
        if progress.next_index <= member.log.base_index() {
            self.send_snapshot_chunk(now, peer, outputs);
            return;
        }
        let previous_index = progress.next_index - 1;
        let window_open = previous_index < progress.match_index + REPLICATION_WINDOW;
        let entries = match window_open {
            true => member.log.batch_from(progress.next_index, MAX_BATCH_BYTES),
            false => Vec::new(),
        };
        let next_index = progress.next_index + entries.len() as u64;
        let append = Append {
            record: member.record,
            term: member.term,
            sent: now.0,
            previous_index,
            previous_term: member.log.term_at(previous_index).unwrap_or_default(),
            commit_index: member.commit,
            entries,
        };
        self.send(peer, GroupMessage::Append(append), outputs);
        if let Some(progress) = self.progress_mut(peer).filter(|progress| !progress.probing) {
            progress.next_index = next_index;
        }
    }

    pub(crate) fn progress_mut(&mut self, peer: NodeId) -> Option<&mut crate::member::FollowerProgress> {
        self.member.as_mut().and_then(GroupMember::leadership_mut)?.progress.get_mut(&peer)
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: AppendReply,
        outputs: &mut Vec<GroupOutput>,
    ) {
        if !self.accept_answer(now, from, reply.term, reply.sent, outputs) {
            return;
        }
        let Some(member) = &self.member else {
            return;
        };
        let last_index = member.log.last_index();
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let tried = progress.next_index;
        progress.probing = !reply.success;
        if reply.success {
            progress.match_index = progress.match_index.max(reply.index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if reply.index >= progress.match_index {
            progress.next_index = (reply.index + 1).min(last_index + 1);
        } else {
            // A delayed reply from before the follower advanced; `match_index` must never decrease.
            return;
        }
        // Without progress the next heartbeat retries; an immediate resend could loop endlessly between two nodes.
        let behind = progress.next_index <= last_index;
        let moved = reply.success || progress.next_index != tried;
        if behind && moved {
            self.replicate_to(now, from, outputs);
        }
    }

    /// Records an answer from a follower. Returns false if the answer is of another term, or this node is not the
    /// leader or does not replicate to the sender.
    pub(crate) fn accept_answer(
        &mut self,
        now: Timestamp,
        from: NodeId,
        term: u64,
        sent: u64,
        outputs: &mut Vec<GroupOutput>,
    ) -> bool {
        let Some(member) = &self.member else {
            return false;
        };
        if term > member.term {
            self.follow_term(now, term);
            return false;
        }
        if term < member.term || !member.is_leader() {
            return false;
        }
        let Some(progress) = self.progress_mut(from) else {
            return false;
        };
        let sent = Timestamp(sent).min(now);
        progress.answered = progress.answered.max(Some(sent));
        progress.answered_since_heartbeat = true;
        self.extend_lease(now, outputs);
        true
    }

    /// The latest send time up to which a quorum has answered this leader's messages.
    pub(crate) fn quorum_contact(&self, now: Timestamp) -> Timestamp {
        let Some(member) = &self.member else {
            return now;
        };
        self.quorum_answered(member, now).flatten().map_or(member.contact, |answered| answered.max(member.contact))
    }

    fn quorum_answered(&self, member: &GroupMember, now: Timestamp) -> Option<Option<Timestamp>> {
        let leadership = member.leadership()?;
        let sets = self.active_sets(member)?;
        sets.quorum_value(|voter| {
            if *voter == self.node {
                return Some(now);
            }
            leadership.progress.get(voter).and_then(|progress| progress.answered)
        })
    }

    /// Extends the lease from the send time that a quorum has answered: for the lease's duration after it, that quorum
    /// elects no other leader.
    pub(crate) fn extend_lease(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let lease = self.settings.lease;
        let Some(member) = &self.member else {
            return;
        };
        let Some(Some(answered)) = self.quorum_answered(member, now) else {
            return;
        };
        let Some(member) = &mut self.member else {
            return;
        };
        member.contact = member.contact.max(answered);
        let Some(leadership) = member.leadership_mut() else {
            return;
        };
        if leadership.transfer.is_some() {
            return;
        }
        let until = answered + lease;
        if leadership.lease_until < Some(until) {
            leadership.lease_until = Some(until);
            outputs.push(GroupOutput::LeaseGranted { until });
        }
    }

    /// Advances the leader's commit index to the last entry that a quorum stores, if that entry is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let Some(member) = &self.member else {
            return;
        };
        let Some(leadership) = member.leadership() else {
            return;
        };
        let Some(sets) = self.active_sets(member) else {
            return;
        };
        let last_index = member.log.last_index();
        let held = sets.quorum_value(|voter| {
            if *voter == self.node {
                return last_index;
            }
            leadership.progress.get(voter).map_or(0, |progress| progress.match_index)
        });
        let Some(held) = held.filter(|held| *held > member.commit) else {
            return;
        };
        // Entries of earlier terms may still be replaced until an entry of this term is committed after them.
        if member.log.term_at(held) != Some(member.term) {
            return;
        }
        if let Some(member) = &mut self.member {
            member.commit = held;
        }
    }
}
