//! Crashes counted against requests: the evidence, and the verdict that follows from it.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use quillhatch_types::Timestamp;
use siphasher::sip::SipHasher13;

use super::completed::CompletedRuns;
use super::{RequestSignature, SignatureKey, TargetCrash};

/// The crashes from which a request is quarantined. A call that is retried after one crash meets a second by chance; three without a
/// completed run in between are no coincidence, and waiting for more would cost targets.
const QUARANTINED_FROM: usize = 3;
/// The crashes from which the count of a request is gossiped: one crash alone is mostly coincidence.
const NOTABLE_FROM: usize = 2;
/// The crashes of one request that are remembered, the latest ones.
const MOST_ENDS: usize = 16;
/// How often the quarantine doubles at most: it never lasts longer than an hour and a half.
const MOST_DOUBLINGS: usize = 5;
/// For how long a request is refused after its third crash: many times what a target needs to come back, so that a request which still crashes
/// them costs less than a hundredth of their time.
const SHORTEST_QUARANTINE: Duration = Duration::from_secs(120);
/// The part of its time by which a quarantine is longer at some gates than at others, so that one target tries the request first.
const SPREAD: f64 = 0.5;
/// For how long crashes count against a request after the last one, and for how long a cleared request is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(900);
/// The most suspects that are remembered; those with the fewest and oldest crashes are evicted. Some 200 KB.
const MOST_SUSPECTS: usize = 2048;
/// The most requests that were cleared and are remembered.
const MOST_CLEARED: usize = 512;
/// The most records in one message, some 20 KB.
const MOST_RECORDS: usize = 512;

/// Identifies the crash of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    fn of(target: &str) -> Self {
        let mut hasher = SipHasher13::new();
        target.hash(&mut hasher);
        CrashId(hasher.finish())
    }
}

/// The evidence against a request, as it is sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// The request.
    pub key: SignatureKey,
    /// The crashes counted against it.
    pub crashes: Vec<CrashId>,
    /// How long ago the last one was.
    pub age: Duration,
}

/// What becomes of a request; the greater one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It runs like any other.
    Runs,
    /// It is refused, for so long.
    Refused(Duration),
}

#[derive(Clone, Debug)]
struct Suspect {
    ends: Vec<CrashId>,
    last_end: Timestamp,
}

impl Suspect {
    /// Counts a crash; returns whether it was not known.
    fn add(&mut self, end: CrashId) -> bool {
        if self.ends.contains(&end) {
            return false;
        }
        if self.ends.len() >= MOST_ENDS {
            self.ends.remove(0);
        }
        self.ends.push(end);
        true
    }

    fn verdict(&self, draw: f64, now: Timestamp) -> Verdict {
        let Some(doublings) = self.ends.len().checked_sub(QUARANTINED_FROM) else { return Verdict::Runs };
        let length =
            SHORTEST_QUARANTINE.mul_f64((1.0 + SPREAD * draw) * f64::from(1_u32 << doublings.min(MOST_DOUBLINGS)));
        let left = length.saturating_sub(now.since(self.last_end));
        if left.is_zero() {
            Verdict::Runs
        } else {
            Verdict::Refused(left)
        }
    }
}

/// What one gate knows of requests that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    draw: f64,
    suspects: HashMap<SignatureKey, Suspect>,
    cleared: HashMap<SignatureKey, Timestamp>,
    completed: CompletedRuns,
}

impl Quarantine {
    /// Nothing is known. `draw` in 0..1 is this gate's own.
    pub fn new(draw: f64) -> Self {
        Quarantine { draw, suspects: HashMap::new(), cleared: HashMap::new(), completed: CompletedRuns::default() }
    }

