//! Why a frame is not accepted.

use derive_more::{Display, Error};
use quillhatch_types::NodeId;

use crate::key::KeyId;
use crate::version::ProtocolVersion;

/// Why a frame is refused or cannot be built.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is larger than allowed.
    #[display("the frame has {size} bytes, more than the {maximum} allowed")]
    Oversized {
        /// The size in bytes.
        size: usize,
        /// The largest size allowed, in bytes.
        maximum: usize,
    },
    /// The bytes are no frame, or a truncated one.
    #[display("the bytes are not a whole frame")]
    Malformed,
    /// The frame was made with a key that this node does not accept.
    #[display("the fleet key {key} is not accepted")]
    UnknownKey {
        /// The key's number.
        key: KeyId,
    },
    /// The authentication tag does not match: a stranger's or a changed frame.
    #[display("the authentication tag does not match")]
    WrongTag,
    /// The sender belongs to another deployment.
    #[display("the frame is from another deployment")]
    ForeignDeployment,
    /// The frame is meant for another node or another run of this one.
    #[display("the frame is meant for another node")]
    WrongReceiver,
    /// The frame was received before, or is too old to tell.
    #[display("the frame from {sender} was received before")]
    Replayed {
        /// The sender.
        sender: NodeId,
    },
    /// The payload is written in a version that this node does not read.
    #[display("protocol version {version} is not readable here")]
    UnsupportedVersion {
        /// The version.
        version: ProtocolVersion,
    },
    /// The payload's kind is not known to this release.
    #[display("the kind of the payload is not known")]
    UnknownKind,
}
