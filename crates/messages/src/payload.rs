//! What a frame carries: the encoded message of one protocol.

use derive_more::Display;
use quillhatch_types::ServiceName;

use crate::generated::frame::FrameKind;

/// The protocol that a payload belongs to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Failure detection; see `quillhatch-membership`.
    #[display("membership")]
    Membership,
    /// Tables, configuration and plans; see `quillhatch-control`.
    #[display("control")]
    Control,
    /// Agreement inside the group of a service at a site; see `quillhatch-group`.
    #[display("group")]
    Group,
    /// Claims of calls that may run only once; see `quillhatch-claims`.
    #[display("claims")]
    Claims,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Membership, Kind::Control, Kind::Group, Kind::Claims];

    pub(crate) fn to_wire(self) -> FrameKind {
        match self {
            Kind::Membership => FrameKind::MEMBERSHIP,
            Kind::Control => FrameKind::CONTROL,
            Kind::Group => FrameKind::GROUP,
            Kind::Claims => FrameKind::CLAIMS,
        }
    }

    pub(crate) fn from_wire(kind: FrameKind) -> Option<Self> {
        match kind {
            FrameKind::UNKNOWN => None,
            FrameKind::MEMBERSHIP => Some(Kind::Membership),
            FrameKind::CONTROL => Some(Kind::Control),
            FrameKind::GROUP => Some(Kind::Group),
            FrameKind::CLAIMS => Some(Kind::Claims),
        }
    }
}

/// An encoded message of one protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The protocol.
    pub kind: Kind,
    /// The service that the message is about, for the protocols that run once per service.
    pub service: Option<ServiceName>,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
