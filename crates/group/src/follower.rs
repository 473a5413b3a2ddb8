//! The follower's side of replication, passing committed entries to the host, and leaving a group.

use quillhatch_types::{NodeId, Timestamp};

use crate::group::Group;
use crate::io::GroupOutput;
use crate::log::Payload;
use crate::member::{GroupMember, MemberRole};
use crate::message::{Append, AppendReply, GroupMessage};

impl Group {
    pub(crate) fn on_append(&mut self, now: Timestamp, from: NodeId, append: Append, outputs: &mut Vec<GroupOutput>) {
        let accepted = self.accept_leader(now, from, append.term, outputs);
        let Some(member) = &mut self.member else {
            return;
        };
        let taken = match accepted {
            true => append_entries(member, &append),
            // The higher term in the reply makes the sender step down; the same term has no other leader.
            false if append.term < member.term => AppendOutcome::Mismatch { retry_at: 0 },
            false => AppendOutcome::Conflict,
        };
        let (success, index) = match taken {
            AppendOutcome::Matched { up_to } => (true, up_to),
            AppendOutcome::Mismatch { retry_at } => (false, retry_at),
            // A reply would only make the sender send the same entries again.
            AppendOutcome::Conflict => return,
        };
        let reply =
            AppendReply { identity: member.record.identity, term: member.term, sent: append.sent, success, index };
        self.send(from, GroupMessage::AppendReply(reply), outputs);
    }

    /// Follows `from` as the leader of `term`. Returns false if the term is over or this node leads it.
    pub(crate) fn accept_leader(
        &mut self,
        now: Timestamp,
        from: NodeId,
        term: u64,
        outputs: &mut Vec<GroupOutput>,
    ) -> bool {
        let Some(member) = &self.member else {
            return false;
        };
        if term < member.term || (term == member.term && member.is_leader()) {
            return false;
        }
        if term > member.term {
            self.follow_term(now, term);
        }
        self.reset_election_deadline(now);
        let lease = self.settings.lease;
        let Some(member) = &mut self.member else {
            return false;
        };
        member.role = MemberRole::Follower;
        member.leader = Some(from);
        // A node that knows the leader of a term must not vote for another candidate in it, even if it has not voted.
        member.vote = Some(from);
        member.contact = now;
        outputs.push(GroupOutput::LeaseGranted { until: now + lease });
        true
    }

    /// Passes newly committed entries to the host, and leaves the group if the committed voters exclude this node.
    pub(crate) fn apply_committed(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &mut self.member else {
            return;
        };
        while member.last_applied < member.commit {
            let index = member.last_applied + 1;
            let Some(entry) = member.log.get(index) else {
                break;
            };
            member.last_applied = index;
            match &entry.payload {
                Payload::Opening => {}
                Payload::Voters(set) => outputs.push(GroupOutput::VotersChanged { voters: set.clone() }),
                Payload::Command(command) => {
                    let command = command.clone();
                    outputs.push(GroupOutput::Committed { index, term: entry.term, command });
                }
            }
        }
        self.request_snapshot(outputs);
        self.leave_if_removed(now, outputs);
    }

    /// Leaves the group when the committed voters no longer include this node. A new node whose log does not include it
    /// yet stays.
    fn leave_if_removed(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let node = self.node;
        let Some(member) = &mut self.member else {
            return;
        };
        if member.change_pending() {
            return;
        }
        let named = member.is_voter(&node);
        let removed = member.was_voter && !named;
        member.was_voter |= named;
        if !removed {
            return;
        }
        if member.is_leader() {
            self.replicate_to_all(now, outputs);
        }
        self.retire(now, outputs);
    }

    /// Leaves the group but retains the state: if this run is added again, it must know its votes and the entries that
    /// it acknowledged.
    pub(crate) fn retire(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(mut member) = self.member.take() else {
            return;
        };
        member.role = MemberRole::Follower;
        member.leader = None;
        member.was_voter = false;
        self.retired = Some(member);
        self.after_leaving(now, outputs);
    }

    /// Discards the group's state. Without it this run must never answer that group again, so the group is recorded as
    /// abandoned.
    pub(crate) fn abandon_membership(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        if let Some(retired) = self.retired.take() {
            self.abandon_group(retired.record.identity);
        }
        if let Some(member) = self.member.take() {
            self.abandon_group(member.record.identity);
            self.after_leaving(now, outputs);
        }
    }

    fn after_leaving(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        self.waiting_since = now;
        self.eligible_since = None;
        self.survey.start_round(now);
        outputs.push(GroupOutput::Removed);
    }

    /// Rejoins a group with the retained state of an earlier membership; the host receives the whole state again.
    pub(crate) fn resume(&mut self, now: Timestamp, mut member: GroupMember, outputs: &mut Vec<GroupOutput>) {
        let record = member.record;
        let index = member.log.base_index();
        member.last_applied = index;
        member.contact = now;
        outputs.push(GroupOutput::Formed {
            generation: record.identity.generation,
            claims_lost: record.claims_lost,
            epoch: record.epoch,
        });
        if index > 0 {
            outputs.push(GroupOutput::InstallSnapshot { index, bytes: member.log.snapshot().to_vec() });
        }
        self.member = Some(member);
        self.reset_election_deadline(now);
    }
}

/// Result of comparing an append with the follower's log.
enum AppendOutcome {
    /// Both logs match up to this index.
    Matched { up_to: u64 },
    /// The entry before the first one differs; the leader should retry after this index.
    Mismatch { retry_at: u64 },
    /// A committed entry would have to be replaced, which no correct leader requests.
    Conflict,
}

/// Appends the entries if the logs match before the first one.
fn append_entries(member: &mut GroupMember, append: &Append) -> AppendOutcome {
    let base = member.log.base_index();
    let last = member.log.last_index();
    let known = append.previous_index < base || member.log.term_at(append.previous_index) == Some(append.previous_term);
    if !known && append.previous_index <= member.commit {
        return AppendOutcome::Conflict;
    }
    if !known {
        let earlier = append.previous_index.saturating_sub(1);
        return AppendOutcome::Mismatch { retry_at: earlier.min(last) };
    }
    let mut index = append.previous_index;
    for entry in &append.entries {
        index += 1;
        if index <= base || member.log.term_at(index) == Some(entry.term) {
            continue;
        }
        if index <= member.commit {
            return AppendOutcome::Conflict;
        }
        member.log.truncate_from(index);
        member.log.append(entry.clone());
    }
    member.commit = member.commit.max(append.commit_index.min(index)).min(member.log.last_index());
    AppendOutcome::Matched { up_to: index }
}
