//! Quorum rules: which sets of voters suffice for a decision.

use std::collections::BTreeSet;

use quillhatch_types::{NodeId, ServiceTable};

use crate::mechanisms::ClaimMechanisms;

/// The voters of a service and, while they change, the previous voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterRoster {
    current: Vec<NodeId>,
    previous: Vec<NodeId>,
}

impl VoterRoster {
    /// Takes the voters from a table.
    pub fn of_table(table: &ServiceTable) -> Self {
        VoterRoster { current: table.voters.clone(), previous: table.previous_voters.clone() }
    }

    /// The current voters.
    pub fn current(&self) -> &[NodeId] {
        &self.current
    }

    /// Whether the voters are changing.
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }

    /// All voters, current and previous, in ascending order.
    pub fn members(&self) -> BTreeSet<NodeId> {
        self.current.iter().chain(&self.previous).copied().collect()
    }

    /// The voter that a reply from `from` counts for, if any.
    ///
    /// A restarted process at a voter's address has lost the voter's claims and promises, so its reply must not count.
    pub fn member(&self, from: NodeId, mechanisms: ClaimMechanisms) -> Option<NodeId> {
        let matches = |member: &&NodeId| {
            if mechanisms.incarnation_check {
                **member == from
            } else {
                member.address == from.address
            }
        };
        self.current.iter().chain(&self.previous).find(matches).copied()
    }

    /// Whether `voters` contain a majority of the current voters and, while they change, of the previous voters.
    pub fn is_quorum(&self, voters: &BTreeSet<NodeId>, mechanisms: ClaimMechanisms) -> bool {
        let previous_needed = self.is_changing() && mechanisms.voter_overlap;
        self.is_current_quorum(voters, mechanisms)
            && (!previous_needed || has_majority(&self.previous, voters, mechanisms))
    }

    /// Whether `voters` contain a majority of the current voters.
    pub fn is_current_quorum(&self, voters: &BTreeSet<NodeId>, mechanisms: ClaimMechanisms) -> bool {
        has_majority(&self.current, voters, mechanisms)
    }
}

fn has_majority(set: &[NodeId], voters: &BTreeSet<NodeId>, mechanisms: ClaimMechanisms) -> bool {
    let count = set.iter().filter(|voter| voters.contains(voter)).count();
    if mechanisms.majority {
        count * 2 > set.len()
    } else {
        count > 0
    }
}
