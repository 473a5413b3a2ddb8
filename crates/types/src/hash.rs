//! The hashes that all nodes must compute alike.

use xxhash_rust::xxh3::{xxh3_128, xxh3_64_with_seed};

use crate::admission::RANKS_PER_BAND;
use crate::call::{Digest, RequestKey, RootId};
use crate::identity::SlotId;

/// The slot that `key` falls into in a service with `slot_count` slots.
///
/// A `slot_count` of zero counts as one.
pub fn slot_of_key(key: &RequestKey, slot_count: u16) -> SlotId {
    slot_of_hash(xxh3_64_with_seed(key.as_str().as_bytes(), 0), slot_count)
}

/// The slot of a call without a key, drawn from its root, so that a root's calls stay at one site.
pub fn slot_of_root(root: RootId, slot_count: u16) -> SlotId {
    slot_of_hash(xxh3_64_with_seed(&root.0.to_le_bytes(), 0), slot_count)
}

fn slot_of_hash(hash: u64, slot_count: u16) -> SlotId {
    SlotId((hash % u64::from(slot_count.max(1))) as u16)
}

/// The position of a root inside its band of admission ranks, for one value of the salt.
pub fn rank_position(root: RootId, salt: u64) -> u16 {
    (xxh3_64_with_seed(&root.0.to_le_bytes(), salt) % u64::from(RANKS_PER_BAND)) as u16
}

/// The digest of a request, from the bytes that make it what it is.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(xxh3_128(bytes))
}
