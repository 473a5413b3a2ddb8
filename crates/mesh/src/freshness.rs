//! For how long the configuration in force may be taken for the newest one: a lease on its freshness.
//!
//! A node knows that its configuration was the newest at some moment: when it sent a read of the store that brought nothing
//! newer, or by the word of another node that knows it. Keys are believed until a part of the bound on revocation after that moment
//! is over. The moment counts from when a read was **sent**, on the steady clock: an answer may have been on its way for long.
//!
//! Another node's word is taken from answers only. The call was sent at a known moment of this node's clock, so the other one had it
//! after that; it tells how long before the call's arrival its own proof was made, and both spans add up. How long a request has been
//! on its way nobody knows, so what a request says proves nothing. Ages add up at each hop, so no bound on hops is needed.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// How long watches of the store may say nothing though changes are made, before it cuts them: a watch that ends without a change
/// may be wrong by so much.
const SILENT_WATCH: Duration = Duration::from_secs(1);
/// The part of the lease in which clocks of two machines may go apart; crystals differ by a thousandth of it.
const CLOCK_PART: f64 = 0.01;
/// The ages, as parts of the lease, between which a node whose proof is older asks the store itself. Each node draws its own, so that
/// the first one's proof reaches the others before they ask.
const RENEWED_FROM: (f64, f64) = (0.55, 0.8);
/// The changes in one answer of the store up to which it holds all of them.
pub const MAX_COMPLETE_PAGE_CHANGES: usize = 45;

/// A moment on the steady clock in microseconds; before the start of the process it is negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn of(time: Timestamp) -> Self {
        Moment(i64::try_from(time.0).unwrap_or(i64::MAX))
    }

    fn age(self, now: Timestamp) -> Duration {
        Duration::from_micros(u64::try_from(Moment::of(now).0.saturating_sub(self.0)).unwrap_or(0))
    }
}

/// What a node tells of its proof in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessProof {
    /// The version of the newest configuration at that moment.
    pub version: u64,
    /// How long before the call's arrival the moment was, in milliseconds and rounded up; negative if it was after the arrival.
    pub age_at_arrival_ms: i64,
}

/// The lease of one node.
#[derive(Clone, Debug)]
pub struct FreshnessLease {
    length: Option<Duration>,
    renew_after: Duration,
    proved: Option<Moment>,
}

impl FreshnessLease {
    /// A lease for a bound on revocation; without one it never ends. `draw` in 0..1 spreads the renewals of nodes.
    pub fn new(revocation: Option<Duration>, draw: f64) -> Self {
        let length = revocation.map(|bound| bound.saturating_sub(SILENT_WATCH).mul_f64(1.0 - CLOCK_PART));
        let (from, to) = RENEWED_FROM;
        let renew_after = length.map_or(Duration::MAX, |length| length.mul_f64(from + (to - from) * draw));
        FreshnessLease { length, renew_after, proved: None }
    }

    /// Whether there is a bound.
    pub fn is_bounded(&self) -> bool {
        self.length.is_some()
    }

    /// A read of the store that was sent at `sent` brought nothing newer than what is in force.
    pub fn record_read(&mut self, sent: Timestamp) {
        self.prove(Moment::of(sent));
    }

    /// Another node has answered a call that was sent at `sent`. Its proof counts if this node's configuration, of `version`, is as new.
    pub fn record_proof(&mut self, proof: FreshnessProof, version: u64, sent: Timestamp) {
        if version < proof.version || version == 0 {
            return;
        }
        let age = proof.age_at_arrival_ms.saturating_mul(1000);
        self.prove(Moment(Moment::of(sent).0.saturating_sub(age)));
    }

    /// What is told in the answer to a call that arrived at `arrived`.
    pub fn proof(&self, version: u64, arrived: Timestamp) -> Option<FreshnessProof> {
        let proved = self.proved?;
        let age = Moment::of(arrived).0.saturating_sub(proved.0);
        Some(FreshnessProof { version, age_at_arrival_ms: age.div_euclid(1000) + 1 })
    }

    /// Whether keys may be believed now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        let Some(length) = self.length else { return true };
        self.proved.is_some_and(|proved| proved.age(now) < length)
    }

    /// How old the proof is; `None` without one.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved.map(|proved| proved.age(now))
    }

    /// How long until this node asks the store itself if it hears nothing newer. `None` if it need not.
    pub fn renew_in(&self, now: Timestamp) -> Option<Duration> {
        self.length?;
        let age = self.age(now).unwrap_or(Duration::MAX);
        Some(self.renew_after.saturating_sub(age))
    }

    fn prove(&mut self, moment: Moment) {
        self.proved = self.proved.max(Some(moment));
    }
}
