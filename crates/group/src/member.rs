//! The state of a node that is a member of a group.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{NodeId, Timestamp};

use crate::log::ReplicatedLog;
use crate::message::FormationRecord;
use crate::voters::{ActiveSets, VoterSet};

/// The state of a member, lost when the process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GroupMember {
    pub record: FormationRecord,
    pub term: u64,
    pub vote: Option<NodeId>,
    pub leader: Option<NodeId>,
    pub log: ReplicatedLog,
    pub commit: u64,
    pub last_applied: u64,
    pub role: MemberRole,
    pub election_deadline: Timestamp,
    /// When this node last received a leader's message; on a leader, the send time that a quorum last acknowledged.
    pub contact: Timestamp,
    /// Whether a committed voter set has included this node.
    pub was_voter: bool,
    pub incoming: Option<IncomingSnapshot>,
    pub snapshot_requested: Option<u64>,
    /// Voters whose address answered as another run, so that they will never vote again.
    pub dead_voters: BTreeSet<NodeId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum MemberRole {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Leadership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leadership {
    pub progress: BTreeMap<NodeId, FollowerProgress>,
    pub heartbeat_due: Timestamp,
    pub lease_until: Option<Timestamp>,
    /// Index of the first entry of the term; reads are served only once it is committed.
    pub opening: u64,
    pub transfer: Option<LeadershipTransfer>,
    /// Nodes that asked to join, and when they last answered an inquiry.
    pub joiners: BTreeMap<NodeId, Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeadershipTransfer {
    pub to: NodeId,
    pub since: Timestamp,
}

/// Replication progress of a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FollowerProgress {
    pub match_index: u64,
    pub next_index: u64,
    /// Send time of the latest message that the follower answered.
    pub answered: Option<Timestamp>,
    /// Whether the follower's log did not match; until it does, sending does not advance `next_index`.
    pub probing: bool,
    /// Whether the follower answered since the last heartbeat.
    pub answered_since_heartbeat: bool,
    pub snapshot: Option<OutgoingSnapshot>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OutgoingSnapshot {
    pub index: u64,
    pub offset: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IncomingSnapshot {
    pub index: u64,
    pub leader_term: u64,
    pub total: u64,
    pub bytes: Vec<u8>,
}

impl FollowerProgress {
    pub fn starting_at(next_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            answered: None,
            probing: false,
            answered_since_heartbeat: true,
            snapshot: None,
        }
    }
}

impl GroupMember {
    pub fn follower(record: FormationRecord, now: Timestamp, election_deadline: Timestamp) -> Self {
        Self {
            record,
            term: 0,
            vote: None,
            leader: None,
            log: ReplicatedLog::default(),
            commit: 0,
            last_applied: 0,
            role: MemberRole::Follower,
            election_deadline,
            contact: now,
            was_voter: false,
            incoming: None,
            snapshot_requested: None,
            dead_voters: BTreeSet::new(),
        }
    }

    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            MemberRole::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            MemberRole::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub fn is_leader(&self) -> bool {
        self.leadership().is_some()
    }

    pub fn latest_voters(&self) -> VoterSet {
        self.log.latest_voters().map(|(_, set)| set.clone()).unwrap_or_default()
    }

    pub fn is_voter(&self, node: &NodeId) -> bool {
        self.log.latest_voters().is_some_and(|(_, set)| set.voters.contains(node))
    }

    /// Whether the latest change of voters is not known to be committed.
    pub fn change_pending(&self) -> bool {
        self.log.latest_voters().is_some_and(|(since, _)| since > self.commit)
    }

    /// The voter sets that must each have a quorum now; with `both`, the previous set counts until a change commits.
    pub fn active_sets(&self, both: bool, cover_electorate: bool) -> Option<ActiveSets<'_>> {
        let (since, latest) = self.log.latest_voters()?;
        let pending = both && since > self.commit;
        let previous = if pending { self.log.previous_voters() } else { None };
        Some(ActiveSets { latest, previous, cover_electorate })
    }
}
