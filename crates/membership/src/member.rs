//! The record of one member, and which of two records is the newer.

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

/// A member with the zone and service that it announces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberInfo {
    /// The address and incarnation of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The service of its local back end, if it has one.
    pub service: Option<ServiceName>,
}

/// The status of a member. At the same refutation count, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// A probe of it timed out; it can still refute.
    #[display("suspected")]
    Suspected,
    /// It did not refute in time, or its address is used by another incarnation.
    #[display("failed")]
    Failed,
    /// It announced that it leaves.
    #[display("left")]
    Left,
}

impl MemberStatus {
    /// Whether the member still takes part: alive or suspected.
    pub fn is_present(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspected)
    }
}

/// A member with its status and refutation count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberRecord {
    /// The member.
    pub info: MemberInfo,
    /// The refutation count. Only the member itself increments it, each time it refutes.
    pub refutation: u32,
    /// Its status.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Whether this record is newer than `other`, a record of the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.refutation, self.status) > (other.refutation, other.status)
    }
}
