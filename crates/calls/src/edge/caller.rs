//! Limits the retries and the call rate of each caller, and tracks the keys whose calls may have run.
//!
//! Use one [`CallerLimits`] per edge, for root calls only: the retry budget of a root call bounds the calls below it.
//! Memory is bounded: entries are in two generations, and the older generation is dropped as a whole.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use quillhatch_types::{CallerName, RequestKey, ServiceName, Timestamp};
use xxhash_rust::xxh3::Xxh3;

/// Buckets count in millionths of a token, since they refill per microsecond at a rate per second.
const PARTS_PER_TOKEN: u64 = 1_000_000;

/// Settings of the limits per caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// The minimum time for which a key is tracked, unless too many keys are in use.
    pub retry_window: Duration,
    /// Retries (calls that reuse a key) that one caller may send per second.
    pub retries_per_second: u32,
    /// Retries that one caller may send in a burst.
    pub retry_burst: u32,
    /// Calls that one caller may send per second.
    pub calls_per_second: u32,
    /// Calls that one caller may send in a burst.
    pub call_burst: u32,
    /// The maximum number of callers tracked.
    pub maximum_callers: usize,
    /// The maximum number of keys tracked.
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

/// A map that drops entries not used for one to two spans, or earlier if it is full.
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

    /// Returns the value of `key` and moves it into the current generation.
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

/// A token bucket whose rate and burst are passed with each use.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    parts: u64,
    filled_at: Timestamp,
}

impl TokenBucket {
    fn full(burst: u32, now: Timestamp) -> Self {
        TokenBucket { parts: u64::from(burst) * PARTS_PER_TOKEN, filled_at: now }
    }

    /// Takes a token, or returns the time until one is available.
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
    retries: TokenBucket,
}

/// The earlier uses of a key, as known when a call with it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyHistory {
    /// The caller used the key recently, so the call is the caller's own retry.
    pub(crate) used_recently: bool,
    /// An earlier call with the key through this edge is running or may have run.
    pub(crate) may_have_run: bool,
}

/// The hash of a key, its caller and its service.
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
    /// Per key, the number of calls that are running or may have run.
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

    /// Records the use of a key and returns its earlier uses.
    pub(crate) fn record_key(&mut self, key: KeyHash, now: Timestamp) -> KeyHistory {
        if let Some(calls) = self.keys.refresh(key, now) {
            let earlier = KeyHistory { used_recently: true, may_have_run: *calls > 0 };
            *calls = calls.saturating_add(1);
            return earlier;
        }
        self.keys.current.insert(key, 1);
        KeyHistory::default()
    }

    /// Records that one call with the key ended and is known not to have run.
    pub(crate) fn record_not_run(&mut self, key: KeyHash) {
        if let Some(calls) = self.keys.find(&key) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// Admits a call of `caller` if its rate limits allow; `reuses_key` says that the call reuses a key.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the caller may retry.
    pub(crate) fn admit(&mut self, caller: &CallerName, reuses_key: bool, now: Timestamp) -> Result<(), Duration> {
        let settings = self.settings;
        if self.callers.refresh(caller.clone(), now).is_none() {
            let buckets = CallerBuckets {
                calls: TokenBucket::full(settings.call_burst, now),
                retries: TokenBucket::full(settings.retry_burst, now),
            };
            self.callers.current.insert(caller.clone(), buckets);
        }
        let Some(buckets) = self.callers.find(caller) else {
            return Ok(());
        };
        if reuses_key {
            buckets.retries.take(settings.retries_per_second, settings.retry_burst, now)?;
        }
        buckets.calls.take(settings.calls_per_second, settings.call_burst, now)
    }

    /// The numbers of callers and keys tracked.
    pub(crate) fn tracked(&self) -> (usize, usize) {
        let callers = self.callers.current.len() + self.callers.previous.len();
        let keys = self.keys.current.len() + self.keys.previous.len();
        (callers, keys)
    }
}
