//! The group's state machine: entry point, accessors and helpers that the other modules share.

use std::collections::BTreeSet;
use std::time::Duration;

use quillhatch_types::{Epoch, Generation, Incarnation, NodeId, Timestamp};

use crate::formation::{FormationAttempt, FormationPromise};
use crate::io::{FormRequirements, GroupInput, GroupOutput, Role};
use crate::log::Entry;
use crate::member::{GroupMember, MemberRole};
use crate::message::{GroupIdentity, GroupMessage, GroupView};
use crate::random::SeededRandom;
use crate::settings::{GroupMechanisms, GroupSettings};
use crate::survey::PeerSurvey;
use crate::voters::{ActiveSets, VoterSet};

/// Number of maximum election timeouts by which a stopping node delays its own election, so that another voter wins.
const STOPPING_ELECTION_DELAY_FACTOR: u32 = 2;

/// One node's consensus state machine.
///
/// It keeps its state in memory only. A restarted node starts as an outsider with a new incarnation and has to join
/// again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    pub(crate) node: NodeId,
    pub(crate) settings: GroupSettings,
    pub(crate) random: SeededRandom,
    pub(crate) last_step: Timestamp,
    pub(crate) started: Option<Timestamp>,
    pub(crate) stopping: bool,
    pub(crate) member: Option<GroupMember>,
    /// Retained state of a group that removed this node.
    pub(crate) retired: Option<GroupMember>,
    pub(crate) requirements: Option<FormRequirements>,
    /// When this node started to wait for a group or for the rest of the electorate.
    pub(crate) waiting_since: Timestamp,
    /// When a majority of the electorate was first found free.
    pub(crate) eligible_since: Option<Timestamp>,
    /// Earliest time at which this node may try again to form a group.
    pub(crate) next_attempt_after: Timestamp,
    pub(crate) survey: PeerSurvey,
    pub(crate) attempt: Option<FormationAttempt>,
    pub(crate) promise: Option<FormationPromise>,
    /// Groups whose state this node has discarded and that it must never answer again.
    pub(crate) abandoned_groups: BTreeSet<GroupIdentity>,
    /// The newest group that a peer has reported.
    pub(crate) known_group: Option<GroupView>,
    pub(crate) remembered_generation: Generation,
    pub(crate) remembered_epoch: Epoch,
}

/// Role, term and leader, compared before and after a step to detect a change.
type RoleState = (Role, u64, Option<NodeId>);

impl Group {
    /// A node without state. `seed` determines its random timeouts and generation steps.
    pub fn new(node: NodeId, settings: GroupSettings, seed: u64) -> Self {
        let node = effective_node_id(node, &settings.mechanisms);
        Self {
            node,
            settings,
            random: SeededRandom::from_seed(seed),
            last_step: Timestamp::ZERO,
            started: None,
            stopping: false,
            member: None,
            retired: None,
            requirements: None,
            waiting_since: Timestamp::ZERO,
            eligible_since: None,
            next_attempt_after: Timestamp::ZERO,
            survey: PeerSurvey::default(),
            attempt: None,
            promise: None,
            abandoned_groups: BTreeSet::new(),
            known_group: None,
            remembered_generation: Generation::default(),
            remembered_epoch: Epoch::default(),
        }
    }

