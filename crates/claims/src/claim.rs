//! The stored form of a claim, and how two versions of the claim on one key are merged.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use quillhatch_types::{Digest, Epoch, Incarnation, RecordedAnswer, RequestKey, RootId, Timestamp};

/// Identifies the grant that created a claim.
///
/// Within a slot, a later grant for the same key has the greater origin, and an owner grants a key only if it knows
/// that every smaller origin of the key is void. So of two versions of a claim, the one with the greater origin is
/// valid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{epoch}.{sequence}@{incarnation}")]
pub struct ClaimOrigin {
    /// The epoch of the slot under which the owner created the claim.
    pub epoch: Epoch,
    /// The owner's counter of claims.
    pub sequence: u64,
    /// The incarnation of the owner.
    pub incarnation: Incarnation,
}

/// The progress of a claimed call; a later variant replaces an earlier one of the same origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimStatus {
    /// The call may be about to run, running, or done: no other attempt may run it.
    Claimed,
    /// The granting owner has not dispatched the call and never will.
    Released,
    /// The call ran; its answer is retained if it was small enough.
    Finished(Option<Arc<RecordedAnswer>>),
}

/// One claim as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimEntry {
    /// The key of the call.
    pub key: RequestKey,
    /// The grant that created the claim.
    pub origin: ClaimOrigin,
    /// A hash of the request, if the key came from the caller.
    pub digest: Option<Digest>,
    /// The root of the call.
    pub root: RootId,
    /// The progress of the call.
    pub status: ClaimStatus,
    /// How long the claim must still be retained, counted from when the entry was created.
    pub remaining_retention: Duration,
}

/// One claim as a node holds it in memory, indexed by its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldClaim {
    /// The grant that created the claim.
    pub origin: ClaimOrigin,
    /// A hash of the request, if the key came from the caller.
    pub digest: Option<Digest>,
    /// The root of the call.
    pub root: RootId,
    /// The progress of the call.
    pub status: ClaimStatus,
    /// When the claim may be dropped, on the clock of the node that holds it.
    pub expires: Timestamp,
}

impl ClaimStatus {
    /// The size of the retained answer in bytes; zero if there is none.
    pub fn answer_bytes(&self) -> usize {
        match self {
            ClaimStatus::Finished(Some(answer)) => recorded_size(answer),
            _ => 0,
        }
    }

    fn stage(&self) -> u8 {
        match self {
            ClaimStatus::Claimed => 0,
            ClaimStatus::Released => 1,
            ClaimStatus::Finished(None) => 2,
            ClaimStatus::Finished(Some(_)) => 3,
        }
    }
}

/// The size of a recorded answer in memory and on the wire, accurate to a few bytes per header field.
pub fn recorded_size(answer: &RecordedAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|field| field.name.len() + field.value.len()).sum();
    answer.body.len() + headers
}

impl HeldClaim {
    /// Whether the claim may be dropped at `now`.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires
    }

    /// Converts an entry received from a peer at `now`.
    pub fn from_entry(entry: &ClaimEntry, now: Timestamp) -> Self {
        HeldClaim {
            origin: entry.origin,
            digest: entry.digest,
            root: entry.root,
            status: entry.status.clone(),
            expires: now + entry.remaining_retention,
        }
    }

    /// Converts the claim into an entry to send to a peer at `now`.
    pub fn to_entry(&self, key: &RequestKey, now: Timestamp) -> ClaimEntry {
        ClaimEntry {
            key: key.clone(),
            origin: self.origin,
            digest: self.digest,
            root: self.root,
            status: self.status.clone(),
            remaining_retention: now.until(self.expires),
        }
    }

    /// Merges another version of the claim on the same key; returns whether anything changed.
    ///
    /// The greater origin wins. With equal origins the later status wins, and with equal status the later expiry.
    pub fn merge(&mut self, other: HeldClaim) -> bool {
        if other.origin < self.origin {
            return false;
        }
        if other.origin > self.origin || other.status.stage() > self.status.stage() {
            *self = other;
            return true;
        }
        if other.status.stage() == self.status.stage() && other.expires > self.expires {
            self.expires = other.expires;
            return true;
        }
        false
    }
}
