//! The payload of a frame: an encoded message of one protocol.

use derive_more::Display;
use quillhatch_types::ServiceName;

use crate::generated::frame::FrameKind;

/// The protocol that a payload belongs to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PayloadKind {
    /// Failure detection and membership; see `quillhatch-membership`.
    #[display("membership")]
    Membership,
    /// Slot tables, configuration and plans; see `quillhatch-control`.
    #[display("control")]
    Control,
    /// Agreement inside the group of a service at a site; see `quillhatch-group`.
    #[display("group")]
    Group,
    /// Claims, which ensure that calls run at most once; see `quillhatch-claims`.
    #[display("claims")]
    Claims,
}

impl PayloadKind {
    /// All kinds.
    pub const ALL: [PayloadKind; 4] =
        [PayloadKind::Membership, PayloadKind::Control, PayloadKind::Group, PayloadKind::Claims];

    pub(crate) fn to_wire(self) -> FrameKind {
        match self {
            PayloadKind::Membership => FrameKind::MEMBERSHIP,
            PayloadKind::Control => FrameKind::CONTROL,
            PayloadKind::Group => FrameKind::GROUP,
            PayloadKind::Claims => FrameKind::CLAIMS,
        }
    }

    pub(crate) fn from_wire(kind: FrameKind) -> Option<Self> {
        match kind {
            FrameKind::UNKNOWN => None,
            FrameKind::MEMBERSHIP => Some(PayloadKind::Membership),
            FrameKind::CONTROL => Some(PayloadKind::Control),
            FrameKind::GROUP => Some(PayloadKind::Group),
            FrameKind::CLAIMS => Some(PayloadKind::Claims),
        }
    }
}

/// An encoded message of one protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The protocol.
    pub kind: PayloadKind,
    /// The service that the message concerns, for protocols that run separately for each service.
    pub service: Option<ServiceName>,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
