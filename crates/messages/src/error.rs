//! Errors of building and verifying frames.

use derive_more::{Display, Error};
use quillhatch_types::NodeId;

use crate::key::KeyId;
use crate::version::ProtocolVersion;

/// Why a frame is rejected or can't be built.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame or its payload is larger than allowed.
    #[display("the frame has {size} bytes, more than the {maximum} allowed")]
    Oversized {
        /// The size in bytes.
        size: usize,
        /// The maximum size, in bytes.
        maximum: usize,
    },
    /// The bytes are not a complete frame.
    #[display("the bytes are not a complete frame")]
    Malformed,
    /// The frame was signed with a key that this node does not accept.
    #[display("the fleet key {key} is not accepted")]
    UnknownKey {
        /// The key's number.
        key: KeyId,
    },
    /// The authentication tag does not match: the frame was modified or signed with another secret.
    #[display("the authentication tag does not match")]
    WrongTag,
    /// The sender belongs to another deployment.
    #[display("the frame is from another deployment")]
    ForeignDeployment,
    /// The frame is addressed to another node, or to another incarnation of this node.
    #[display("the frame is addressed to another node or incarnation")]
    WrongReceiver,
    /// The frame was already received, or its sequence number is too old to check that.
    #[display("the frame from {sender} was already received or is too old")]
    Replayed {
        /// The sender.
        sender: NodeId,
    },
    /// The payload is encoded in a protocol version that this node does not support.
    #[display("protocol version {version} is not supported")]
    UnsupportedVersion {
        /// The version.
        version: ProtocolVersion,
    },
    /// This release does not know the kind of the payload.
    #[display("the kind of the payload is unknown")]
    UnknownKind,
}
