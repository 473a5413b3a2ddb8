//! How much of the demand a gate can serve, as a level between zero and one that travels to where calls enter.
//!
//! The gate compares what runs and waits with its limit. While more is there than fits, the level falls; while there is
//! room, it rises. Each answer carries the level of its route: the least of the gate's own and of those routes that calls
//! of this route call in turn, so a busy service deep in the graph is known where its load begins.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::gate::Load;

/// The utilization that the controller aims at.
const AIM: f64 = 1.0;
/// The utilization below which the level rises at its full rate.
const ROOM: f64 = 0.8;
/// The time in which a level falls to a third at twice the load that fits.
const FALL_TIME: f64 = 0.6;
/// The share of the whole range by which a level rises in a second when there is room.
const RISE_PER_SECOND: f64 = 0.5;
/// The lowest level; some calls are always let through, so that a rise is noticed.
const LOWEST: f64 = 0.05;
/// The longest time that one observation stands for.
const LONGEST_STEP: f64 = 0.2;

/// The level of one gate.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    level: f64,
    observed: Timestamp,
}

impl Pressure {
    /// A level that admits everything.
    pub fn new(now: Timestamp) -> Self {
        Pressure { level: 1.0, observed: now }
    }

    /// The share of the demand that is admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes the gate's load at this moment into account.
    pub fn observe(&mut self, load: Load, now: Timestamp) {
        let step = now.since(self.observed).as_secs_f64().min(LONGEST_STEP);
        self.observed = now;
        let utilization = load.utilization();
        if utilization > AIM {
            let excess = (utilization - AIM).min(2.0);
            self.level *= (-excess * step / FALL_TIME).exp();
        } else {
            let room = ((AIM - utilization) / (AIM - ROOM)).min(1.0);
            self.level += room * RISE_PER_SECOND * step;
        }
        self.level = self.level.clamp(LOWEST, 1.0);
    }
}

/// The weight of one report in the level of a route.
const REPORT_GAIN: f64 = 0.2;
/// The time after which a level without reports has returned half way to one.
const REPORT_MEMORY: Duration = Duration::from_millis(700);

/// The levels of routes, as their targets' gates have told them.
#[derive(Clone, Debug, Default)]
pub struct RouteLevels {
    levels: HashMap<Arc<str>, (f64, Timestamp)>,
}

impl RouteLevels {
    /// Takes the level that came with an answer to a call of `route`.
    pub fn report(&mut self, route: &Arc<str>, level: f64, now: Timestamp) {
        let current = self.level(route, now);
        self.levels.insert(route.clone(), (current + REPORT_GAIN * (level - current), now));
    }

    /// The share of a route's calls that its targets can serve.
    pub fn level(&self, route: &str, now: Timestamp) -> f64 {
        let Some((level, reported)) = self.levels.get(route) else { return 1.0 };
        let age = now.since(*reported).as_secs_f64() / REPORT_MEMORY.as_secs_f64();
        1.0 - (1.0 - level) * 0.5_f64.powf(age)
    }

    /// The least level among `routes`.
    pub fn least<'a>(&self, routes: impl Iterator<Item = &'a Arc<str>>, now: Timestamp) -> f64 {
        routes.map(|route| self.level(route, now)).fold(1.0, f64::min)
    }
}
