//! Learns which routes the calls of a route call in turn.
//!
//! Where it is unknown for which of its running calls a target makes a call of its own, that call is divided among the
//! routes of the possible parents ([`crate::parents`]), by the number of their running calls and by the rate at which
//! they made such calls before. The shares converge to the true ones, since routes that never make the call also run
//! while it is not made.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The minimum number of calls per run for a route to count as calling another.
const MIN_CALLS_PER_RUN: f64 = 0.25;
/// The minimum number of runs of a route before its callees are used.
const MIN_RUNS: f64 = 4.0;
/// The half-life of all counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(15);
/// The rate of calls per second of running time that is assumed for a route without history.
const PRIOR_CALLS_PER_SECOND: f64 = 0.05;

#[derive(Clone, Debug, Default)]
struct ParentStatistics {
    running: u32,
    running_seconds: f64,
    runs: f64,
    calls_by_route: HashMap<Arc<str>, f64>,
}

impl ParentStatistics {
    fn call_rate(&self, callee: &str) -> f64 {
        let calls = self.calls_by_route.get(callee).copied().unwrap_or(0.0);
        (calls + PRIOR_CALLS_PER_SECOND) / (self.running_seconds + 1.0)
    }
}

/// The calls between routes, as seen at one target.
#[derive(Clone, Debug)]
pub struct CallGraph {
    parents: HashMap<Arc<str>, ParentStatistics>,
    updated: Timestamp,
}

impl CallGraph {
    /// An empty graph.
    pub fn new(now: Timestamp) -> Self {
        CallGraph { parents: HashMap::new(), updated: now }
    }

    /// Records that a call of `route` starts to run at the target.
    pub fn call_started(&mut self, route: &Arc<str>, now: Timestamp) {
        self.advance(now);
        let parent = self.parents.entry(route.clone()).or_default();
        parent.running += 1;
        parent.runs += 1.0;
    }

    /// Records that a call of `route` has ended at the target.
    pub fn call_ended(&mut self, route: &str, now: Timestamp) {
        self.advance(now);
        if let Some(parent) = self.parents.get_mut(route) {
            parent.running = parent.running.saturating_sub(1);
        }
    }

    /// Records that the target makes a call of route `callee` for a call of one of these routes, with the likelihood of
    /// each.
    pub fn record_call<'a>(
        &mut self,
        callee: &Arc<str>,
        parents: impl IntoIterator<Item = (&'a Arc<str>, f64)>,
        now: Timestamp,
    ) {
        self.advance(now);
        for (route, likelihood) in parents {
            let Some(parent) = self.parents.get_mut(route) else { continue };
            *parent.calls_by_route.entry(callee.clone()).or_default() += likelihood;
        }
    }

    /// Returns how many calls of `callee` one running call of `parent` makes per second.
    pub fn call_rate(&self, parent: &str, callee: &str) -> f64 {
        self.parents.get(parent).map_or(PRIOR_CALLS_PER_SECOND, |parent| parent.call_rate(callee))
    }

    /// Returns the routes that calls of `route` call.
    pub fn callees<'a>(&'a self, route: &str) -> impl Iterator<Item = &'a Arc<str>> {
        let parent = self.parents.get(route).filter(|parent| parent.runs >= MIN_RUNS);
        parent.into_iter().flat_map(|parent| {
            let callees = parent.calls_by_route.iter().filter(|(_, calls)| **calls / parent.runs >= MIN_CALLS_PER_RUN);
            callees.map(|(callee, _)| callee)
        })
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let remaining = 0.5_f64.powf(elapsed / COUNT_HALF_LIFE.as_secs_f64());
        for parent in self.parents.values_mut() {
            parent.running_seconds = parent.running_seconds * remaining + f64::from(parent.running) * elapsed;
            parent.runs *= remaining;
            parent.calls_by_route.values_mut().for_each(|calls| *calls *= remaining);
        }
    }
}
