//! Counts crashes against requests and decides which requests are refused.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use quillhatch_types::Timestamp;
use siphasher::sip::SipHasher13;

use super::completed::CompletedRuns;
use super::{RequestSignature, SignatureKey, TargetCrash};
use crate::targets::TargetProcess;

/// The number of crashes from which a request is quarantined. A call that is retried after one crash may run beside a
/// second one by chance. Three without a completed run in between are no coincidence, and waiting for more would cost
/// further targets.
const QUARANTINE_THRESHOLD: usize = 3;
/// The number of crashes from which the evidence against a request is gossiped: one crash alone is usually a
/// coincidence.
const GOSSIP_THRESHOLD: usize = 2;
/// The maximum number of crashes of one request that are retained; the oldest are dropped.
const MAX_CRASHES_PER_SUSPECT: usize = 16;
/// The maximum number of times that a quarantine doubles, so that it never lasts longer than 1.6 hours.
const MAX_DOUBLINGS: usize = 5;
/// The length of the first quarantine. It is many times what a target needs to restart, so a request that still crashes
/// targets costs less than a hundredth of their time.
const BASE_QUARANTINE: Duration = Duration::from_secs(120);
/// The maximum fraction by which a quarantine is extended at random, per gate, so that one target tries the request
/// first.
const MAX_JITTER_FRACTION: f64 = 0.5;
/// How long crashes count against a request after the last one, and how long a cleared request is retained.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(900);
/// The maximum number of suspects, some 200 KB; those with the fewest and oldest crashes are evicted.
const MAX_SUSPECTS: usize = 2048;
/// The maximum number of cleared requests that are retained.
const MAX_CLEARED: usize = 512;
/// The maximum number of records in one message, some 20 KB.
const MAX_RECORDS_PER_MESSAGE: usize = 512;

/// Identifies the crash of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    fn of(target: &TargetProcess) -> Self {
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
    /// The time since the last of them.
    pub age: Duration,
}

/// The decision on a request. Of the decisions for its two keys, the greater one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunVerdict {
    /// The request may run.
    Runs,
    /// The request is refused, for this time.
    Refused(Duration),
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<CrashId>,
    last_crash: Timestamp,
}

impl Suspect {
    /// Adds a crash; returns whether it is new.
    fn add(&mut self, crash: CrashId) -> bool {
        if self.crashes.contains(&crash) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_SUSPECT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    fn verdict(&self, jitter: f64, now: Timestamp) -> RunVerdict {
        let Some(doublings) = self.crashes.len().checked_sub(QUARANTINE_THRESHOLD) else { return RunVerdict::Runs };
        let length = BASE_QUARANTINE
            .mul_f64((1.0 + MAX_JITTER_FRACTION * jitter) * f64::from(1_u32 << doublings.min(MAX_DOUBLINGS)));
        let left = length.saturating_sub(now.since(self.last_crash));
        if left.is_zero() {
            RunVerdict::Runs
        } else {
            RunVerdict::Refused(left)
        }
    }
}

/// The evidence of one gate against requests that crash targets.
#[derive(Clone, Debug)]
pub struct Quarantine {
    jitter: f64,
    suspects: HashMap<SignatureKey, Suspect>,
    cleared: HashMap<SignatureKey, Timestamp>,
    completed: CompletedRuns,
}

impl Quarantine {
    /// A quarantine without evidence. `jitter` in 0..1 is this gate's share of the random extension.
    pub fn new(jitter: f64) -> Self {
        Quarantine { jitter, suspects: HashMap::new(), cleared: HashMap::new(), completed: CompletedRuns::default() }
    }

    /// Returns the decision on a request that arrives.
    pub fn verdict(&self, signature: &RequestSignature, now: Timestamp) -> RunVerdict {
        if self.suspects.is_empty() {
            return RunVerdict::Runs;
        }
        let suspects = signature.keys().into_iter().filter_map(|key| self.suspects.get(&key));
        suspects.map(|suspect| suspect.verdict(self.jitter, now)).max().unwrap_or(RunVerdict::Runs)
    }

    /// Counts the crash of a target against the requests that ran there, and returns the evidence to broadcast.
    pub fn record_crash(&mut self, crash: &TargetCrash, now: Timestamp) -> Vec<SuspectRecord> {
        self.remove_expired(now);
        let id = CrashId::of(&crash.target);
        let mut records = Vec::new();
        for key in crash.signatures.iter().flat_map(RequestSignature::keys) {
            if self.completed.completed_recently(key, now) {
                continue;
            }
            if self.count_crashes(key, &[id], now, now) {
                records.push(SuspectRecord { key, crashes: vec![id], age: Duration::ZERO });
            }
        }
        records.truncate(MAX_RECORDS_PER_MESSAGE);
        records
    }

