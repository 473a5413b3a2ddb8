//! Formation of a group when none exists, and the fence that stops members of a new group from answering an older one.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use quillhatch_types::{Generation, NodeAddress, NodeId, Timestamp};

use crate::group::Group;
use crate::io::{FormRequirements, GroupOutput};
use crate::log::{Entry, Payload};
use crate::member::GroupMember;
use crate::message::{Answer, FormReply, FormRequest, FormationRecord, GroupIdentity, GroupMessage};
use crate::voters::VoterSet;

/// Maximum random step by which the generation grows when state may have been lost.
///
/// The random step makes it unlikely that two formations that do not know of each other get the same generation. If
/// they do, the founder still distinguishes the groups.
const MAX_GENERATION_STEP: u64 = 1 << 16;

/// Maximum number of abandoned groups that are remembered; the lowest identity is dropped first.
const MAX_ABANDONED_GROUPS: usize = 16;

/// This node's own attempt to form a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FormationAttempt {
    pub request: FormRequest,
    pub granted: BTreeSet<NodeId>,
    pub resend_at: Timestamp,
    pub ends_at: Timestamp,
}

/// The last group that this node consented to or joined.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FormationPromise {
    pub record: FormationRecord,
    pub at: Timestamp,
    /// Until then the node consents to no other founder, so that the formation can complete.
    pub engaged_until: Timestamp,
    pub joined: bool,
}

/// A node that would consent to a formation.
struct ReadyNode {
    node: NodeId,
    blank: bool,
    state: (Generation, u64),
}

impl Group {
    pub(crate) fn on_form(&mut self, now: Timestamp, requirements: FormRequirements, outputs: &mut Vec<GroupOutput>) {
        self.remembered_generation = self.remembered_generation.max(requirements.minimum_generation);
        self.remembered_epoch = self.remembered_epoch.max(requirements.minimum_epoch);
        let first = self.requirements.is_none();
        if self.requirements.as_ref() == Some(&requirements) {
            return;
        }
        self.requirements = Some(requirements);
        if first && self.member.is_none() {
            self.waiting_since = now;
            self.send_inquiries(now, outputs);
            // If this node is the whole electorate, there is no answer to wait for.
            self.form_if_complete(now, outputs);
        }
    }

    /// Whether this node would consent to a formation now.
    ///
    /// A node that has just started waits for the minimum election timeout, because its earlier run may have extended a
    /// leader's lease that is still valid.
    pub(crate) fn is_free(&self, now: Timestamp) -> bool {
        let started = self.started.unwrap_or(now);
        let settled = now.since(started) >= self.settings.election_timeout_minimum;
        if !settled || self.stopping {
            return false;
        }
        let Some(member) = &self.member else {
            return true;
        };
        let since_contact = now.since(member.contact);
        let leaderless = !member.is_leader() && since_contact >= self.settings.election_timeout_minimum;
        leaderless && (self.has_lost_quorum(member) || since_contact >= self.settings.abandon_after)
    }

    fn ready_nodes(&self, now: Timestamp, electorate: &BTreeSet<NodeAddress>) -> Vec<ReadyNode> {
        let own = self.answer(now, 0, self.node);
        let own = std::iter::once((self.node, &own));
        let others = self.survey.answers.values().map(|(node, answer)| (*node, answer));
        let answers = own.chain(others).filter(|(node, answer)| answer.free && electorate.contains(&node.address));
        let mut ready: Vec<ReadyNode> = answers.map(|(node, answer)| ready_node(node, answer)).collect();
        // The node with the most state of an older group comes first, so that its host can propose what it still has.
        ready.sort_by_key(|ready| (Reverse(ready.state), ready.node));
        ready
    }

    fn group_exists(&self) -> bool {
        self.survey.answers.values().any(|(_, answer)| answer.view.is_some() && !answer.free)
    }

    fn may_start_formation(&self, now: Timestamp, electorate: &BTreeSet<NodeAddress>) -> bool {
        let involved = self.attempt.is_some() || self.is_engaged(now, self.node) || now < self.next_attempt_after;
        electorate.contains(&self.node.address) && self.is_free(now) && !involved && !self.group_exists()
    }

    /// Whether a recent consent to a founder other than `founder` is still in effect.
    pub(crate) fn is_engaged(&self, now: Timestamp, founder: NodeId) -> bool {
        self.promise.as_ref().is_some_and(|promise| {
            let open = !promise.joined && now < promise.engaged_until;
            open && promise.record.identity.founder != founder
        })
    }

    /// Starts a formation immediately if the whole electorate is free and this node is first in the order.
    pub(crate) fn form_if_complete(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some((electorate, ready)) = self.electorate_and_ready(now) else {
            return;
        };
        if ready.len() == electorate.len() && ready.first().is_some_and(|first| first.node == self.node) {
            self.start_attempt(now, electorate, ready, outputs);
        }
    }

