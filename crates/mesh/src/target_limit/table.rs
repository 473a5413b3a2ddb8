//! The edge's side: the rate limits that gates have reported.

use std::collections::HashMap;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{AnnouncedLimit, KnownLimit, RateLimitReport};
use crate::targets::{RunningAt, TargetId};

/// The time after which an edge considers a target for all calls again if its gate has reported nothing.
const SHARE_LIFETIME: Duration = Duration::from_secs(10);
/// How long an edge remembers the limit of a target that it doesn't call.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// The rate limits of targets that an edge knows.
#[derive(Clone, Debug, Default)]
pub struct RateLimitTable {
    reports: HashMap<TargetId, (RateLimitReport, Timestamp)>,
}

impl RateLimitTable {
    /// Records what the gate of `target` reports, unless a later report has arrived before it.
    pub fn record(&mut self, target: &TargetId, limit: KnownLimit, now: Timestamp) {
        match limit {
            KnownLimit::Limited(report) if !self.is_outdated(target, report.limit.running_at) => {
                let is_new = self.reports.insert(target.clone(), (report, now)).is_none();
                if is_new {
                    self.reports.retain(|_, (_, reported)| now.since(*reported) < LIMIT_RETENTION);
                }
            }
            KnownLimit::Unlimited(running_at) if !self.is_outdated(target, running_at) => {
                self.reports.remove(target);
            }
            KnownLimit::Limited(_) | KnownLimit::Unlimited(_) | KnownLimit::Unknown => {}
        }
    }

    /// Whether a report is older than the one that is known. Without a time it is taken for newer.
    fn is_outdated(&self, target: &str, running_at: RunningAt) -> bool {
        let known = self.limit(target).map_or(RunningAt::default(), |known| known.running_at);
        running_at != RunningAt::default() && running_at < known
    }

    /// Forgets the limit of a process that is older than the one that started at `started`
    /// ([`crate::targets::Registration::started`]).
    pub fn forget_before(&mut self, target: &str, started: u64) {
        if self.limit(target).is_some_and(|known| known.running_at.precedes(started)) {
            self.reports.remove(target);
        }
    }

    /// The limit of a target, if it has one.
    pub fn limit(&self, target: &str) -> Option<AnnouncedLimit> {
        self.reports.get(target).map(|(report, _)| report.limit)
    }

    /// The share of calls for which a target is considered.
    pub fn share(&self, target: &str, now: Timestamp) -> f64 {
        let report = self.reports.get(target).filter(|(_, reported)| now.since(*reported) < SHARE_LIFETIME);
        report.map_or(1.0, |(report, _)| report.share)
    }
}
