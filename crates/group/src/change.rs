//! Changes of voters: one at a time, committed by quorums of the old and of the new voters.

use std::collections::BTreeSet;

use quillhatch_types::{NodeAddress, NodeId, Timestamp};

use crate::group::Group;
use crate::io::{GroupOutput, ProposalRefusal, ProposalResult};
use crate::log::Payload;
use crate::member::GroupMember;
use crate::settings::MAX_VOTERS;
use crate::voters::VoterSet;

/// A joiner may be added for this many inquiry intervals after it last answered an inquiry.
const JOINER_FRESHNESS_INTERVALS: u32 = 8;

impl Group {
    pub(crate) fn on_change_voters(
        &mut self,
        now: Timestamp,
        ticket: u64,
        add: Option<NodeId>,
        remove: Option<NodeId>,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let result = match self.changed_voters(now, add, remove) {
            Ok(voters) => self.append_voters(now, voters, outputs),
            Err(refusal) => ProposalResult::Refused(refusal),
        };
        outputs.push(GroupOutput::Proposed { ticket, result });
    }

    fn append_voters(&mut self, now: Timestamp, voters: VoterSet, outputs: &mut Vec<GroupOutput>) -> ProposalResult {
        // Starts a new round, so that the answers counted from now on were given after the change and hold for the new
        // voters.
        self.survey.start_round(now + self.settings.formation_retry);
        self.append_and_replicate(now, Payload::Voters(voters), outputs)
    }

    fn changed_voters(
        &self,
        now: Timestamp,
        add: Option<NodeId>,
        remove: Option<NodeId>,
    ) -> Result<VoterSet, ProposalRefusal> {
        let member = self.require_leader()?;
        if member.change_pending() && self.settings.mechanisms.one_at_a_time {
            return Err(ProposalRefusal::ChangePending);
        }
        let current = member.latest_voters();
        let mut next = current.clone();
        if let Some(node) = remove {
            next.voters.remove(&node);
        }
        if let Some(node) = add {
            self.check_joiner(now, member, node)?;
            // The run that asks to join proves that earlier runs at its address have ended.
            next.voters.retain(|voter| voter.address != node.address);
            next.voters.insert(node);
        }
        if next == current {
            return Err(ProposalRefusal::NothingToChange);
        }
        if next.voters.is_empty() || next.voters.len() > MAX_VOTERS || !next.can_form_quorum() {
            return Err(ProposalRefusal::InvalidVoters);
        }
        Ok(next)
    }

    /// Accepts only a node that recently answered. If a group of one added a node that is not running, it would wait
    /// for that node's vote forever.
    fn check_joiner(&self, now: Timestamp, member: &GroupMember, node: NodeId) -> Result<(), ProposalRefusal> {
        if member.is_voter(&node) {
            return Ok(());
        }
        let freshness = self.settings.formation_retry * JOINER_FRESHNESS_INTERVALS;
        let seen = member.leadership().and_then(|leadership| leadership.joiners.get(&node));
        match seen {
            Some(seen) if now.since(*seen) <= freshness => Ok(()),
            _ => Err(ProposalRefusal::NotJoining),
        }
    }

    /// Changes the electorate by one address toward the configured one, so that majorities before and after intersect.
    pub(crate) fn step_electorate(&mut self, now: Timestamp, outputs: &mut Vec<GroupOutput>) {
        let Some(requirements) = &self.requirements else {
            return;
        };
        let wanted: BTreeSet<NodeAddress> = requirements.electorate.iter().copied().collect();
        let Ok(member) = self.require_leader() else {
            return;
        };
        if member.change_pending() {
            return;
        }
        if let Some(next) = member.latest_voters().step_toward_electorate(&wanted) {
            self.append_voters(now, next, outputs);
        }
    }
}
