//! Finds expired claims without scanning all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{RequestKey, SlotId, Timestamp};

/// The width of a bucket; a claim is dropped at most this long after it expires.
const BUCKET_WIDTH: Duration = Duration::from_secs(1);

/// A claim to check for expiry when its bucket is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryMark {
    /// The claim's slot.
    pub slot: SlotId,
    /// The claim's key.
    pub key: RequestKey,
}

/// Claims by the time at which to check them for expiry; a mark may outlive its claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryQueue {
    buckets: BTreeMap<Timestamp, Vec<ExpiryMark>>,
}

impl ExpiryQueue {
    /// Schedules a check of a claim at `expires`, or up to one second later.
    pub fn insert(&mut self, expires: Timestamp, mark: ExpiryMark) {
        self.buckets.entry(bucket_end(expires)).or_default().push(mark);
    }

    /// Removes and returns one mark that is due at `now`.
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

    /// The time at which the next mark is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.buckets.keys().next().copied()
    }
}

fn bucket_end(expires: Timestamp) -> Timestamp {
    let width = BUCKET_WIDTH.as_micros() as u64;
    Timestamp(expires.0.div_ceil(width).saturating_mul(width))
}
