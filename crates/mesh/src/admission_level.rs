//! Admission levels: which calls may enter the graph when a service that they need can't serve all of them.
//!
//! A gate whose target is out of capacity computes an admission level for each route ([`crate::capacity`]): calls whose
//! priority lies within the level are admitted, most others are refused. Each response carries the level of its route:
//! the lowest of the gate's own and of the routes that calls of this route call in turn, so a shortage deep in the
//! graph is known where its load enters. (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018,
//! admit by priority in this way, and move the level one step up or down each second.)

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The minimum share of the calls of any priority that is admitted, so that none starves and the end of a shortage is
/// noticed. Refused callers retry, some of them several times: with 0.1, the calls admitted in this way took a third of
/// the capacity of a bottleneck service.
pub const MIN_ADMITTED_SHARE: f64 = 0.03;

/// The share of the priorities that is admitted, from the highest priority on: zero admits only the minimum share of
/// all calls, one admits all calls.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct AdmissionLevel(f64);

impl AdmissionLevel {
    /// Admits all calls.
    pub const FULL: AdmissionLevel = AdmissionLevel(1.0);

    /// A level that admits this share of the priorities.
    pub fn from_priority_share(share: f64) -> Self {
        AdmissionLevel(share.clamp(0.0, 1.0))
    }

    /// Returns the share of the priorities that is admitted.
    pub fn priority_share(self) -> f64 {
        self.0
    }

    /// Returns whether all calls are admitted. This holds for levels within 0.0001 of one too: a level without reports
    /// approaches one but never reaches it.
    pub fn admits_all(self) -> bool {
        self.0 >= 1.0 - 1e-4
    }

    /// Returns the lower of two levels.
    pub fn lower_of(self, other: AdmissionLevel) -> AdmissionLevel {
        AdmissionLevel(self.0.min(other.0))
    }

    /// Returns the share of the calls of `priority` that is admitted, if `priorities` of them are in use.
    pub fn admitted_share(self, priority: u8, priorities: u32) -> f64 {
        if self.admits_all() {
            return 1.0;
        }
        let admitted_part = self.0 * f64::from(priorities) - f64::from(priority);
        MIN_ADMITTED_SHARE + (1.0 - MIN_ADMITTED_SHARE) * admitted_part.clamp(0.0, 1.0)
    }
}

/// The minimum weight of one report in the level of a route: the gates of one service differ a little.
const MIN_REPORT_GAIN: f64 = 0.1;
/// The time constant with which reports replace the previous level, however rare they are. A level passes several nodes
/// on its way to where calls enter, and each of them delays it by this time.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// For how long a level stays unchanged without a report. Reports are a second apart where a tenth of a few calls a
/// second is admitted, and a level that rose between two reports would lose a part of the shortage at each node on the
/// way.
const REPORT_HOLD_TIME: Duration = Duration::from_millis(1000);
/// The half-life with which a level without reports rises to [`AdmissionLevel::FULL`] after that.
const RECOVERY_HALF_LIFE: Duration = Duration::from_millis(1000);

/// The admission levels of routes, as reported by the gates of their targets.
#[derive(Clone, Debug, Default)]
pub struct RouteAdmissionLevels {
    levels: HashMap<Arc<str>, (f64, Timestamp)>,
}

impl RouteAdmissionLevels {
    /// Records the level that came with a response to a call of `route`.
    pub fn record_report(&mut self, route: &Arc<str>, level: AdmissionLevel, now: Timestamp) {
        let current = self.level(route, now).priority_share();
        let gain = self.age(route, now).map_or(MIN_REPORT_GAIN, |age| {
            let replaced = 1.0 - (-age.as_secs_f64() / REPORT_TIME_CONSTANT.as_secs_f64()).exp();
            replaced.max(MIN_REPORT_GAIN)
        });
        self.levels.insert(route.clone(), (current + gain * (level.priority_share() - current), now));
    }

    /// Returns the admission level of a route.
    pub fn level(&self, route: &str, now: Timestamp) -> AdmissionLevel {
        let Some((share, reported)) = self.levels.get(route) else { return AdmissionLevel::FULL };
        let age =
            now.since(*reported).saturating_sub(REPORT_HOLD_TIME).as_secs_f64() / RECOVERY_HALF_LIFE.as_secs_f64();
        AdmissionLevel::from_priority_share(1.0 - (1.0 - share) * 0.5_f64.powf(age))
    }

    /// Returns how long ago the level of a route was last reported.
    pub fn age(&self, route: &str, now: Timestamp) -> Option<Duration> {
        self.levels.get(route).map(|(_, reported)| now.since(*reported))
    }

    /// Returns the lowest level among `routes`.
    pub fn lowest<'a>(&self, routes: impl Iterator<Item = &'a Arc<str>>, now: Timestamp) -> AdmissionLevel {
        routes.map(|route| self.level(route, now)).fold(AdmissionLevel::FULL, AdmissionLevel::lower_of)
    }
}
