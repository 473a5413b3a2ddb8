//! The edge's side: the rate limits that gates have reported.

use std::collections::HashMap;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{KnownLimit, RateLimitReport};
use crate::targets::TargetId;

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
    /// Records what the gate of `target` reports.
    pub fn record(&mut self, target: &TargetId, limit: KnownLimit, now: Timestamp) {
        match limit {
            KnownLimit::Limited(report) => {
                let is_new = self.reports.insert(target.clone(), (report, now)).is_none();
                if is_new {
                    self.reports.retain(|_, (_, reported)| now.since(*reported) < LIMIT_RETENTION);
                }
            }
            KnownLimit::Unlimited if !self.reports.is_empty() => self.forget(target),
            KnownLimit::Unlimited | KnownLimit::Unknown => {}
        }
    }

    /// Forgets the limit of a target whose process has restarted.
    pub fn forget(&mut self, target: &str) {
        self.reports.remove(target);
    }

    /// The limit of a target in calls per second, if it has one.
    pub fn per_second(&self, target: &str) -> Option<f64> {
        self.reports.get(target).map(|(report, _)| report.per_second)
    }

    /// The share of calls for which a target is considered.
    pub fn share(&self, target: &str, now: Timestamp) -> f64 {
        let report = self.reports.get(target).filter(|(_, reported)| now.since(*reported) < SHARE_LIFETIME);
        report.map_or(1.0, |(report, _)| report.share)
    }
}
