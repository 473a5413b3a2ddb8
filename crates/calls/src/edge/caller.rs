//! Limits callers that repeat requests or call very often, and remembers which keys may have run.
//!
//! Use one [`CallerLimits`] per edge, for root calls only: calls made below a call are bounded by its retry budget. All
//! memory is bounded: entries live in two generations, and the older one is dropped whole.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use quillhatch_types::{CallerName, RequestKey, ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3;

const PARTS_PER_TOKEN: u64 = 1_000_000;

/// Settings of the limits per caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// How long a key is remembered at least, unless too many keys are in use.
    pub retry_window: Duration,
    /// Repeats of keys that one caller may send per second.
    pub retries_per_second: u32,
    /// Repeats that one caller may send at once.
    pub retry_burst: u32,
    /// Calls that one caller may send per second.
    pub calls_per_second: u32,
    /// Calls that one caller may send at once.
    pub call_burst: u32,
    /// Callers remembered at once.
    pub maximum_callers: usize,
    /// Keys remembered at once.
    pub maximum_keys: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings {
            retry_window: Duration::from_secs(10),
            retries_per_second: 1,
            retry_burst: 5,
            calls_per_second: 5_000,
            call_burst: 5_000,
            maximum_callers: 16_384,
            maximum_keys: 65_536,
        }
    }
}

/// A map that forgets what was not used for one to two spans, or earlier if it is full.
#[derive(Debug)]
struct GenerationMap<Key, Value> {
    current: HashMap<Key, Value>,
    previous: HashMap<Key, Value>,
    started_at: Timestamp,
    span: Duration,
    capacity: usize,
}

impl<Key: Hash + Eq, Value> GenerationMap<Key, Value> {
    fn new(span: Duration, capacity: usize) -> Self {
        let capacity = (capacity / 2).max(1);
        GenerationMap { current: HashMap::new(), previous: HashMap::new(), started_at: Timestamp::ZERO, span, capacity }
    }

    fn rotate_if_due(&mut self, now: Timestamp) {
        let age = now.since(self.started_at);
        if age < self.span && self.current.len() < self.capacity {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.started_at = now;
        if age >= self.span * 2 {
            self.previous.clear();
        }
    }

    /// The value of `key`, moved into the current generation.
    fn refresh(&mut self, key: Key, now: Timestamp) -> Option<&mut Value>
    where
        Key: Clone,
    {
        self.rotate_if_due(now);
        if let Some(value) = self.previous.remove(&key) {
            self.current.insert(key.clone(), value);
        }
        self.current.get_mut(&key)
    }

    fn find(&mut self, key: &Key) -> Option<&mut Value> {
        match self.current.get_mut(key) {
            Some(value) => Some(value),
            None => self.previous.get_mut(key),
        }
    }
}

/// A token bucket whose rate and burst are given with each use.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    parts: u64,
    filled_at: Timestamp,
}

impl TokenBucket {
    fn full(burst: u32, now: Timestamp) -> Self {
        TokenBucket { parts: u64::from(burst) * PARTS_PER_TOKEN, filled_at: now }
    }

    /// Takes a token, or returns the time until there is one.
    fn take(&mut self, rate: u32, burst: u32, now: Timestamp) -> Result<(), Duration> {
        let elapsed = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let earned = elapsed.saturating_mul(u64::from(rate));
        self.parts = self.parts.saturating_add(earned).min(u64::from(burst) * PARTS_PER_TOKEN);
        self.filled_at = now;
        if self.parts >= PARTS_PER_TOKEN {
            self.parts -= PARTS_PER_TOKEN;
            return Ok(());
        }
        let missing = PARTS_PER_TOKEN - self.parts;
        Err(Duration::from_micros(missing.div_ceil(u64::from(rate.max(1)))))
    }
}

#[derive(Clone, Copy, Debug)]
struct CallerBuckets {
    calls: TokenBucket,
    repeats: TokenBucket,
}

/// What was known of a key when a call with it arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EarlierUse {
    /// The caller used the key a short time ago.
    pub(crate) repeated: bool,
    /// An earlier call with the key is running or may have run, as far as this edge knows.
    pub(crate) may_have_run: bool,
}

/// A key of one caller and service, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyHash(u128);

impl KeyHash {
    pub(crate) fn new(caller: &CallerName, service: &ServiceName, key: &RequestKey) -> Self {
        let mut hasher = Xxh3::new();
        for part in [caller.as_str(), service.as_str(), key.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        KeyHash(hasher.digest128())
    }
}

/// The limits of all callers of an edge.
#[derive(Debug)]
pub(crate) struct CallerLimits {
    settings: CallerSettings,
    callers: GenerationMap<CallerName, CallerBuckets>,
    /// How many calls with the key are running or may have run.
    keys: GenerationMap<KeyHash, u32>,
}

impl CallerLimits {
    pub(crate) fn new(settings: CallerSettings) -> Self {
        CallerLimits {
            callers: GenerationMap::new(settings.retry_window, settings.maximum_callers),
            keys: GenerationMap::new(settings.retry_window, settings.maximum_keys),
            settings,
        }
    }

    /// Notes the use of a key and tells what is known of earlier uses.
    pub(crate) fn note_key(&mut self, key: KeyHash, now: Timestamp) -> EarlierUse {
        if let Some(calls) = self.keys.refresh(key, now) {
            let earlier = EarlierUse { repeated: true, may_have_run: *calls > 0 };
            *calls = calls.saturating_add(1);
            return earlier;
        }
        self.keys.current.insert(key, 1);
        EarlierUse::default()
    }

    /// One call with the key ended and is proven not to have run.
    pub(crate) fn proven_not_run(&mut self, key: KeyHash) {
        if let Some(calls) = self.keys.find(&key) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// Admits a call of `caller`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may come back.
    pub(crate) fn admit(&mut self, caller: &CallerName, repeated: bool, now: Timestamp) -> Result<(), Duration> {
        let settings = self.settings;
        if self.callers.refresh(caller.clone(), now).is_none() {
            let buckets = CallerBuckets {
                calls: TokenBucket::full(settings.call_burst, now),
                repeats: TokenBucket::full(settings.retry_burst, now),
            };
            self.callers.current.insert(caller.clone(), buckets);
        }
        let Some(buckets) = self.callers.find(caller) else {
            return Ok(());
        };
        if repeated {
            buckets.repeats.take(settings.retries_per_second, settings.retry_burst, now)?;
        }
        buckets.calls.take(settings.calls_per_second, settings.call_burst, now)
    }

    /// The number of callers and keys remembered.
    pub(crate) fn remembered(&self) -> (usize, usize) {
        let callers = self.callers.current.len() + self.callers.previous.len();
        let keys = self.keys.current.len() + self.keys.previous.len();
        (callers, keys)
    }
}