    /// What becomes of a request that arrives.
    pub fn verdict(&self, signature: &RequestSignature, now: Timestamp) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Runs;
        }
        let suspects = signature.keys().into_iter().filter_map(|key| self.suspects.get(&key));
        suspects.map(|suspect| suspect.verdict(self.draw, now)).max().unwrap_or(Verdict::Runs)
    }

    /// A target has crashed. Counts it against the requests that ran there, and returns the evidence to broadcast.
    pub fn record_crash(&mut self, end: &TargetCrash, now: Timestamp) -> Vec<SuspectRecord> {
        self.remove_expired(now);
        let id = CrashId::of(&end.target);
        let mut records = Vec::new();
        for key in end.signatures.iter().flat_map(RequestSignature::keys) {
            if self.completed.completed_recently(key, now) {
                continue;
            }
            if self.count_crashes(key, &[id], now, now) {
                records.push(SuspectRecord { key, crashes: vec![id], age: Duration::ZERO });
            }
        }
        records.truncate(MOST_RECORDS);
        records
    }

    /// Merges the evidence of another node. Returns the requests that have completed here since, which clears them at the sender too.
    pub fn merge(&mut self, records: &[SuspectRecord], now: Timestamp) -> Vec<SignatureKey> {
        let mut harmless = Vec::new();
        for record in records.iter().take(MOST_RECORDS) {
            let last_end = Timestamp(now.0.saturating_sub(record.age.as_micros() as u64));
            let is_cleared = self.cleared.get(&record.key).is_some_and(|cleared| *cleared >= last_end);
            if is_cleared || self.completed.completed_recently(record.key, now) {
                harmless.push(record.key);
                continue;
            }
            self.count_crashes(record.key, &record.crashes, last_end, now);
        }
        harmless
    }

    /// A request has completed here. Returns the keys that are cleared by this and that other nodes may suspect too.
    pub fn record_completion(&mut self, signature: &RequestSignature, now: Timestamp) -> Vec<SignatureKey> {
        let mut cleared = Vec::new();
        for key in signature.keys() {
            self.completed.add(key, now);
            if self.suspects.is_empty() {
                continue;
            }
            let suspect = self.suspects.remove(&key);
            if suspect.is_some_and(|suspect| suspect.ends.len() >= NOTABLE_FROM) {
                self.note_cleared(key, now);
                cleared.push(key);
            }
        }
        cleared
    }

    /// These requests have completed at another node.
    pub fn record_cleared(&mut self, keys: &[SignatureKey], now: Timestamp) {
        for key in keys.iter().take(MOST_RECORDS) {
            if self.suspects.remove(key).is_some() {
                self.note_cleared(*key, now);
            }
        }
    }

    /// The evidence that is gossiped: requests with more than one crash.
    pub fn gossip_records(&self, now: Timestamp) -> Vec<SuspectRecord> {
        self.records(NOTABLE_FROM, now)
    }

    /// All evidence, for a node that has just started.
    pub fn all_records(&self, now: Timestamp) -> Vec<SuspectRecord> {
        self.records(1, now)
    }

    /// The number of suspect requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether there is anything to gossip.
    pub fn has_gossip(&self) -> bool {
        self.suspects.values().any(|suspect| suspect.ends.len() >= NOTABLE_FROM)
    }

    /// Forgets what is too old.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let draw = self.draw;
        self.suspects.retain(|_, suspect| {
            let is_refused = matches!(suspect.verdict(draw, now), Verdict::Refused(_));
            is_refused || now.since(suspect.last_end) < REMEMBERED_FOR
        });
        self.cleared.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
    }

    /// Counts crashes against a request; returns whether one of them was not known.
    fn count_crashes(&mut self, key: SignatureKey, ends: &[CrashId], last_end: Timestamp, now: Timestamp) -> bool {
        if ends.is_empty() {
            return false;
        }
        if self.suspects.len() >= MOST_SUSPECTS && !self.suspects.contains_key(&key) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect { ends: Vec::new(), last_end });
        let mut is_new = false;
        for end in ends {
            is_new |= suspect.add(*end);
        }
        if is_new {
            suspect.last_end = suspect.last_end.max(last_end);
        }
        is_new
    }

    fn make_room(&mut self, now: Timestamp) {
        self.remove_expired(now);
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(key, suspect)| (suspect.ends.len(), suspect.last_end, **key));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }

    fn note_cleared(&mut self, key: SignatureKey, now: Timestamp) {
        if self.cleared.len() >= MOST_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(key, at)| (**at, **key)).map(|(key, _)| *key);
            oldest.map(|key| self.cleared.remove(&key));
        }
        self.cleared.insert(key, now);
    }

    fn records(&self, fewest_ends: usize, now: Timestamp) -> Vec<SuspectRecord> {
        let wanted = self.suspects.iter().filter(|(_, suspect)| suspect.ends.len() >= fewest_ends);
        let mut records: Vec<SuspectRecord> = wanted
            .map(|(key, suspect)| SuspectRecord {
                key: *key,
                crashes: suspect.ends.clone(),
                age: now.since(suspect.last_end),
            })
            .collect();
        records.sort_unstable_by_key(|record| (usize::MAX - record.crashes.len(), record.age, record.key));
        records.truncate(MOST_RECORDS);
        records
    }
}