    /// Processes one input and appends the resulting outputs to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: GroupInput, outputs: &mut Vec<GroupOutput>) {
        let now = now.max(self.last_step);
        if self.started.is_none() {
            self.started = Some(now);
            self.waiting_since = now;
        }
        let before = self.role_state();
        self.expire_state_after_pause(now);
        self.dispatch(now, input, outputs);
        self.advance_commit();
        self.apply_committed(now, outputs);
        self.last_step = now;
        let after = self.role_state();
        if before != after {
            let (role, term, leader) = after;
            outputs.push(GroupOutput::RoleChanged { role, term, leader });
        }
    }

    fn dispatch(&mut self, now: Timestamp, input: GroupInput, outputs: &mut Vec<GroupOutput>) {
        match input {
            GroupInput::Tick => self.on_tick(now, outputs),
            GroupInput::Message { from, message } => {
                let from = effective_node_id(from, &self.settings.mechanisms);
                self.on_message(now, from, message, outputs);
            }
            GroupInput::Propose { ticket, command } => self.on_propose(now, ticket, command, outputs),
            GroupInput::ChangeVoters { ticket, add, remove } => {
                self.on_change_voters(now, ticket, add, remove, outputs);
            }
            GroupInput::Snapshot { index, bytes } => self.on_host_snapshot(index, bytes),
            GroupInput::Form(requirements) => self.on_form(now, requirements, outputs),
            GroupInput::Stop => self.on_stop(now, outputs),
        }
    }

    fn on_tick(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        if self.member.as_ref().is_some_and(GroupMember::is_leader) {
            self.on_leader_tick(now, outputs);
            return;
        }
        self.campaign_if_due(now, outputs);
        self.resend_attempt(now, outputs);
        self.survey_if_due(now, outputs);
    }

    fn on_message(&mut self, now: Timestamp, from: NodeId, message: GroupMessage, outputs: &mut Vec<GroupOutput>) {
        match message {
            GroupMessage::Inquiry { round } => self.on_inquiry(now, from, round, outputs),
            GroupMessage::Answer(answer) => self.on_answer(now, from, answer, outputs),
            GroupMessage::FormRequest(request) => self.on_form_request(now, from, request, outputs),
            GroupMessage::FormReply(reply) => self.on_form_reply(now, from, reply, outputs),
            other => self.on_member_message(now, from, other, outputs),
        }
    }

    fn on_member_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: GroupMessage,
        outputs: &mut Vec<GroupOutput>,
    ) {
        if !self.enter_group_of(now, from, &message, outputs) {
            return;
        }
        match message {
            GroupMessage::VoteRequest(request) => self.on_vote_request(now, from, request, outputs),
            GroupMessage::VoteReply(reply) => self.on_vote_reply(now, from, reply, outputs),
            GroupMessage::Append(append) => self.on_append(now, from, append, outputs),
            GroupMessage::AppendReply(reply) => self.on_append_reply(now, from, reply, outputs),
            GroupMessage::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, from, chunk, outputs),
            GroupMessage::SnapshotReply(reply) => self.on_snapshot_reply(now, from, reply, outputs),
            GroupMessage::ElectNow { term, .. } => self.on_elect_now(now, from, term, outputs),
            GroupMessage::Inquiry { .. }
            | GroupMessage::Answer(_)
            | GroupMessage::FormRequest(_)
            | GroupMessage::FormReply(_) => {}
        }
    }

    /// Invalidates leadership and election deadlines that expired while the process was paused.
    ///
    /// A leader that no quorum answered within the minimum election timeout may have been replaced. A follower that
    /// resumes long after its deadline may have unread heartbeats in its sockets, so it waits for another election
    /// timeout.
    fn expire_state_after_pause(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout_minimum;
        let mechanisms = self.settings.mechanisms;
        let Some(member) = &self.member else {
            return;
        };
        if member.is_leader() {
            let contact = self.quorum_contact(now);
            if mechanisms.check_quorum && now.since(contact) > timeout {
                self.step_down(now);
            } else if let Some(member) = &mut self.member {
                member.contact = contact.max(member.contact);
            }
            return;
        }
        if now > member.election_deadline + timeout {
            self.reset_election_deadline(now);
        }
    }

    /// When the driver should next call [`step`](Self::step) with [`GroupInput::Tick`], if a timer is set.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let Some(member) = &self.member else {
            return self.requirements.as_ref().map(|_| self.next_outsider_wake());
        };
        if let Some(leadership) = member.leadership() {
            return Some(leadership.heartbeat_due);
        }
        let survey = self.survey_due(member);
        if member.is_voter(&self.node) {
            return Some(survey.min(member.election_deadline));
        }
        Some(survey)
    }

    fn next_outsider_wake(&self) -> Timestamp {
        let survey = self.survey.next_round_at;
        self.attempt.as_ref().map_or(survey, |attempt| attempt.resend_at.min(survey))
    }

    fn role_state(&self) -> RoleState {
        (self.role(), self.term(), self.leader())
    }

    /// This run of the node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Whether the node has received [`GroupInput::Stop`].
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// The node's role.
    pub fn role(&self) -> Role {
        match self.member.as_ref().map(|member| &member.role) {
            None => Role::Outsider,
            Some(MemberRole::Follower) => Role::Follower,
            Some(MemberRole::PreCandidate { .. } | MemberRole::Candidate { .. }) => Role::Candidate,
            Some(MemberRole::Leader(_)) => Role::Leader,
        }
    }

    /// The term, zero for an outsider.
    pub fn term(&self) -> u64 {
        self.member.as_ref().map_or(0, |member| member.term)
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.member.as_ref().and_then(|member| member.leader)
    }

    /// The leader as far as known; an outsider reports the leader of the newest group that it has seen.
    pub fn leader_hint(&self) -> Option<NodeId> {
        self.leader().or_else(|| self.known_group.as_ref().and_then(|view| view.leader))
    }

    /// The node's commit index.
    pub fn commit_index(&self) -> u64 {
        self.member.as_ref().map_or(0, |member| member.commit)
    }

    /// The latest voters in the node's log, committed or not.
    pub fn voters(&self) -> VoterSet {
        self.member.as_ref().map(GroupMember::latest_voters).unwrap_or_default()
    }

    /// The group's generation, zero for an outsider.
    pub fn generation(&self) -> Generation {
        self.identity().map(|identity| identity.generation).unwrap_or_default()
    }

    /// The group, unless the node is an outsider.
    pub fn identity(&self) -> Option<GroupIdentity> {
        self.member.as_ref().map(|member| member.record.identity)
    }

    /// Whether the group was formed without proof that no earlier committed command was lost.
    pub fn claims_lost(&self) -> bool {
        self.member.as_ref().is_some_and(|member| member.record.claims_lost)
    }

    /// The highest generation that this node knows of.
    pub fn remembered_generation(&self) -> Generation {
        self.remembered_generation
    }

    /// Whether the node's group has permanently lost its quorum, because too many of its voters lost their state.
    pub fn is_lost(&self) -> bool {
        self.member.as_ref().is_some_and(|member| self.has_lost_quorum(member))
    }

    /// End of this node's lease, if it leads and has one.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.member.as_ref().and_then(GroupMember::leadership).and_then(|leadership| leadership.lease_until)
    }

    /// The index up to which committed state may be read as current, if this node leads and holds a lease.
    pub fn readable_index(&self, now: Timestamp) -> Option<u64> {
        let member = self.member.as_ref()?;
        let leadership = member.leadership()?;
        let leased = leadership.lease_until.is_some_and(|until| now < until);
        let opened = member.commit >= leadership.opening;
        (leased && opened).then_some(member.commit)
    }

    /// The entry at `index`, if it is committed and not compacted.
    pub fn committed_entry(&self, index: u64) -> Option<&Entry> {
        let member = self.member.as_ref()?;
        member.log.get(index).filter(|_| index <= member.commit)
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.member.as_ref().map_or(0, |member| member.log.last_index())
    }

    /// Number of entries in the log, for metrics.
    pub fn log_length(&self) -> usize {
        self.member.as_ref().map_or(0, |member| member.log.len())
    }

    /// The voter sets that must each have a quorum for `member` now.
    pub(crate) fn active_sets<'a>(&self, member: &'a GroupMember) -> Option<ActiveSets<'a>> {
        let mechanisms = self.settings.mechanisms;
        member.active_sets(mechanisms.one_at_a_time, mechanisms.electorate_quorum)
    }

    pub(crate) fn send(&self, to: NodeId, message: GroupMessage, outputs: &mut Vec<GroupOutput>) {
        outputs.push(GroupOutput::Send { to, message });
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Timestamp) {
        let settings = &self.settings;
        let span = self.random.duration_between(settings.election_timeout_minimum, settings.election_timeout_maximum);
        let extra_delay = if self.stopping {
            settings.election_timeout_maximum * STOPPING_ELECTION_DELAY_FACTOR
        } else {
            Duration::ZERO
        };
        if let Some(member) = &mut self.member {
            member.election_deadline = now + span + extra_delay;
        }
    }

    pub(crate) fn step_down(&mut self, now: Timestamp) {
        if let Some(member) = &mut self.member {
            member.role = MemberRole::Follower;
            member.leader = None;
        }
        self.reset_election_deadline(now);
    }
}

/// Clears the incarnation if a test disables identity by incarnation.
fn effective_node_id(node: NodeId, mechanisms: &GroupMechanisms) -> NodeId {
    if mechanisms.incarnation_identity {
        return node;
    }
    NodeId { address: node.address, incarnation: Incarnation(0) }
}
