//! Inquiries to peers: whether a group exists, which nodes are free to form one, and which voters are proven dead.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{Formation, Incarnation, NodeAddress, NodeId, Timestamp};

use crate::group::Group;
use crate::io::GroupOutput;
use crate::member::GroupMember;
use crate::message::{Answer, GroupMessage, GroupView};

/// Maximum number of joining nodes that a leader remembers.
const MAX_JOINERS: usize = 64;

/// The answers of the current round of inquiries.
///
/// An answer counts only in the round of its inquiry. An answer from another run at a voter's address, in a round that
/// began after the voter was known, therefore proves that the voter is dead, even if messages of earlier runs are
/// delayed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerSurvey {
    pub round: u64,
    pub next_round_at: Timestamp,
    pub answers: BTreeMap<NodeAddress, (NodeId, Answer)>,
}

impl PeerSurvey {
    pub fn start_round(&mut self, next_round_at: Timestamp) {
        self.round += 1;
        self.next_round_at = next_round_at;
        self.answers.clear();
    }
}

impl Group {
    /// When a member without a leader next sends inquiries to its peers.
    pub(crate) fn survey_due(&self, member: &GroupMember) -> Timestamp {
        self.survey.next_round_at.max(member.contact + self.settings.election_timeout_maximum)
    }

    pub(crate) fn survey_if_due(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let due = match &self.member {
            Some(member) => self.survey_due(member),
            None => self.survey.next_round_at,
        };
        let may_inquire = self.member.is_some() || self.requirements.is_some();
        if now < due || !may_inquire {
            return;
        }
        self.end_round(now, outputs);
        self.send_inquiries(now, outputs);
    }

    pub(crate) fn send_inquiries(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        self.survey.start_round(now + self.settings.formation_retry);
        let round = self.survey.round;
        for address in self.peers() {
            let to = NodeId { address, incarnation: Incarnation(0) };
            self.send(to, GroupMessage::Inquiry { round }, outputs);
        }
    }

    fn peers(&self) -> BTreeSet<NodeAddress> {
        let mut peers = BTreeSet::new();
        if let Some(requirements) = &self.requirements {
            peers.extend(requirements.electorate.iter().copied());
        }
        if let Some(member) = &self.member {
            let voters = member.latest_voters();
            peers.extend(voters.voters.iter().map(|voter| voter.address));
            peers.extend(voters.electorate);
        }
        if let Some(view) = &self.known_group {
            peers.extend(view.voters.voters.iter().map(|voter| voter.address));
        }
        peers.remove(&self.node.address);
        peers
    }

    pub(crate) fn on_inquiry(&mut self, now: Timestamp, from: NodeId, round: u64, outputs: &mut Vec<GroupOutput>) {
        let answer = self.answer(now, round, from);
        self.send(from, GroupMessage::Answer(answer), outputs);
        let Some(member) = self.member.as_ref().filter(|member| member.is_leader()) else {
            return;
        };
        // The inquiry may be a delayed one from a dead run, so the leader checks with an inquiry of its own before it
        // proposes the node to the host.
        if !member.is_voter(&from) {
            self.send(from, GroupMessage::Inquiry { round: self.survey.round }, outputs);
        }
    }

    pub(crate) fn answer(&self, now: Timestamp, round: u64, asking: NodeId) -> Answer {
        Answer {
            round,
            free: self.is_free(now) && !self.is_engaged(now, asking),
            blank: self.is_blank(),
            generation: self.remembered_generation,
            epoch: self.remembered_epoch,
            view: self.member.as_ref().map(group_view),
        }
    }

    /// Whether this node knows of no earlier group: it remembers none and the configuration marks the service as new.
    pub(crate) fn is_blank(&self) -> bool {
        let new = self.requirements.as_ref().is_some_and(|requirements| requirements.formation == Formation::New);
        let nothing_remembered = self.remembered_generation.0 == 0 && self.remembered_epoch.0 == 0;
        let no_group = self.member.is_none() && self.retired.is_none() && self.promise.is_none();
        new && no_group && nothing_remembered
    }

