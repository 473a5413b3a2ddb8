//! Finds the claims whose time is over without walking all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{RequestKey, SlotId, Timestamp};

/// The width of a bucket; a claim is forgotten at most this much later than it may be.
const BUCKET: Duration = Duration::from_secs(1);

/// One claim to look at when its bucket is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryMark {
    /// The claim's slot.
    pub slot: SlotId,
    /// The claim's key.
    pub key: RequestKey,
}

/// Marks of claims by the time at which to look at them; a mark may outlive its claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryQueue {
    buckets: BTreeMap<Timestamp, Vec<ExpiryMark>>,
}

impl ExpiryQueue {
    /// Asks to look at a claim at or up to one second after `expires`.
    pub fn insert(&mut self, expires: Timestamp, mark: ExpiryMark) {
        self.buckets.entry(bucket_end(expires)).or_default().push(mark);
    }

    /// Takes one mark that is due at `now`.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<ExpiryMark> {
        let mut first = self.buckets.first_entry()?;
        if *first.key() > now {
            return None;
        }
        let mark = first.get_mut().pop();
        if first.get().is_empty() {
            first.remove();
        }
        mark
    }

    /// When the next mark is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.buckets.keys().next().copied()
    }
}

fn bucket_end(expires: Timestamp) -> Timestamp {
    let width = BUCKET.as_micros() as u64;
    Timestamp(expires.0.div_ceil(width).saturating_mul(width))
}
