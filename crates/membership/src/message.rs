//! Messages of the membership protocol.

use quillhatch_types::NodeId;

use crate::member::{MemberInfo, MemberRecord, ZoneId};

/// One delegate's view of whether another zone is reachable from its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The delegate that probed.
    pub observer: NodeId,
    /// The probed zone.
    pub zone: ZoneId,
    /// Incremented by the observer with every change of one of its views.
    pub version: u64,
    /// Whether the zone is reachable.
    pub reachable: bool,
}

/// A digest of a node's records of one zone's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneId,
    /// The digest.
    pub digest: u64,
}

/// The type of a message, with the fields of that type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Requests an acknowledgement.
    Ping,
    /// Answers a ping, or reports to a requester that `subject` answered.
    Acknowledge {
        /// The member that answered the ping, if it is not the sender.
        subject: Option<MemberInfo>,
    },
    /// Asks the receiver to ping `subject` and to forward the acknowledgement.
    PingRequest {
        /// The member to ping.
        subject: MemberInfo,
    },
    /// Requests all records of the zones whose digest differs.
    SyncRequest {
        /// The sender's digests. The sender has no records of zones that are missing here.
        digests: Vec<ZoneDigest>,
    },
    /// One page of records in answer to a sync request, or the announcement of a node that leaves.
    SyncAnswer,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// Matches an acknowledgement to its ping or ping request; 0 in sync messages.
    pub sequence: u64,
    /// The sender's record of itself. The message shows that it is alive, unless the record says that it left.
    pub sender: MemberRecord,
    /// The type of the message.
    pub body: MessageBody,
    /// Member records gossiped or synchronized by the sender.
    pub members: Vec<MemberRecord>,
    /// Zone views gossiped by the sender.
    pub zones: Vec<ZoneRecord>,
}
