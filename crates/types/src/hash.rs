//! Hash functions whose results must be the same on all nodes.

use xxhash_rust::xxh3::{xxh3_128, xxh3_64_with_seed};

use crate::admission::RANKS_PER_BAND;
use crate::call::{Digest, RequestKey, RootId};
use crate::identity::SlotId;

/// The slot of `key` in a service with `slot_count` slots.
///
/// A `slot_count` of zero is treated as one.
pub fn slot_of_key(key: &RequestKey, slot_count: u16) -> SlotId {
    slot_of_hash(xxh3_64_with_seed(key.as_str().as_bytes(), 0), slot_count)
}

/// The slot of a call without a key, derived from its root call, so that all calls of a root stay at one site.
pub fn slot_of_root(root: RootId, slot_count: u16) -> SlotId {
    slot_of_hash(xxh3_64_with_seed(&root.0.to_le_bytes(), 0), slot_count)
}

fn slot_of_hash(hash: u64, slot_count: u16) -> SlotId {
    SlotId((hash % u64::from(slot_count.max(1))) as u16)
}

/// The position of a root call within its band of admission ranks, for one value of the salt.
pub fn rank_position(root: RootId, salt: u64) -> u16 {
    (xxh3_64_with_seed(&root.0.to_le_bytes(), salt) % u64::from(RANKS_PER_BAND)) as u16
}

/// The digest of a request, computed over the bytes that identify it.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(xxh3_128(bytes))
}
