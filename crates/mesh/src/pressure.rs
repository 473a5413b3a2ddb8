//! How much of the demand a gate can serve, as a level between zero and one that travels to where calls enter.
//!
//! The gate estimates how long a call waits that arrives now: the waiting calls, times what one takes, over what runs at a
//! time. While that is more than a call deep in the graph can bear, the level falls; while it is less, it rises. Each answer
//! carries the level of its route: the least of the gate's own and of those routes that calls of this route call in turn, so a
//! busy service deep in the graph is known where its load begins.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::gate::Load;

/// The wait that the controller aims at. A call of several hops meets it at each of them.
const AIM: Duration = Duration::from_millis(60);
/// The wait, as a multiple of the aim, beyond which the level falls no faster.
const WORST: f64 = 4.0;
/// The time in which a level falls to a third at twice the aimed wait.
const FALL_TIME: f64 = 1.0;
/// The share of the whole range by which a level rises in a second when nothing waits.
const RISE_PER_SECOND: f64 = 0.5;
/// The lowest level; some calls are always let through, so that a rise is noticed.
const LOWEST: f64 = 0.05;
/// The longest time that one observation stands for.
const LONGEST_STEP: f64 = 0.2;
/// The weight of one call in the time that calls take.
const TIME_GAIN: f64 = 0.02;

/// The level of one gate.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    level: f64,
    observed: Timestamp,
    call_time: f64,
}

impl Pressure {
    /// A level that admits everything.
    pub fn new(now: Timestamp) -> Self {
        Pressure { level: 1.0, observed: now, call_time: 0.0 }
    }

    /// The share of the demand that is admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// A call has held its slot for this long.
    pub fn held(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.call_time == 0.0 {
            self.call_time = time;
        }
        self.call_time += TIME_GAIN * (time - self.call_time);
    }

    /// How long a call waits that arrives at a gate with this load.
    pub fn expected_wait(&self, load: Load) -> Duration {
        Duration::from_secs_f64(f64::from(load.waiting) * self.call_time / f64::from(load.limit.max(1)))
    }

    /// Takes the gate's load at this moment into account.
    pub fn observe(&mut self, load: Load, now: Timestamp) {
        let step = now.since(self.observed).as_secs_f64().min(LONGEST_STEP);
        self.observed = now;
        let wait = self.expected_wait(load).as_secs_f64() / AIM.as_secs_f64();
        if wait > 1.0 {
            self.level *= (-(wait.min(WORST) - 1.0) * step / FALL_TIME).exp();
        } else {
            self.level += (1.0 - wait) * RISE_PER_SECOND * step;
        }
        self.level = self.level.clamp(LOWEST, 1.0);
    }
}

/// The least weight of one report in the level of a route.
const REPORT_GAIN: f64 = 0.2;
/// The time in which reports replace two thirds of what was known before, however few they are.
const REPORT_TIME: Duration = Duration::from_millis(250);
/// For how long a level holds without a report. A level passes several nodes on its way to where calls enter, and each of them
/// would take a part of a shortage away if it faded between two reports.
const REPORT_HOLDS: Duration = Duration::from_millis(300);
/// The time after that in which a level without reports has returned half way to one.
const REPORT_MEMORY: Duration = Duration::from_millis(350);

/// The levels of routes, as their targets' gates have told them.
#[derive(Clone, Debug, Default)]
pub struct RouteLevels {
    levels: HashMap<Arc<str>, (f64, Timestamp)>,
}

impl RouteLevels {
    /// Takes the level that came with an answer to a call of `route`.
    pub fn report(&mut self, route: &Arc<str>, level: f64, now: Timestamp) {
        let current = self.level(route, now);
        let gain = self.age(route, now).map_or(REPORT_GAIN, |age| {
            let replaced = 1.0 - (-age.as_secs_f64() / REPORT_TIME.as_secs_f64()).exp();
            replaced.max(REPORT_GAIN)
        });
        self.levels.insert(route.clone(), (current + gain * (level - current), now));
    }

    /// The share of a route's calls that its targets can serve.
    pub fn level(&self, route: &str, now: Timestamp) -> f64 {
        let Some((level, reported)) = self.levels.get(route) else { return 1.0 };
        let age = now.since(*reported).saturating_sub(REPORT_HOLDS).as_secs_f64() / REPORT_MEMORY.as_secs_f64();
        1.0 - (1.0 - level) * 0.5_f64.powf(age)
    }

    /// How long ago the level of a route was told last.
    pub fn age(&self, route: &str, now: Timestamp) -> Option<Duration> {
        self.levels.get(route).map(|(_, reported)| now.since(*reported))
    }

    /// The least level among `routes`.
    pub fn least<'a>(&self, routes: impl Iterator<Item = &'a Arc<str>>, now: Timestamp) -> f64 {
        routes.map(|route| self.level(route, now)).fold(1.0, f64::min)
    }
}
