//! Elections: pre-vote, votes and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{NodeId, Timestamp};

use crate::group::Group;
use crate::io::GroupOutput;
use crate::log::{Entry, Payload};
use crate::member::{FollowerProgress, GroupMember, Leadership, LeadershipTransfer, MemberRole};
use crate::message::{GroupMessage, VoteReply, VoteRequest};

impl Group {
    pub(crate) fn campaign_if_due(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &self.member else {
            return;
        };
        if !member.is_voter(&self.node) || now < member.election_deadline {
            return;
        }
        if self.settings.mechanisms.pre_vote {
            self.start_pre_vote(now, outputs);
        } else {
            self.campaign(now, false, outputs);
        }
    }

    fn start_pre_vote(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        self.reset_election_deadline(now);
        let Some(member) = &mut self.member else {
            return;
        };
        member.leader = None;
        member.role = MemberRole::PreCandidate { granted: BTreeSet::from([self.node]) };
        let term = member.term + 1;
        self.request_votes(term, true, false, outputs);
        self.count_votes(now, outputs);
    }

    fn campaign(&mut self, now: Timestamp, transfer: bool, outputs: &mut Vec<GroupOutput>) {
        self.reset_election_deadline(now);
        let Some(member) = &mut self.member else {
            return;
        };
        member.term += 1;
        member.vote = Some(self.node);
        member.leader = None;
        member.role = MemberRole::Candidate { granted: BTreeSet::from([self.node]) };
        let term = member.term;
        self.request_votes(term, false, transfer, outputs);
        self.count_votes(now, outputs);
    }

    fn request_votes(&self, term: u64, pre_vote: bool, transfer: bool, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &self.member else {
            return;
        };
        let Some(sets) = self.active_sets(member) else {
            return;
        };
        let request = VoteRequest {
            identity: member.record.identity,
            term,
            last_index: member.log.last_index(),
            last_term: member.log.last_term(),
            pre_vote,
            transfer,
        };
        for voter in sets.members() {
            if voter != self.node {
                self.send(voter, GroupMessage::VoteRequest(request), outputs);
            }
        }
    }

    pub(crate) fn on_vote_request(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: VoteRequest,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let granted = self.consider_vote(now, from, request);
        let Some(member) = &self.member else {
            return;
        };
        let term = if granted { request.term } else { member.term };
        let reply = VoteReply { identity: request.identity, term, granted, pre_vote: request.pre_vote };
        self.send(from, GroupMessage::VoteReply(reply), outputs);
    }

    fn consider_vote(&mut self, now: Timestamp, from: NodeId, request: VoteRequest) -> bool {
        let mechanisms = self.settings.mechanisms;
        if self.has_leader_contact(now) && !request.transfer {
            return false;
        }
        let Some(member) = &self.member else {
            return false;
        };
        let complete = !mechanisms.complete_log_vote
            || (request.last_term, request.last_index) >= (member.log.last_term(), member.log.last_index());
        if request.pre_vote {
            return request.term > member.term && complete;
        }
        if request.term > member.term {
            self.follow_term(now, request.term);
        }
        let Some(member) = &mut self.member else {
            return false;
        };
        let vote_available = member.vote.is_none() || member.vote == Some(from) || !mechanisms.single_vote;
        if request.term < member.term || !vote_available || !complete {
            return false;
        }
        member.vote = Some(from);
        self.reset_election_deadline(now);
        true
    }

    /// Whether this node is in contact with a leader and therefore grants no vote. The leader's lease depends on this.
    fn has_leader_contact(&self, now: Timestamp) -> bool {
        let Some(member) = &self.member else {
            return false;
        };
        let recent = now.since(member.contact) < self.settings.election_timeout_minimum;
        self.settings.mechanisms.check_quorum && recent && member.leader.is_some()
    }

    /// Moves to a higher term as a follower that has not voted.
    pub(crate) fn follow_term(&mut self, now: Timestamp, term: u64) {
        if self.member.as_ref().is_some_and(GroupMember::is_leader) {
            self.reset_election_deadline(now);
        }
        if let Some(member) = &mut self.member {
            member.term = term;
            member.vote = None;
            member.leader = None;
            member.role = MemberRole::Follower;
        }
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: VoteReply,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let Some(member) = &mut self.member else {
            return;
        };
        if !reply.granted {
            if reply.term > member.term {
                self.follow_term(now, reply.term);
            }
            return;
        }
        let expected = if reply.pre_vote { member.term + 1 } else { member.term };
        if reply.term != expected {
            return;
        }
        match &mut member.role {
            MemberRole::PreCandidate { granted } if reply.pre_vote => granted.insert(from),
            MemberRole::Candidate { granted } if !reply.pre_vote => granted.insert(from),
            _ => return,
        };
        self.count_votes(now, outputs);
    }

