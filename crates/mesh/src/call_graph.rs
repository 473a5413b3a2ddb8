//! Learns which routes the calls of a route call in turn.
//!
//! Where it is not known for which of its running calls a target makes one of its own, the call is shared out among the routes of
//! those that it may be for ([`crate::parents`]), by how many of them run and by how often calls of the route were made before; the
//! shares settle on the true ones, since routes that never call also run while nothing is called.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// Calls for each run below which a route does not count as calling another.
const LINKED_FROM: f64 = 0.25;
/// The runs of a route from which its links are believed.
const RUNS_NEEDED: f64 = 4.0;
/// The time after which half of what was learnt is forgotten.
const MEMORY: Duration = Duration::from_secs(15);
/// What a route without history is taken to call each second while it runs.
const PRIOR_RATE: f64 = 0.05;

#[derive(Clone, Debug, Default)]
struct Parent {
    running: u32,
    exposure: f64,
    runs: f64,
    calls: HashMap<Arc<str>, f64>,
}

impl Parent {
    fn rate(&self, called: &str) -> f64 {
        let calls = self.calls.get(called).copied().unwrap_or(0.0);
        (calls + PRIOR_RATE) / (self.exposure + 1.0)
    }
}

/// The calls between routes, as seen at one target.
#[derive(Clone, Debug)]
pub struct CallGraph {
    parents: HashMap<Arc<str>, Parent>,
    updated: Timestamp,
}

impl CallGraph {
    /// Nothing is known yet.
    pub fn new(now: Timestamp) -> Self {
        CallGraph { parents: HashMap::new(), updated: now }
    }

    /// A call of `route` begins to run at the target.
    pub fn call_started(&mut self, route: &Arc<str>, now: Timestamp) {
        self.advance(now);
        let parent = self.parents.entry(route.clone()).or_default();
        parent.running += 1;
        parent.runs += 1.0;
    }

    /// A call of `route` has ended at the target.
    pub fn call_ended(&mut self, route: &str, now: Timestamp) {
        self.advance(now);
        if let Some(parent) = self.parents.get_mut(route) {
            parent.running = parent.running.saturating_sub(1);
        }
    }

    /// The target makes a call of route `called` for a call of one of these routes, with the likelihood of each.
    pub fn record_call<'a>(
        &mut self,
        called: &Arc<str>,
        parents: impl IntoIterator<Item = (&'a Arc<str>, f64)>,
        now: Timestamp,
    ) {
        self.advance(now);
        for (route, likelihood) in parents {
            let Some(parent) = self.parents.get_mut(route) else { continue };
            *parent.calls.entry(called.clone()).or_default() += likelihood;
        }
    }

    /// How often a running call of `parent` makes a call of `called`, each second.
    pub fn call_rate(&self, parent: &str, called: &str) -> f64 {
        self.parents.get(parent).map_or(PRIOR_RATE, |parent| parent.rate(called))
    }

    /// The routes that calls of `route` call.
    pub fn callees<'a>(&'a self, route: &str) -> impl Iterator<Item = &'a Arc<str>> {
        let parent = self.parents.get(route).filter(|parent| parent.runs >= RUNS_NEEDED);
        parent.into_iter().flat_map(|parent| {
            let linked = parent.calls.iter().filter(|(_, calls)| **calls / parent.runs >= LINKED_FROM);
            linked.map(|(called, _)| called)
        })
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated = now;
        let kept = 0.5_f64.powf(elapsed / MEMORY.as_secs_f64());
        for parent in self.parents.values_mut() {
            parent.exposure = parent.exposure * kept + f64::from(parent.running) * elapsed;
            parent.runs *= kept;
            parent.calls.values_mut().for_each(|calls| *calls *= kept);
        }
    }
}
