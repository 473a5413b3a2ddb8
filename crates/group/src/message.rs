//! The messages between the nodes of a group.

use quillhatch_types::{Epoch, Generation, NodeId};

use crate::log::Entry;
use crate::voters::VoterSet;

/// Identifies a group by its formation.
///
/// The generation orders formations. Two formations can have the same generation if nodes lost their memory in between;
/// the founder then distinguishes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupIdentity {
    /// Higher than that of every earlier formation that the founder knew of.
    pub generation: Generation,
    /// The node that formed the group.
    pub founder: NodeId,
}

/// What every member knows of the formation of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FormationRecord {
    /// The group.
    pub identity: GroupIdentity,
    /// Whether commands that an earlier group committed may be lost.
    pub claims_lost: bool,
    /// The highest epoch that any node reported during the formation.
    pub epoch: Epoch,
}

/// What a member knows of its group.
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
    /// The node's commit index.
    pub commit_index: u64,
}

/// The answer to an inquiry whether a group exists.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// The round of the inquiry that is answered; zero if the answer was sent without an inquiry.
    pub round: u64,
    /// Whether the node would currently consent to the formation of a group.
    pub free: bool,
    /// Whether the node remembers no group, no formation and no epoch, and its configuration marks the service as new.
    pub blank: bool,
    /// The highest generation that the node remembers.
    pub generation: Generation,
    /// The highest epoch that the node's host remembers.
    pub epoch: Epoch,
    /// The node's group, if it is a member of one.
    pub view: Option<GroupView>,
}

/// A request to consent to the formation of a group.
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
    /// The term in which the candidate wants to lead.
    pub term: u64,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// Whether this is a pre-vote.
    pub pre_vote: bool,
    /// Whether the leader requested the election to transfer its leadership.
    pub transfer: bool,
}

/// The answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The term of the request if the vote was granted, otherwise the voter's term.
    pub term: u64,
    /// Whether the vote was granted.
    pub granted: bool,
    /// Whether it answers a pre-vote.
    pub pre_vote: bool,
}

/// Entries from a leader; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Append {
    /// The group.
    pub record: FormationRecord,
    /// The leader's term.
    pub term: u64,
    /// Send time in microseconds on the leader's clock; only the leader may interpret it.
    pub sent: u64,
    /// Index of the entry before the first one sent.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// The leader's commit index.
    pub commit_index: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The reply to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The follower's term.
    pub term: u64,
    /// The `sent` time of the append.
    pub sent: u64,
    /// Whether the follower's log matches the leader's up to `index`.
    pub success: bool,
    /// On success the index up to which both logs match, otherwise the index after which the leader should retry.
    pub index: u64,
}

/// A chunk of the leader's snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotChunk {
    /// The group.
    pub record: FormationRecord,
    /// The leader's term.
    pub term: u64,
    /// Send time in microseconds on the leader's clock; only the leader may interpret it.
    pub sent: u64,
    /// Index of the last entry in the snapshot.
    pub index: u64,
    /// Term of that entry.
    pub index_term: u64,
    /// The voters at that entry.
    pub voters: VoterSet,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// The chunk.
    pub bytes: Vec<u8>,
}

/// The reply to a chunk of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotReply {
    /// The group.
    pub identity: GroupIdentity,
    /// The follower's term.
    pub term: u64,
    /// The `sent` time of the chunk.
    pub sent: u64,
    /// Index of the last entry in the snapshot.
    pub index: u64,
    /// Number of bytes of the snapshot that the follower has received.
    pub received: u64,
}

/// A message between two nodes of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GroupMessage {
    /// Asks whether a group exists.
    Inquiry {
        /// Returned in the answer, to match it with the current round of inquiries.
        round: u64,
    },
    /// Answers an inquiry.
    Answer(Answer),
    /// Requests consent to the formation of a group.
    FormRequest(FormRequest),
    /// Grants or refuses the consent.
    FormReply(FormReply),
    /// Requests a vote or pre-vote.
    VoteRequest(VoteRequest),
    /// Grants or refuses the vote.
    VoteReply(VoteReply),
    /// Replicates log entries, or serves as a heartbeat.
    Append(Append),
    /// Answers an append.
    AppendReply(AppendReply),
    /// Sends a chunk of a snapshot to a follower whose missing entries are already compacted.
    SnapshotChunk(SnapshotChunk),
    /// Answers a chunk of a snapshot.
    SnapshotReply(SnapshotReply),
    /// Transfers leadership: the receiver starts an election immediately.
    ElectNow {
        /// The group.
        identity: GroupIdentity,
        /// The leader's term.
        term: u64,
    },
}

impl GroupMessage {
    /// The group that the message belongs to; `None` for inquiries and formation messages.
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

    /// The formation record in a leader's message.
    pub(crate) fn leader_record(&self) -> Option<FormationRecord> {
        match self {
            Self::Append(append) => Some(append.record),
            Self::SnapshotChunk(chunk) => Some(chunk.record),
            _ => None,
        }
    }
}
