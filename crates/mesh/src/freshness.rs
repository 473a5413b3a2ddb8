//! A lease on the freshness of the configuration in force: how long it may be assumed to be the newest one.
//!
//! A node knows that its configuration was the newest at a certain time: it sent a read of the store at that time that
//! returned nothing newer, or another node reported such a time. API keys are accepted until a fraction of the bound on
//! revocation has passed since then. What counts is when the read was **sent**, on the steady clock, since a response
//! may take long to arrive.
//!
//! Reports of other nodes are taken from responses only. The call was sent at a known time of this node's clock, and it
//! arrived at the other node after that. The response states how long before the call's arrival the other node's proof
//! was made, so the age of the proof is at most that time plus the time since the call was sent. How long a request has
//! been under way is unknown, so nothing in a request counts as proof. Ages add up at each hop, so the number of hops
//! needs no limit.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// How long a watch of the store may stay without a response although there are changes, before the store closes it. A
/// watch that ends without a change may have missed the changes of this time.
const MAX_WATCH_LAG: Duration = Duration::from_secs(1);
/// The drift between the clocks of two machines that the lease allows for, as a fraction of the lease. The drift of
/// crystals is a thousandth of it.
const CLOCK_DRIFT_FRACTION: f64 = 0.01;
/// The range of the age at which a node renews its proof by a read of the store, in fractions of the lease. Each node
/// picks its own age, so that the proof of the first one reaches the others before they read the store.
const RENEWAL_AGE_FRACTIONS: (f64, f64) = (0.55, 0.8);
/// The maximum number of changes in a response of the store that is known to be complete. A response with more changes
/// may be incomplete.
pub const MAX_COMPLETE_PAGE_CHANGES: usize = 45;

/// A time of the steady clock in microseconds; negative if it is before the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SignedTimestamp(i64);

impl SignedTimestamp {
    fn of(time: Timestamp) -> Self {
        SignedTimestamp(i64::try_from(time.0).unwrap_or(i64::MAX))
    }

    fn age(self, now: Timestamp) -> Duration {
        Duration::from_micros(u64::try_from(SignedTimestamp::of(now).0.saturating_sub(self.0)).unwrap_or(0))
    }
}

/// A node's proof of freshness, as it is sent in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The version of the configuration that was the newest when the proof was made.
    pub version: u64,
    /// How long before the call's arrival the proof was made, in milliseconds and rounded up; negative if it was made
    /// after the arrival.
    pub age_at_arrival_ms: i64,
}

/// A node's lease on the freshness of its configuration.
#[derive(Clone, Debug)]
pub struct FreshnessLease {
    duration: Option<Duration>,
    renewal_age: Duration,
    proved_at: Option<SignedTimestamp>,
    /// The newest version of the configuration that another node has proved to exist.
    newest_version: u64,
}

impl FreshnessLease {
    /// Creates a lease for a bound on revocation; without a bound it never expires. `jitter` in 0..1 spreads the
    /// renewals of different nodes.
    pub fn new(revocation: Option<Duration>, jitter: f64) -> Self {
        let duration = revocation.map(|bound| bound.saturating_sub(MAX_WATCH_LAG).mul_f64(1.0 - CLOCK_DRIFT_FRACTION));
        let (from, to) = RENEWAL_AGE_FRACTIONS;
        let renewal_age = duration.map_or(Duration::MAX, |duration| duration.mul_f64(from + (to - from) * jitter));
        FreshnessLease { duration, renewal_age, proved_at: None, newest_version: 0 }
    }

    /// Whether there is a bound on revocation, so that the lease can expire.
    pub fn is_bounded(&self) -> bool {
        self.duration.is_some()
    }

    /// Records that a read of the store, sent at `sent`, returned nothing newer than the configuration in force, with
    /// the given `version`. It proves nothing if another node has a newer one, which a restored store may have lost.
    pub fn record_read(&mut self, version: u64, sent: Timestamp) {
        if version >= self.newest_version {
            self.prove(SignedTimestamp::of(sent));
        }
    }

    /// Records the proof in another node's response to a call that was sent at `sent`. It counts only if this node's
    /// configuration, with the given `version`, is at least as new as the one that the proof is about.
    pub fn record_proof(&mut self, proof: FreshnessProof, version: u64, sent: Timestamp) {
        self.newest_version = self.newest_version.max(proof.version);
        if version < proof.version || version == 0 {
            return;
        }
        let age = proof.age_at_arrival_ms.saturating_mul(1000);
        self.prove(SignedTimestamp(SignedTimestamp::of(sent).0.saturating_sub(age)));
    }

    /// The proof to send in the response to a call that arrived at `arrived`.
    pub fn proof(&self, version: u64, arrived: Timestamp) -> Option<FreshnessProof> {
        let proved_at = self.proved_at?;
        let age = SignedTimestamp::of(arrived).0.saturating_sub(proved_at.0);
        Some(FreshnessProof { version, age_at_arrival_ms: age.div_euclid(1000) + 1 })
    }

    /// Whether keys may be accepted now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        let Some(duration) = self.duration else { return true };
        self.proved_at.is_some_and(|proved_at| proved_at.age(now) < duration)
    }

    /// The age of the newest proof; `None` if there is none.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|proved_at| proved_at.age(now))
    }

    /// The time until this node must read the store if it receives no newer proof; `None` if there is no bound.
    pub fn renew_in(&self, now: Timestamp) -> Option<Duration> {
        self.duration?;
        let age = self.age(now).unwrap_or(Duration::MAX);
        Some(self.renewal_age.saturating_sub(age))
    }

    fn prove(&mut self, time: SignedTimestamp) {
        self.proved_at = self.proved_at.max(Some(time));
    }
}
