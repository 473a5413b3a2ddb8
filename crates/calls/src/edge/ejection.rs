//! Outlier ejection: temporarily excludes a target that keeps failing from load balancing.
//!
//! The caller caps the number of targets that are ejected at the same time, so that ejection alone never makes a
//! service unavailable: when all targets fail, for example behind a network partition, the others are still tried.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// The number of doublings after which the ejection time no longer grows.
const MAX_DOUBLINGS: u32 = 8;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionSettings {
    /// The number of consecutive failures after which a target is ejected.
    pub failures: u32,
    /// The duration of the first ejection; it doubles with each further one.
    pub base: Duration,
    /// The maximum duration of an ejection.
    pub maximum: Duration,
    /// The time without an ejection after which the next one lasts only the base duration again.
    pub reset_after: Duration,
    /// The maximum share of a service's targets at one site that are ejected at the same time, in percent, rounded
    /// down.
    pub maximum_percent: u8,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        EjectionSettings {
            failures: 5,
            base: Duration::from_millis(500),
            maximum: Duration::from_secs(4),
            reset_after: Duration::from_secs(10),
            maximum_percent: 34,
        }
    }
}

impl EjectionSettings {
    /// Whether one more of `targets` may be ejected while `ejected` of them already are.
    pub(crate) fn allows(&self, ejected: usize, targets: usize) -> bool {
        (ejected + 1) * 100 <= targets * usize::from(self.maximum_percent)
    }

    fn duration(&self, ejections: u32) -> Duration {
        self.base.saturating_mul(1 << ejections.min(MAX_DOUBLINGS)).min(self.maximum)
    }
}

/// The recent failures and ejections of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutlierState {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl OutlierState {
    /// Records an answer, which resets the count of consecutive failures.
    pub(crate) fn success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure; returns whether the target should be ejected if the cap allows.
    pub(crate) fn failure(&mut self, settings: &EjectionSettings) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= settings.failures
    }

    /// Ejects the target. After the ejection a single failure ejects it again.
    pub(crate) fn eject(&mut self, now: Timestamp, settings: &EjectionSettings) {
        let quiet = self.ejected_until.is_none_or(|until| now.since(until) >= settings.reset_after);
        if quiet {
            self.ejections = 0;
        }
        self.ejected_until = Some(now + settings.duration(self.ejections));
        self.ejections = self.ejections.saturating_add(1);
        self.failures = settings.failures.saturating_sub(1);
    }

    /// Whether the target is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
