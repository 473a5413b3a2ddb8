//! Which calls enter the graph when a service that they need can't serve all of them.
//!
//! Gates that are short of slots cut the order of importance somewhere ([`crate::capacity`]): calls above the cut are let in, those
//! below are not. Each answer carries the cut of its route: the lowest of the gate's own and of those routes that calls of this route
//! call in turn, so a shortage deep in the graph is known where its load begins. (Zhou et al., "Overload Control for Scaling WeChat
//! Microservices", SoCC 2018, cut the order of importance in this way, with a step up or down each second.)

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The least share of calls of any importance that is let in, so that none starves and a shortage that is over is noticed. Callers that
/// are refused ask again, some of them several times, so a tenth was a third of what a scarce service could do.
pub const MIN_ADMITTED_SHARE: f64 = 0.03;

/// Where the order of importance is cut: zero lets in the least share of everything, one everything.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct AdmissionLevel(f64);

impl AdmissionLevel {
    /// Everything is let in.
    pub const FULL: AdmissionLevel = AdmissionLevel(1.0);

    /// A cut after this share of the priorities.
    pub fn from_priority_share(share: f64) -> Self {
        AdmissionLevel(share.clamp(0.0, 1.0))
    }

    /// The share of the priorities that is let in.
    pub fn priority_share(self) -> f64 {
        self.0
    }

    /// Whether everything is let in.
    pub fn admits_all(self) -> bool {
        self.0 >= 1.0 - 1e-4
    }

    /// The lower one of two cuts.
    pub fn lower_of(self, other: AdmissionLevel) -> AdmissionLevel {
        AdmissionLevel(self.0.min(other.0))
    }

    /// The share of the calls of `priority` that is let in, if `priorities` of them are in use.
    pub fn admitted_share(self, priority: u8, priorities: u32) -> f64 {
        if self.admits_all() {
            return 1.0;
        }
        let above = self.0 * f64::from(priorities) - f64::from(priority);
        MIN_ADMITTED_SHARE + (1.0 - MIN_ADMITTED_SHARE) * above.clamp(0.0, 1.0)
    }
}

/// The least weight of one report in the cut of a route: gates of one service differ a little.
const REPORT_GAIN: f64 = 0.1;
/// The time in which reports replace two thirds of what was known before, however few they are. A cut passes several nodes on its
/// way to where calls enter, and is late by this time at each.
const REPORT_TIME: Duration = Duration::from_millis(100);
/// For how long a cut holds without a report. Each node on the way would take a part of a shortage away if it faded between two
/// reports, which are a second apart where a tenth of a few calls a second is let in.
const REPORT_HOLDS: Duration = Duration::from_millis(1000);
/// The time after that in which a cut without reports has returned half way to open.
const REPORT_MEMORY: Duration = Duration::from_millis(1000);

/// The cuts of routes, as their targets' gates have reported them.
#[derive(Clone, Debug, Default)]
pub struct RouteAdmissionLevels {
    cuts: HashMap<Arc<str>, (f64, Timestamp)>,
}

impl RouteAdmissionLevels {
    /// Takes the cut that came with an answer to a call of `route`.
    pub fn record_report(&mut self, route: &Arc<str>, cut: AdmissionLevel, now: Timestamp) {
        let current = self.level(route, now).priority_share();
        let gain = self.age(route, now).map_or(REPORT_GAIN, |age| {
            let replaced = 1.0 - (-age.as_secs_f64() / REPORT_TIME.as_secs_f64()).exp();
            replaced.max(REPORT_GAIN)
        });
        self.cuts.insert(route.clone(), (current + gain * (cut.priority_share() - current), now));
    }

    /// Where the calls of a route are cut.
    pub fn level(&self, route: &str, now: Timestamp) -> AdmissionLevel {
        let Some((share, reported)) = self.cuts.get(route) else { return AdmissionLevel::FULL };
        let age = now.since(*reported).saturating_sub(REPORT_HOLDS).as_secs_f64() / REPORT_MEMORY.as_secs_f64();
        AdmissionLevel::from_priority_share(1.0 - (1.0 - share) * 0.5_f64.powf(age))
    }

    /// How long ago the cut of a route was reported last.
    pub fn age(&self, route: &str, now: Timestamp) -> Option<Duration> {
        self.cuts.get(route).map(|(_, reported)| now.since(*reported))
    }

    /// The lowest cut among `routes`.
    pub fn lowest<'a>(&self, routes: impl Iterator<Item = &'a Arc<str>>, now: Timestamp) -> AdmissionLevel {
        routes.map(|route| self.level(route, now)).fold(AdmissionLevel::FULL, AdmissionLevel::lower_of)
    }
}
