//! What is kept of a claim, and how two accounts of the same key are merged.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use quillhatch_types::{Digest, Epoch, Incarnation, RecordedAnswer, RequestKey, RootId, Timestamp};

/// The grant that a claim stems from.
///
/// Within a slot a later grant for the same key has the greater origin, and a grant is only given when every smaller
/// origin of the key is known to be void. So of two accounts of a key, the one with the greater origin holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{epoch}.{sequence}@{incarnation}")]
pub struct ClaimOrigin {
    /// The epoch of the slot under which the owner asked for the claim.
    pub epoch: Epoch,
    /// The owner's own count of claims.
    pub sequence: u64,
    /// The run of the owner.
    pub incarnation: Incarnation,
}

/// How far a claimed call has come; a later variant replaces an earlier one of the same origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimStatus {
    /// The call runs, has run, or will run: nobody else may run it.
    Claimed,
    /// The granting owner states that the call was never dispatched by it and never will be.
    Released,
    /// The call ran; its answer is kept if it was small enough.
    Finished(Option<Arc<RecordedAnswer>>),
}

/// One claim as nodes tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimEntry {
    /// The key of the call.
    pub key: RequestKey,
    /// The grant that the claim stems from.
    pub origin: ClaimOrigin,
    /// A hash of the request, if the key came from the caller.
    pub digest: Option<Digest>,
    /// The root of the call.
    pub root: RootId,
    /// How far the call has come.
    pub status: ClaimStatus,
    /// How long the claim must still be kept, measured when the entry was made.
    pub remaining_retention: Duration,
}

/// One claim as a node holds it in memory, under its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldClaim {
    /// The grant that the claim stems from.
    pub origin: ClaimOrigin,
    /// A hash of the request, if the key came from the caller.
    pub digest: Option<Digest>,
    /// The root of the call.
    pub root: RootId,
    /// How far the call has come.
    pub status: ClaimStatus,
    /// When the claim may be forgotten, on the holder's own clock.
    pub expires: Timestamp,
}

impl ClaimStatus {
    /// The size of the kept answer in bytes; zero without one.
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

/// The bytes that a recorded answer takes in memory and on the wire, to within a few bytes per field.
pub fn recorded_size(answer: &RecordedAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|field| field.name.len() + field.value.len()).sum();
    answer.body.len() + headers
}

impl HeldClaim {
    /// Whether the claim may be forgotten at `now`.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires
    }

    /// Takes over what a peer said, at `now`.
    pub fn from_entry(entry: &ClaimEntry, now: Timestamp) -> Self {
        HeldClaim {
            origin: entry.origin,
            digest: entry.digest,
            root: entry.root,
            status: entry.status.clone(),
            expires: now + entry.remaining_retention,
        }
    }

    /// The claim as it is told to a peer at `now`.
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

    /// Brings in another account of the same key; returns whether anything changed.
    ///
    /// The greater origin holds. Of the same origin the later status holds, and with equal status the longer keeping.
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
