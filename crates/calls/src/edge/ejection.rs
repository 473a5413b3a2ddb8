//! Takes a target that keeps failing out of the choice for a while.
//!
//! The number of targets ejected at once is capped by the caller, so that ejection alone never takes a service down: when
//! everything fails, for example behind a partition, everything is still tried.

use std::time::Duration;

use quillhatch_types::Timestamp;

/// Ejections in a row after which the ejection time no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionSettings {
    /// Failures in a row after which a target is ejected.
    pub failures: u32,
    /// How long the first ejection lasts; doubles with every further one.
    pub base: Duration,
    /// How long an ejection lasts at most.
    pub maximum: Duration,
    /// The time without an ejection after which the next one is short again.
    pub forget_after: Duration,
    /// The largest share of a service's targets at one site that is ejected at once, in percent, rounded down.
    pub maximum_percent: u8,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        EjectionSettings {
            failures: 5,
            base: Duration::from_millis(500),
            maximum: Duration::from_secs(4),
            forget_after: Duration::from_secs(10),
            maximum_percent: 34,
        }
    }
}

impl EjectionSettings {
    /// Whether one more of `targets` may be ejected while `ejected` are.
    pub(crate) fn allows(&self, ejected: usize, targets: usize) -> bool {
        (ejected + 1) * 100 <= targets * usize::from(self.maximum_percent)
    }

    fn duration(&self, ejections: u32) -> Duration {
        self.base.saturating_mul(1 << ejections.min(MAX_DOUBLINGS)).min(self.maximum)
    }
}

/// The recent failures of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutlierState {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

impl OutlierState {
    /// The target answered.
    pub(crate) fn success(&mut self) {
        self.failures = 0;
    }

    /// The target failed; returns whether it should be ejected if the cap allows.
    pub(crate) fn failure(&mut self, settings: &EjectionSettings) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= settings.failures
    }

    /// Ejects the target. It comes back on probation: one more failure ejects it again.
    pub(crate) fn eject(&mut self, now: Timestamp, settings: &EjectionSettings) {
        let quiet = self.ejected_until.is_none_or(|until| now.since(until) >= settings.forget_after);
        if quiet {
            self.ejections = 0;
        }
        self.ejected_until = Some(now + settings.duration(self.ejections));
        self.ejections = self.ejections.saturating_add(1);
        self.failures = settings.failures.saturating_sub(1);
    }

    /// Whether the target is out of the choice at `now`.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
