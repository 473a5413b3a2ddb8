//! Gossip: records that are piggybacked on messages, each a bounded number of times.

use std::collections::BTreeMap;

/// Each rumor is sent this many times the binary logarithm of the number of members.
const TRANSMISSION_FACTOR: u32 = 2;

/// Rumors to send, the least transmitted first. A newer rumor about the same subject replaces the older one.
#[derive(Clone, Debug)]
pub struct RumorQueue<Subject, Record> {
    rumors: BTreeMap<Subject, Rumor<Record>>,
}

#[derive(Clone, Debug)]
struct Rumor<Record> {
    record: Record,
    transmissions: u32,
}

impl<Subject: Ord + Clone, Record: Clone> RumorQueue<Subject, Record> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        RumorQueue { rumors: BTreeMap::new() }
    }

    /// Adds a rumor, replacing an older one about the same subject.
    pub fn push(&mut self, subject: Subject, record: Record) {
        self.rumors.insert(subject, Rumor { record, transmissions: 0 });
    }

    /// Returns up to `max_records` rumors for one message in a fleet of `members`, and drops those that reach their
    /// transmission limit.
    pub fn take(&mut self, max_records: usize, members: usize) -> Vec<Record> {
        let limit = TRANSMISSION_FACTOR * (usize::BITS - members.leading_zeros()).max(1);
        let mut chosen: Vec<(u32, Subject)> =
            self.rumors.iter().map(|(subject, rumor)| (rumor.transmissions, subject.clone())).collect();
        chosen.sort();
        chosen.truncate(max_records);
        let mut records = Vec::with_capacity(chosen.len());
        for (_, subject) in chosen {
            let Some(rumor) = self.rumors.get_mut(&subject) else { continue };
            records.push(rumor.record.clone());
            rumor.transmissions += 1;
            if rumor.transmissions >= limit {
                self.rumors.remove(&subject);
            }
        }
        records
    }

    /// The number of queued rumors.
    pub fn len(&self) -> usize {
        self.rumors.len()
    }

    /// Whether no rumor is queued.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }
}

impl<Subject: Ord + Clone, Record: Clone> Default for RumorQueue<Subject, Record> {
    fn default() -> Self {
        Self::new()
    }
}
