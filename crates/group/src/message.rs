//! The messages between the nodes of a group.

use quillhatch_types::{Epoch, Generation, NodeId};

use crate::log::Entry;
use crate::voters::VoterSet;

/// One forming of a group.
///
/// The generation orders formings; the founder tells apart two that forgotten memory gave the same generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupIdentity {
    /// Rises with every forming that its founder could know of.
    pub generation: Generation,
    /// The node that formed the group.
    pub founder: NodeId,
}

/// What every member knows of the forming of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FormationRecord {
    /// The group.
    pub identity: GroupIdentity,
    /// Whether an earlier group's agreements may have been lost.
    pub claims_lost: bool,
    /// The highest epoch that anyone asked during the forming remembered.
    pub epoch: Epoch,
}

/// What a node with state knows of its group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupView {
    /// The group.
    pub identity: GroupIdentity,
    /// The node's term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// The latest voters in the node's log.
    pub voters: VoterSet,
    /// Up to where the node knows the log to be committed.
    pub commit_index: u64,
}

/// What a node answers when asked whether a group exists.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// The round of the inquiry that is answered; zero if nobody asked.
    pub round: u64,
    /// Whether the node would take part in forming a group now.
    pub free: bool,
    /// Whether the node remembers no group, no forming and no epoch, and its configuration calls the service new.
    pub blank: bool,
    /// The highest generation that the node remembers.
    pub generation: Generation,
    /// The highest epoch that the node's host remembers.
    pub epoch: Epoch,
    /// The node's group, if it has state.
    pub view: Option<GroupView>,
}

/// A request to consent to a forming.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FormRequest {
    /// The group to be formed.
    pub record: FormationRecord,
    /// Its first voters; every one of them must consent.
    pub voters: VoterSet,
}

/// The answer to a request to form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FormReply {
    /// The group that was to be formed.
    pub identity: GroupIdentity,
    /// Whether the node consents.
    pub granted: bool,
    /// The highest generation that the node remembers.
    pub generation: Generation,
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteRequest {
    /// The group.
    pub identity: GroupIdentity,
    /// The term that the candidate stands for.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Whether only asked beforehand.
    pub pre_vote: bool,
    /// Whether the leader itself asked for the election.
    pub transfer: bool,
}

/// The answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The term voted in, or the voter's higher term.
    pub term: u64,
    /// Whether the vote was given.
    pub granted: bool,
    /// Whether it answers a question beforehand.
    pub pre_vote: bool,
}

/// Entries, or none for a heartbeat, from a leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Append {
    /// The group.
    pub record: FormationRecord,
    /// The leader's term.
    pub term: u64,
    /// Microseconds on the leader's clock when it was sent; only the leader may read it.
    pub sent: u64,
    /// Index of the entry before the first one sent.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Up to where the leader's log is committed.
    pub commit_index: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The follower's term.
    pub term: u64,
    /// The leader's own time stamp, given back.
    pub sent: u64,
    /// Whether the entries fitted.
    pub success: bool,
    /// On success the index up to which both logs agree, otherwise where the leader should try.
    pub index: u64,
}

/// A piece of the leader's snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotChunk {
    /// The group.
    pub record: FormationRecord,
    /// The leader's term.
    pub term: u64,
    /// Microseconds on the leader's clock when it was sent.
    pub sent: u64,
    /// Index of the last entry in the snapshot.
    pub index: u64,
    /// Term of that entry.
    pub index_term: u64,
    /// The voters at that entry.
    pub voters: VoterSet,
    /// Where the piece starts, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// The answer to a piece of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The follower's term.
    pub term: u64,
    /// The leader's own time stamp, given back.
    pub sent: u64,
    /// Which snapshot.
    pub index: u64,
    /// Bytes held of it.
    pub received: u64,
}

/// A message between two nodes of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GroupMessage {
    /// Asks whether a group exists; the round is given back.
    Inquiry {
        /// Names the question.
        round: u64,
    },
    /// What the node knows.
    Answer(Answer),
    /// Asks for consent to form a group.
    FormRequest(FormRequest),
    /// Gives or refuses it.
    FormReply(FormReply),
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Gives or refuses it.
    VoteReply(VoteReply),
    /// Replicates.
    Append(Append),
    /// Answers an append.
    AppendReply(AppendReply),
    /// Brings a newcomer up to date.
    SnapshotChunk(SnapshotChunk),
    /// Answers a piece of a snapshot.
    SnapshotReply(SnapshotReply),
    /// The leader hands leadership on to the receiver.
    ElectNow {
        /// The group.
        identity: GroupIdentity,
        /// The leader's term.
        term: u64,
    },
}

impl GroupMessage {
    /// The group that the message belongs to, unless it is about finding or forming one.
    pub(crate) fn identity(&self) -> Option<GroupIdentity> {
        match self {
            Self::Inquiry { .. } | Self::Answer(_) | Self::FormRequest(_) | Self::FormReply(_) => None,
            Self::VoteRequest(request) => Some(request.identity),
            Self::VoteReply(reply) => Some(reply.identity),
            Self::Append(append) => Some(append.record.identity),
            Self::AppendReply(reply) => Some(reply.identity),
            Self::SnapshotChunk(chunk) => Some(chunk.record.identity),
            Self::SnapshotReply(reply) => Some(reply.identity),
            Self::ElectNow { identity, .. } => Some(*identity),
        }
    }

    /// The record that a leader sends along.
    pub(crate) fn leader_record(&self) -> Option<FormationRecord> {
        match self {
            Self::Append(append) => Some(append.record),
            Self::SnapshotChunk(chunk) => Some(chunk.record),
            _ => None,
        }
    }
}
