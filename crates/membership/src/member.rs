//! What is known of one member, and which of two pieces of knowledge is the newer.

use derive_more::Display;
use quillhatch_types::{NodeId, ServiceName, SiteName, ZoneName};

/// A zone of a site.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{site}/{zone}")]
pub struct ZoneId {
    /// The site.
    pub site: SiteName,
    /// The zone.
    pub zone: ZoneName,
}

/// A member and what it says of itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberInfo {
    /// The run of the node.
    pub node: NodeId,
    /// Where it stands.
    pub zone: ZoneId,
    /// The service of its back end, if it has one.
    pub service: Option<ServiceName>,
}

/// Whether a member is there; a later variant overrides an earlier one at the same refutation count.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It did not answer, and has time to refute.
    #[display("suspected")]
    Suspected,
    /// It did not refute in time, or another run took its address.
    #[display("failed")]
    Failed,
    /// It said that it leaves.
    #[display("left")]
    Left,
}

impl MemberStatus {
    /// Whether the member still takes part.
    pub fn is_present(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspected)
    }
}

/// A member, its status, and how often it has refuted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberRecord {
    /// The member.
    pub info: MemberInfo,
    /// Raised by the member itself alone, each time it refutes.
    pub refutation: u32,
    /// Its status.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Whether this knowledge replaces `other` of the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.refutation, self.status) > (other.refutation, other.status)
    }
}
