//! The messages of failure detection.

use quillhatch_types::NodeId;

use crate::member::{MemberInfo, MemberRecord, ZoneId};

/// One observer's view of whether a zone can be reached from its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The delegate that probed.
    pub observer: NodeId,
    /// The zone probed.
    pub zone: ZoneId,
    /// Raised by the observer with every change of its view.
    pub version: u64,
    /// Whether the zone answers.
    pub reachable: bool,
}

/// A digest of all that a node knows of one zone's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneId,
    /// The digest.
    pub digest: u64,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for an acknowledgement.
    Ping,
    /// Answers a ping, or passes on that `subject` answered.
    Acknowledge {
        /// The member that answered, if it is not the sender.
        subject: Option<MemberInfo>,
    },
    /// Asks the receiver to ping `subject` and to pass its answer on.
    PingRequest {
        /// Whom to ping.
        subject: MemberInfo,
    },
    /// Asks for all records of the zones whose digest differs.
    SyncRequest {
        /// The sender's digests; zones that are missing here are unknown to the sender.
        digests: Vec<ZoneDigest>,
    },
    /// One page of records.
    SyncAnswer,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// Pairs an acknowledgement with its ping.
    pub sequence: u64,
    /// The sender, alive by the message itself.
    pub sender: MemberRecord,
    /// What the message is for.
    pub body: MessageBody,
    /// Records that the sender passes on.
    pub members: Vec<MemberRecord>,
    /// Views of zones that the sender passes on.
    pub zones: Vec<ZoneRecord>,
}
