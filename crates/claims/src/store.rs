//! The claims that an owner or a voter of one service holds in memory.

use std::collections::BTreeMap;
use std::ops::Bound;

use quillhatch_types::{RequestKey, SlotId, Timestamp};

use crate::claim::{ClaimEntry, ClaimStatus, HeldClaim};
use crate::expiry::{ExpiryMark, ExpiryQueue};
use crate::message::{entry_size, MAX_PAGE_BYTES, MAX_PAGE_CLAIMS};

/// The maximum number of expiry marks processed in one call, which bounds the time that the call takes.
const MAX_MARKS_PER_CALL: usize = 256;

/// Claims by slot and key, with their count, the total size of their answers, and their expiry times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimStore {
    slots: BTreeMap<SlotId, BTreeMap<RequestKey, HeldClaim>>,
    expiry: ExpiryQueue,
    count: usize,
    answer_bytes: usize,
    answer_capacity_bytes: usize,
}

/// Part of one slot's claims, in ascending order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPage {
    /// The claims.
    pub entries: Vec<ClaimEntry>,
    /// Whether the slot has claims after the last one in this page.
    pub more: bool,
}

impl ClaimStore {
    /// Creates an empty store that retains up to `answer_capacity_bytes` of recorded answers.
    pub fn new(answer_capacity_bytes: usize) -> Self {
        ClaimStore {
            slots: BTreeMap::new(),
            expiry: ExpiryQueue::default(),
            count: 0,
            answer_bytes: 0,
            answer_capacity_bytes,
        }
    }

    /// Changes the limit on recorded answers; answers already stored stay.
    pub fn set_answer_capacity(&mut self, bytes: usize) {
        self.answer_capacity_bytes = bytes;
    }

    /// The number of claims held.
    pub fn len(&self) -> usize {
        self.count
    }

    /// The total size of the recorded answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The claim on `key`, unless it is expired at `now`.
    pub fn get(&self, slot: SlotId, key: &RequestKey, now: Timestamp) -> Option<&HeldClaim> {
        self.slots.get(&slot)?.get(key).filter(|claim| !claim.is_expired(now))
    }

    /// The claims of a slot, expired ones included.
    pub fn slot(&self, slot: SlotId) -> impl Iterator<Item = (&RequestKey, &HeldClaim)> {
        self.slots.get(&slot).into_iter().flatten()
    }

    /// Adds a claim or merges it as in [`HeldClaim::merge`]; returns whether anything changed.
    pub fn merge(&mut self, slot: SlotId, key: &RequestKey, mut claim: HeldClaim, now: Timestamp) -> bool {
        let claims = self.slots.entry(slot).or_default();
        let old_bytes = claims.get(key).map_or(0, |held| held.status.answer_bytes());
        drop_oversized_answer(&mut claim.status, self.answer_bytes - old_bytes, self.answer_capacity_bytes);
        // A mark that is due before its claim expires is queued again. So only a new claim and a released one, which
        // may expire earlier than before, need a new mark.
        let needs_mark = !claims.contains_key(key) || claim.status == ClaimStatus::Released;
        let expires = claim.expires;
        let changed = match claims.get_mut(key) {
            Some(held) if !held.is_expired(now) => held.merge(claim),
            Some(held) => {
                *held = claim;
                true
            }
            None => {
                claims.insert(key.clone(), claim);
                self.count += 1;
                true
            }
        };
        let new_bytes = claims.get(key).map_or(0, |held| held.status.answer_bytes());
        self.answer_bytes = self.answer_bytes - old_bytes + new_bytes;
        if changed && needs_mark {
            self.expiry.insert(expires, ExpiryMark { slot, key: key.clone() });
        }
        changed
    }

    /// A page of the slot's claims with keys greater than `after`, limited in size and number.
    ///
    /// Omits expired claims and those for which `skip` returns true.
    pub fn page(
        &self,
        slot: SlotId,
        after: Option<&RequestKey>,
        now: Timestamp,
        skip: impl Fn(&HeldClaim) -> bool,
    ) -> StoredPage {
        let mut page = StoredPage { entries: Vec::new(), more: false };
        let Some(claims) = self.slots.get(&slot) else {
            return page;
        };
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        for (key, claim) in claims.range::<RequestKey, _>((start, Bound::Unbounded)) {
            if claim.is_expired(now) || skip(claim) {
                continue;
            }
            let entry = claim.to_entry(key, now);
            bytes += entry_size(&entry);
            if !page.entries.is_empty() && (bytes > MAX_PAGE_BYTES || page.entries.len() >= MAX_PAGE_CLAIMS) {
                page.more = true;
                return page;
            }
            page.entries.push(entry);
        }
        page
    }

    /// Drops the slot's claims for which `keep` returns false.
    pub fn retain_slot(&mut self, slot: SlotId, keep: impl Fn(&HeldClaim) -> bool) {
        let Some(claims) = self.slots.get_mut(&slot) else {
            return;
        };
        let (mut removed, mut bytes) = (0, 0);
        claims.retain(|_, claim| {
            let retained = keep(claim);
            if !retained {
                removed += 1;
                bytes += claim.status.answer_bytes();
            }
            retained
        });
        if claims.is_empty() {
            self.slots.remove(&slot);
        }
        self.count -= removed;
        self.answer_bytes -= bytes;
    }

    /// Drops expired claims, at most a fixed number of them per call.
    pub fn expire(&mut self, now: Timestamp) {
        for _ in 0..MAX_MARKS_PER_CALL {
            let Some(mark) = self.expiry.pop_due(now) else {
                return;
            };
            self.expire_or_requeue(mark, now);
        }
    }

    /// When [`ClaimStore::expire`] should be called next.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry.next_due()
    }

    fn expire_or_requeue(&mut self, mark: ExpiryMark, now: Timestamp) {
        let Some(claims) = self.slots.get_mut(&mark.slot) else {
            return;
        };
        let Some(claim) = claims.get(&mark.key) else {
            return;
        };
        if !claim.is_expired(now) {
            let expires = claim.expires;
            self.expiry.insert(expires, mark);
            return;
        }
        self.answer_bytes -= claim.status.answer_bytes();
        self.count -= 1;
        claims.remove(&mark.key);
        if claims.is_empty() {
            self.slots.remove(&mark.slot);
        }
    }
}

/// Drops the answer if it exceeds the capacity; the claim itself is always stored.
fn drop_oversized_answer(status: &mut ClaimStatus, held_bytes: usize, capacity: usize) {
    if status.answer_bytes() > 0 && held_bytes + status.answer_bytes() > capacity {
        *status = ClaimStatus::Finished(None);
    }
}
