//! Versions of the protocol between nodes, so that two releases can run side by side.

use derive_more::Display;

/// A version of the protocol; a higher one is newer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProtocolVersion(pub u32);

/// The oldest version that this release reads and, on request, writes.
pub const OLDEST_VERSION: ProtocolVersion = ProtocolVersion(1);

/// The newest version that this release reads and writes.
pub const NEWEST_VERSION: ProtocolVersion = ProtocolVersion(1);

/// The version to write to a peer whose newest readable version is `peer`; `None` if nothing is known of the peer.
///
/// A peer of which nothing is known gets the oldest version, which every release in use must read.
pub fn negotiate_version(peer: Option<ProtocolVersion>) -> ProtocolVersion {
    peer.map_or(OLDEST_VERSION, |peer| peer.clamp(OLDEST_VERSION, NEWEST_VERSION))
}
