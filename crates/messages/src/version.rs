//! Versions of the protocol between nodes, which allow two releases to run side by side.

use derive_more::Display;

/// A version of the protocol; higher is newer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProtocolVersion(pub u32);

/// The oldest version that this release reads, and writes to peers that support nothing newer.
pub const OLDEST_VERSION: ProtocolVersion = ProtocolVersion(1);

/// The newest version that this release reads and writes.
pub const NEWEST_VERSION: ProtocolVersion = ProtocolVersion(1);

/// Returns the version to use for a peer whose newest supported version is `peer_newest`.
///
/// If the peer's version is unknown (`None`), returns the oldest version, which every release in use must support.
pub fn negotiate_version(peer_newest: Option<ProtocolVersion>) -> ProtocolVersion {
    peer_newest.map_or(OLDEST_VERSION, |newest| newest.clamp(OLDEST_VERSION, NEWEST_VERSION))
}
