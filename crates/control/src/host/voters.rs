//! The leader's management of the group's voters: changes them one at a time towards the configured electorate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quillhatch_group::{GroupInput, VoterSet};
use quillhatch_types::{NodeAddress, NodeId, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::state::Command;

/// How long a request to join is retained.
const JOIN_REQUEST_EXPIRY: Duration = Duration::from_secs(2);

/// The maximum time that the next change of voters waits for the owners to settle on the previous one.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum time between two attempts to change the voters.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Default)]
pub(crate) struct VoterChanges {
    committed: Option<VoterSet>,
    joining: BTreeMap<NodeAddress, (NodeId, Timestamp)>,
    change: Option<u64>,
    last_change: Timestamp,
}

impl VoterChanges {
    pub fn on_changed(&mut self, voters: VoterSet) {
        self.committed = Some(voters);
    }

    pub fn on_join_requested(&mut self, now: Timestamp, node: NodeId) {
        self.joining.insert(node.address, (node, now));
    }

    pub fn on_proposed(&mut self, ticket: u64) {
        if self.change == Some(ticket) {
            self.change = None;
        }
    }
}

impl ServiceHost {
    /// The command that updates the replicated state to the group's current voters, if they differ.
    pub(crate) fn voter_command(&self) -> Option<Command> {
        let committed: &BTreeSet<NodeId> = &self.voters.committed.as_ref()?.voters;
        (*committed != self.state.voters).then(|| Command::SetVoters(committed.iter().copied().collect()))
    }

    pub(crate) fn change_voters_if_due(&mut self, step: &mut HostStep<'_>) {
        let (now, last) = (step.now, self.voters.last_change);
        self.voters.joining.retain(|_, (_, at)| now.since(*at) < JOIN_REQUEST_EXPIRY);
        // Until the owners have settled on the last change, a takeover needs the voters before it.
        let settled = self.state.previous_voters.is_empty() || now.since(last) > SETTLE_TIMEOUT;
        let is_up_to_date = self.voter_command().is_none();
        if !self.state.is_founded() || !settled || !is_up_to_date || now.since(last) < CHANGE_INTERVAL {
            return;
        }
        let Some((add, remove)) = self.next_voter_change() else {
            return;
        };
        self.last_ticket += 1;
        self.voters.change = Some(self.last_ticket);
        self.voters.last_change = now;
        self.step_group(step, GroupInput::ChangeVoters { ticket: self.last_ticket, add, remove });
    }

    fn next_voter_change(&self) -> Option<(Option<NodeId>, Option<NodeId>)> {
        let wanted = &self.electorate;
        let present = self.group.voters();
        let newcomers = wanted.iter().filter_map(|address| self.voters.joining.get(address));
        let mut missing = newcomers.filter(|(node, _)| !present.voters.contains(node));
        if let Some((node, _)) = missing.next() {
            return Some((Some(*node), None));
        }
        let complete = wanted.iter().all(|address| present.at(*address).is_some());
        let mut surplus = present.voters.iter().filter(|voter| !wanted.contains(&voter.address));
        surplus.next().filter(|_| complete).map(|voter| (None, Some(*voter)))
    }
}