    pub(crate) fn on_answer(&mut self, now: Timestamp, from: NodeId, answer: Answer, outputs: &mut Vec<GroupOutput>) {
        self.remembered_generation = self.remembered_generation.max(answer.generation);
        self.remembered_epoch = self.remembered_epoch.max(answer.epoch);
        if let Some(view) = &answer.view {
            self.learn_view(now, view, outputs);
        }
        if answer.round != self.survey.round {
            return;
        }
        if self.member.as_ref().is_some_and(GroupMember::is_leader) {
            self.record_joiner(now, from, &answer, outputs);
            return;
        }
        self.record_dead_voters(from);
        self.send_inquiry_to_leader(&answer, outputs);
        self.survey.answers.insert(from.address, (from, answer));
        self.form_if_complete(now, outputs);
    }

    /// Records a peer's view; leaves a group that a newer one has replaced or that has removed this node.
    fn learn_view(&mut self, now: Timestamp, view: &GroupView, outputs: &mut Vec<GroupOutput>) {
        let newer = self.known_group.as_ref().is_none_or(|known| {
            (view.identity.generation, view.term, view.leader.is_some())
                >= (known.identity.generation, known.term, known.leader.is_some())
        });
        if newer {
            self.known_group = Some(view.clone());
        }
        let Some(member) = &self.member else {
            return;
        };
        let own = member.record.identity;
        let replaced = view.identity.generation > own.generation && view.leader.is_some();
        if replaced {
            self.abandon_membership(now, outputs);
            return;
        }
        let leaderless = now.since(member.contact) >= self.settings.election_timeout_maximum && !member.is_leader();
        let ahead = view.identity == own && view.term >= member.term && view.commit_index > member.log.last_index();
        if leaderless && ahead && !view.voters.voters.contains(&self.node) {
            self.retire(now, outputs);
        }
    }

    fn record_joiner(&mut self, now: Timestamp, from: NodeId, answer: &Answer, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &mut self.member else {
            return;
        };
        let unattached = answer.free || answer.view.is_none();
        if !unattached || member.is_voter(&from) {
            return;
        }
        let Some(leadership) = member.leadership_mut() else {
            return;
        };
        if leadership.joiners.len() >= MAX_JOINERS && !leadership.joiners.contains_key(&from) {
            return;
        }
        leadership.joiners.insert(from, now);
        outputs.push(GroupOutput::JoinRequested { node: from });
    }

    fn record_dead_voters(&mut self, from: NodeId) {
        let Some(member) = &mut self.member else {
            return;
        };
        let own = self.node;
        let replaced_by_run = |voter: &NodeId, run: NodeId| voter.address == run.address && *voter != run;
        let replaced = |voter: &NodeId| replaced_by_run(voter, from) || replaced_by_run(voter, own);
        let sets = member.active_sets(true, true).map(|sets| sets.members()).unwrap_or_default();
        member.dead_voters.retain(|dead| sets.contains(dead));
        member.dead_voters.extend(sets.into_iter().filter(replaced));
    }

    /// As an outsider, sends an inquiry to the leader if it is not among the known peers.
    fn send_inquiry_to_leader(&self, answer: &Answer, outputs: &mut Vec<GroupOutput>) {
        let leader = answer.view.as_ref().and_then(|view| view.leader);
        let Some(leader) = leader.filter(|leader| self.member.is_none() && *leader != self.node) else {
            return;
        };
        if !self.peers().contains(&leader.address) {
            self.send(leader, GroupMessage::Inquiry { round: self.survey.round }, outputs);
        }
    }

    /// Whether the group has permanently lost its quorum: the voters not proven dead are no quorum.
    pub(crate) fn has_lost_quorum(&self, member: &GroupMember) -> bool {
        let sets = self.active_sets(member);
        sets.is_some_and(|sets| !sets.is_quorum(|voter| !member.dead_voters.contains(voter)))
    }
}

pub(crate) fn group_view(member: &GroupMember) -> GroupView {
    GroupView {
        identity: member.record.identity,
        term: member.term,
        leader: member.leader,
        voters: member.latest_voters(),
        commit_index: member.commit,
    }
}
