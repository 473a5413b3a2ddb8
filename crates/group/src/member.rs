//! The state of a node that is a member of a group.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_types::{NodeId, Timestamp};

use crate::log::Log;
use crate::message::FormationRecord;
use crate::voters::{ActiveSets, VoterSet};

/// What a member remembers; gone with the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub record: FormationRecord,
    pub term: u64,
    pub vote: Option<NodeId>,
    pub leader: Option<NodeId>,
    pub log: Log,
    pub commit: u64,
    pub last_applied: u64,
    pub position: Position,
    pub election_deadline: Timestamp,
    /// When a leader was last heard, or when this node as a leader last had a majority's answer.
    pub contact: Timestamp,
    /// Whether agreed voters have named this node.
    pub was_voter: bool,
    pub incoming: Option<IncomingSnapshot>,
    pub snapshot_requested: Option<u64>,
    /// Voters of which a later run has answered, so that they will never vote again.
    pub dead: BTreeSet<NodeId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Position {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Leadership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leadership {
    pub progress: BTreeMap<NodeId, Progress>,
    pub heartbeat_due: Timestamp,
    pub lease_until: Option<Timestamp>,
    /// Index of the entry that opened the term; reads wait for it.
    pub opening: u64,
    pub transfer: Option<Transfer>,
    /// Nodes without state that asked to be taken in, and when they last proved to be alive.
    pub joiners: BTreeMap<NodeId, Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Transfer {
    pub to: NodeId,
    pub since: Timestamp,
}

/// How far a follower has got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    pub match_index: u64,
    pub next_index: u64,
    /// Send time of the newest message that was answered.
    pub answered: Option<Timestamp>,
    /// Whether the follower's log did not fit; until it does, nothing is sent ahead of its answers.
    pub probing: bool,
    /// Whether an answer came since the last heartbeat.
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

impl Progress {
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

impl Member {
    pub fn follower(record: FormationRecord, now: Timestamp, election_deadline: Timestamp) -> Self {
        Self {
            record,
            term: 0,
            vote: None,
            leader: None,
            log: Log::default(),
            commit: 0,
            last_applied: 0,
            position: Position::Follower,
            election_deadline,
            contact: now,
            was_voter: false,
            incoming: None,
            snapshot_requested: None,
            dead: BTreeSet::new(),
        }
    }

    pub fn leadership(&self) -> Option<&Leadership> {
        match &self.position {
            Position::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.position {
            Position::Leader(leadership) => Some(leadership),
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

    /// Whether the latest change of voters is not known to be agreed.
    pub fn change_pending(&self) -> bool {
        self.log.latest_voters().is_some_and(|(since, _)| since > self.commit)
    }

    /// The sets that must agree now.
    pub fn active_sets(&self, both: bool, cover_electorate: bool) -> Option<ActiveSets<'_>> {
        let (since, latest) = self.log.latest_voters()?;
        let pending = both && since > self.commit;
        let previous = if pending { self.log.previous_voters() } else { None };
        Some(ActiveSets { latest, previous, cover_electorate })
    }
}