    /// At the end of a round, starts a formation with a majority if `formation_wait` has passed without the others.
    pub(crate) fn end_round(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some((electorate, ready)) = self.electorate_and_ready(now) else {
            self.eligible_since = None;
            return;
        };
        let waited = now.since(self.waiting_since) >= self.settings.formation_wait;
        if !waited || ready.len() * 2 <= electorate.len() {
            self.eligible_since = None;
            return;
        }
        let eligible_since = *self.eligible_since.get_or_insert(now);
        let rank = ready.iter().position(|ready| ready.node == self.node).unwrap_or(ready.len());
        // The first node in the order starts; each later one only if the nodes before it have not formed a group.
        let start_at = eligible_since + self.settings.formation_wait * u32::try_from(rank).unwrap_or(u32::MAX);
        if now >= start_at {
            self.start_attempt(now, electorate, ready, outputs);
        }
    }

    fn electorate_and_ready(&self, now: Timestamp) -> Option<(BTreeSet<NodeAddress>, Vec<ReadyNode>)> {
        let requirements = self.requirements.as_ref()?;
        let electorate: BTreeSet<NodeAddress> = requirements.electorate.iter().copied().collect();
        if !self.may_start_formation(now, &electorate) {
            return None;
        }
        let ready = self.ready_nodes(now, &electorate);
        Some((electorate, ready))
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        electorate: BTreeSet<NodeAddress>,
        ready: Vec<ReadyNode>,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let complete = ready.len() == electorate.len();
        let proven_new = complete && ready.iter().all(|ready| ready.blank);
        let claims_lost = !proven_new && self.settings.mechanisms.loss_statement;
        let step = if proven_new { 1 } else { self.random.step_up_to(MAX_GENERATION_STEP) };
        let generation = Generation(self.remembered_generation.0 + step);
        let identity = GroupIdentity { generation, founder: self.node };
        let record = FormationRecord { identity, claims_lost, epoch: self.remembered_epoch };
        let voters = ready.iter().map(|ready| ready.node).collect();
        let request = FormRequest { record, voters: VoterSet { voters, electorate } };
        self.abandon_membership(now, outputs);
        self.consent(now, record);
        self.attempt = Some(FormationAttempt {
            request,
            granted: BTreeSet::from([self.node]),
            resend_at: now,
            ends_at: now + self.settings.formation_wait,
        });
        self.resend_attempt(now, outputs);
        self.lead_if_granted(now, outputs);
    }

    fn consent(&mut self, now: Timestamp, record: FormationRecord) {
        self.remembered_generation = self.remembered_generation.max(record.identity.generation);
        let engaged_until = now + self.settings.formation_wait;
        self.promise = Some(FormationPromise { record, at: now, engaged_until, joined: false });
    }

    pub(crate) fn resend_attempt(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let retry = self.settings.formation_retry;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if now < attempt.resend_at {
            return;
        }
        if now > attempt.ends_at {
            self.end_attempt(now);
            return;
        }
        attempt.resend_at = now + retry;
        let request = attempt.request.clone();
        for voter in request.voters.voters.difference(&attempt.granted) {
            outputs.push(GroupOutput::Send { to: *voter, message: GroupMessage::FormRequest(request.clone()) });
        }
    }

    /// Ends this node's attempt. The node may then consent to another founder, and retries after a random pause.
    ///
    /// Without the pause two founders could refuse each other forever.
    fn end_attempt(&mut self, now: Timestamp) {
        let settings = &self.settings;
        let pause = self.random.duration_between(settings.formation_retry, settings.formation_wait);
        self.attempt = None;
        self.eligible_since = None;
        self.next_attempt_after = now + pause;
        if let Some(promise) = &mut self.promise {
            promise.engaged_until = now;
        }
    }

    pub(crate) fn on_form_request(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: FormRequest,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let identity = request.record.identity;
        let granted = self.accepts_formation(now, from, &request);
        if granted && !self.has_consented(identity) {
            self.abandon_membership(now, outputs);
            self.attempt = None;
            self.consent(now, request.record);
        }
        let reply = FormReply { identity, granted, generation: self.remembered_generation };
        self.send(from, GroupMessage::FormReply(reply), outputs);
    }

    fn has_consented(&self, identity: GroupIdentity) -> bool {
        self.promise.as_ref().is_some_and(|promise| promise.record.identity == identity)
    }

    fn accepts_formation(&self, now: Timestamp, from: NodeId, request: &FormRequest) -> bool {
        let identity = request.record.identity;
        if identity.founder != from || !request.voters.voters.contains(&self.node) {
            return false;
        }
        if self.has_consented(identity) {
            return !self.abandoned_groups.contains(&identity);
        }
        // Nodes with different configured electorates must not form a group that only one of the configurations allows.
        let same_electorate = self.requirements.as_ref().is_none_or(|requirements| {
            let own: BTreeSet<NodeAddress> = requirements.electorate.iter().copied().collect();
            own == request.voters.electorate
        });
        let above = identity.generation > self.remembered_generation;
        same_electorate && above && self.is_free(now) && !self.is_engaged(now, from)
    }