    /// Merges the evidence of another node. Returns the requests that have completed here since; this clears them at
    /// the sender too.
    pub fn merge(&mut self, records: &[SuspectRecord], now: Timestamp) -> Vec<SignatureKey> {
        let mut completed_here = Vec::new();
        for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
            let last_crash = Timestamp(now.0.saturating_sub(record.age.as_micros() as u64));
            let is_cleared = self.cleared.get(&record.key).is_some_and(|cleared| *cleared >= last_crash);
            if is_cleared || self.completed.completed_recently(record.key, now) {
                completed_here.push(record.key);
                continue;
            }
            self.count_crashes(record.key, &record.crashes, last_crash, now);
        }
        completed_here
    }

    /// Records that a request has completed here. Returns the keys that this clears and that other nodes may suspect
    /// too.
    pub fn record_completion(&mut self, signature: &RequestSignature, now: Timestamp) -> Vec<SignatureKey> {
        let mut cleared = Vec::new();
        for key in signature.keys() {
            self.completed.add(key, now);
            if self.suspects.is_empty() {
                continue;
            }
            let suspect = self.suspects.remove(&key);
            if suspect.is_some_and(|suspect| suspect.crashes.len() >= GOSSIP_THRESHOLD) {
                self.retain_cleared(key, now);
                cleared.push(key);
            }
        }
        cleared
    }

    /// Records that these requests have completed at another node.
    pub fn record_cleared(&mut self, keys: &[SignatureKey], now: Timestamp) {
        for key in keys.iter().take(MAX_RECORDS_PER_MESSAGE) {
            if self.suspects.remove(key).is_some() {
                self.retain_cleared(*key, now);
            }
        }
    }

    /// Returns the evidence to gossip: requests with more than one crash.
    pub fn gossip_records(&self, now: Timestamp) -> Vec<SuspectRecord> {
        self.records(GOSSIP_THRESHOLD, now)
    }

    /// Returns all evidence, for a node that has just started.
    pub fn all_records(&self, now: Timestamp) -> Vec<SuspectRecord> {
        self.records(1, now)
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether there is evidence to gossip.
    pub fn has_gossip(&self) -> bool {
        self.suspects.values().any(|suspect| suspect.crashes.len() >= GOSSIP_THRESHOLD)
    }

    /// Removes expired suspects and cleared requests.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let jitter = self.jitter;
        self.suspects.retain(|_, suspect| {
            let is_refused = matches!(suspect.verdict(jitter, now), RunVerdict::Refused(_));
            is_refused || now.since(suspect.last_crash) < EVIDENCE_LIFETIME
        });
        self.cleared.retain(|_, at| now.since(*at) < EVIDENCE_LIFETIME);
    }

    /// Counts crashes against a request; returns whether one of them is new.
    fn count_crashes(&mut self, key: SignatureKey, crashes: &[CrashId], last_crash: Timestamp, now: Timestamp) -> bool {
        if crashes.is_empty() {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&key) {
            self.evict_suspect(now);
        }
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect { crashes: Vec::new(), last_crash });
        let mut is_new = false;
        for crash in crashes {
            is_new |= suspect.add(*crash);
        }
        if is_new {
            suspect.last_crash = suspect.last_crash.max(last_crash);
        }
        is_new
    }

    fn evict_suspect(&mut self, now: Timestamp) {
        self.remove_expired(now);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weakest =
            self.suspects.iter().min_by_key(|(key, suspect)| (suspect.crashes.len(), suspect.last_crash, **key));
        if let Some(key) = weakest.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }

    fn retain_cleared(&mut self, key: SignatureKey, now: Timestamp) {
        if self.cleared.len() >= MAX_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(key, at)| (**at, **key)).map(|(key, _)| *key);
            oldest.map(|key| self.cleared.remove(&key));
        }
        self.cleared.insert(key, now);
    }

    fn records(&self, min_crashes: usize, now: Timestamp) -> Vec<SuspectRecord> {
        let selected = self.suspects.iter().filter(|(_, suspect)| suspect.crashes.len() >= min_crashes);
        let mut records: Vec<SuspectRecord> = selected
            .map(|(key, suspect)| SuspectRecord {
                key: *key,
                crashes: suspect.crashes.clone(),
                age: now.since(suspect.last_crash),
            })
            .collect();
        records.sort_unstable_by_key(|record| (usize::MAX - record.crashes.len(), record.age, record.key));
        records.truncate(MAX_RECORDS_PER_MESSAGE);
        records
    }
}
