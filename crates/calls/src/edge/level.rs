//! The admission level of a target, from the gate's last report and the time since then.
//!
//! Without a new report the level rises to open again, so that stale state does not hold calls back after an overload.

use std::time::Duration;

use quillhatch_types::{AdmissionLevel, AdmissionRank, Timestamp};

/// Settings of the admission levels tracked per target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelSettings {
    /// The time without a report after which a level is [`AdmissionLevel::OPEN`] again.
    pub decay: Duration,
    /// The share of calls that are sent in spite of a closed level, so that reports keep arriving; from 0 to 1.
    pub probe_share: f64,
    /// The delay after which refused callers may retry. A refusal for a closed level or for lack of connections gives a
    /// random value between one and two times this.
    pub retry_after: Duration,
}

impl Default for LevelSettings {
    fn default() -> Self {
        LevelSettings { decay: Duration::from_secs(2), probe_share: 0.01, retry_after: Duration::from_secs(1) }
    }
}

/// The last reported level of one target and when it was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TargetLevel {
    level: AdmissionLevel,
    received_at: Timestamp,
}

impl TargetLevel {
    /// Records the `level` that came with an answer.
    pub(crate) fn update(&mut self, level: AdmissionLevel, now: Timestamp) {
        self.level = AdmissionLevel(level.0.min(AdmissionLevel::OPEN.0));
        self.received_at = now;
    }

    /// The level now: it rises linearly from the reported level to open.
    pub(crate) fn effective(&self, now: Timestamp, decay: Duration) -> AdmissionLevel {
        let closed = u128::from(AdmissionLevel::OPEN.0 - self.level.0);
        if closed == 0 {
            return AdmissionLevel::OPEN;
        }
        let age = now.since(self.received_at);
        if age >= decay {
            return AdmissionLevel::OPEN;
        }
        let risen = closed * age.as_micros() / decay.as_micros().max(1);
        AdmissionLevel(self.level.0 + risen as u16)
    }

    /// Whether a call of `rank` may be sent.
    pub(crate) fn admits(&self, rank: AdmissionRank, now: Timestamp, decay: Duration) -> bool {
        self.effective(now, decay).admits(rank)
    }
}