    pub(crate) fn on_form_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: FormReply,
        outputs: &mut Vec<GroupOutput>,
    ) {
        self.remembered_generation = self.remembered_generation.max(reply.generation);
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if reply.identity != attempt.request.record.identity {
            return;
        }
        if !reply.granted {
            self.end_attempt(now);
            return;
        }
        attempt.granted.insert(from);
        self.lead_if_granted(now, outputs);
    }

    /// Once every initial voter has consented, joins the new group and leads its first term.
    fn lead_if_granted(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let complete = self.attempt.as_ref().is_some_and(|attempt| {
            let voters = &attempt.request.voters;
            voters.voters.is_subset(&attempt.granted)
        });
        if !complete {
            return;
        }
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.join(now, attempt.request.record, outputs);
        if let Some(member) = &mut self.member {
            member.vote = Some(self.node);
            member.log.append(Entry { term: member.term, payload: Payload::Voters(attempt.request.voters) });
        }
        self.become_leader(now, outputs);
    }

    /// Becomes a member with an empty log, or resumes retained state of the same group.
    ///
    /// The founder leads the first term, so the member's vote in that term is set to the founder.
    pub(crate) fn join(&mut self, now: Timestamp, record: FormationRecord, outputs: &mut Vec<GroupOutput>) {
        let identity = record.identity;
        if let Some(retired) = self.retired.take_if(|retired| retired.record.identity == identity) {
            self.resume(now, retired, outputs);
            return;
        }
        self.abandon_membership(now, outputs);
        let mut member = GroupMember::follower(record, now, now);
        member.term = FIRST_TERM;
        member.vote = Some(identity.founder);
        self.member = Some(member);
        self.reset_election_deadline(now);
        self.attempt = None;
        self.eligible_since = None;
        self.remembered_generation = self.remembered_generation.max(identity.generation);
        self.remembered_epoch = self.remembered_epoch.max(record.epoch);
        self.promise = Some(FormationPromise { record, at: now, engaged_until: now, joined: true });
        let (claims_lost, epoch) = (record.claims_lost, record.epoch);
        outputs.push(GroupOutput::Formed { generation: identity.generation, claims_lost, epoch });
    }

    /// Decides whether to process a message of a group; joins the sender's group if that is allowed.
    pub(crate) fn enter_group_of(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: &GroupMessage,
        outputs: &mut Vec<GroupOutput>,
    ) -> bool {
        let Some(identity) = message.identity() else {
            return false;
        };
        if self.identity() == Some(identity) {
            return true;
        }
        let offered = message.leader_record().or_else(|| self.record_for_vote(identity, message));
        if let Some(record) = offered.filter(|_| self.may_join(now, identity)) {
            self.join(now, record, outputs);
            return true;
        }
        let request = matches!(message, GroupMessage::Append(_) | GroupMessage::VoteRequest(_));
        if self.member.is_some() && request {
            let answer = self.answer(now, 0, from);
            self.send(from, GroupMessage::Answer(answer), outputs);
        }
        false
    }

    /// The record to join with on a vote request: an initial voter that consented may vote before it has received the
    /// founder's first message.
    fn record_for_vote(&self, identity: GroupIdentity, message: &GroupMessage) -> Option<FormationRecord> {
        if !matches!(message, GroupMessage::VoteRequest(_)) || self.member.is_some() {
            return None;
        }
        if !self.settings.mechanisms.incarnation_identity {
            return Some(FormationRecord { identity, claims_lost: false, epoch: self.remembered_epoch });
        }
        let promise = self.promise.as_ref()?;
        (promise.record.identity == identity && !promise.joined).then_some(promise.record)
    }

    /// The fence: a node that consented to a group joins no older one, unless it abandons the newer group.
    fn may_join(&mut self, now: Timestamp, identity: GroupIdentity) -> bool {
        if !self.settings.mechanisms.forming_fence {
            return true;
        }
        if self.abandoned_groups.contains(&identity) {
            return false;
        }
        let Some(promise) = &self.promise else {
            return true;
        };
        let promised = promise.record.identity;
        if identity == promised || identity.generation > promised.generation {
            return true;
        }
        let unused = !promise.joined && now.since(promise.at) >= self.settings.abandon_after;
        let dead = self.member.as_ref().is_some_and(|member| self.has_lost_quorum(member));
        if unused || dead {
            self.abandon_group(promised);
            return true;
        }
        false
    }

    pub(crate) fn abandon_group(&mut self, identity: GroupIdentity) {
        self.abandoned_groups.insert(identity);
        if self.abandoned_groups.len() > MAX_ABANDONED_GROUPS {
            self.abandoned_groups.pop_first();
        }
    }
}

/// The first term of every group.
const FIRST_TERM: u64 = 1;

fn ready_node(node: NodeId, answer: &Answer) -> ReadyNode {
    let state = answer.view.as_ref().map(|view| (view.identity.generation, view.commit_index));
    ReadyNode { node, blank: answer.blank, state: state.unwrap_or_default() }
}