    fn count_votes(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &self.member else {
            return;
        };
        let Some(sets) = self.active_sets(member) else {
            return;
        };
        match &member.role {
            MemberRole::PreCandidate { granted } if sets.is_quorum(|voter| granted.contains(voter)) => {
                self.campaign(now, false, outputs);
            }
            MemberRole::Candidate { granted } if sets.is_quorum(|voter| granted.contains(voter)) => {
                self.become_leader(now, outputs);
            }
            _ => {}
        }
    }

    /// Becomes the leader of the current term.
    pub(crate) fn become_leader(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        self.survey.start_round(now + self.settings.formation_retry);
        let node = self.node;
        let Some(member) = &mut self.member else {
            return;
        };
        let opening = member.log.append(Entry { term: member.term, payload: Payload::Opening });
        member.leader = Some(node);
        member.contact = now;
        member.role = MemberRole::Leader(Leadership {
            progress: BTreeMap::new(),
            heartbeat_due: now + self.settings.heartbeat,
            lease_until: None,
            opening,
            transfer: None,
            joiners: BTreeMap::new(),
        });
        // If the group has committed nothing yet, the other logs are probably empty.
        let next_index = if member.commit == 0 { 1 } else { opening };
        self.sync_progress(next_index);
        self.replicate_to_all(now, outputs);
    }

    /// Updates the progress records to one per other node that the log is replicated to.
    pub(crate) fn sync_progress(&mut self, next_index: u64) {
        let node = self.node;
        let Some(member) = &self.member else {
            return;
        };
        let Some(sets) = self.active_sets(member) else {
            return;
        };
        let mut members = sets.members();
        members.remove(&node);
        let Some(leadership) = self.member.as_mut().and_then(GroupMember::leadership_mut) else {
            return;
        };
        leadership.progress.retain(|peer, _| members.contains(peer));
        for peer in members {
            leadership.progress.entry(peer).or_insert_with(|| FollowerProgress::starting_at(next_index));
        }
    }

    pub(crate) fn on_stop(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        self.stopping = true;
        self.attempt = None;
        // The delay lets the other voters start an election first. If only this node has all committed entries, only it
        // can win; it then transfers leadership.
        self.reset_election_deadline(now);
        self.continue_transfer(now, outputs);
    }

    /// While stopping, transfers leadership to an up-to-date voter; tries another one if the transfer times out.
    pub(crate) fn continue_transfer(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        if !self.stopping {
            return;
        }
        let timeout = self.settings.election_timeout_minimum;
        let Some(member) = &mut self.member else {
            return;
        };
        let (identity, term, last_index) = (member.record.identity, member.term, member.log.last_index());
        let voters = member.latest_voters().voters;
        let Some(leadership) = member.leadership_mut() else {
            return;
        };
        if leadership.transfer.is_some_and(|transfer| now.since(transfer.since) < timeout) {
            return;
        }
        let tried = leadership.transfer.map(|transfer| transfer.to);
        let candidates = leadership.progress.iter().filter(|(peer, progress)| {
            voters.contains(peer) && progress.match_index == last_index && Some(**peer) != tried
        });
        let best = candidates.max_by_key(|(_, progress)| progress.answered).map(|(peer, _)| *peer);
        let Some(to) = best.or(tried) else {
            return;
        };
        // Voters may elect the receiver immediately despite the lease that they granted, so the lease ends here.
        leadership.lease_until = None;
        leadership.transfer = Some(LeadershipTransfer { to, since: now });
        self.send(to, GroupMessage::ElectNow { identity, term }, outputs);
    }

    pub(crate) fn on_elect_now(&mut self, now: Timestamp, from: NodeId, term: u64, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &self.member else {
            return;
        };
        let current = member.term == term && member.leader == Some(from);
        if current && member.is_voter(&self.node) && !self.stopping {
            self.campaign(now, true, outputs);
        }
    }
}
