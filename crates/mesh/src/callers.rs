//! Who calls a route: callers, or only targets of other services.
//!
//! Callers enter at every machine, whatever its service, while a route that only targets call is used from the machines of
//! their services alone. The gates that serve a route see that, and report it with their answers.

use std::collections::HashMap;
use std::sync::Arc;

/// Who calls a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerKind {
    /// Too little was seen.
    #[default]
    Unknown,
    /// Only targets.
    TargetsOnly,
    /// Callers, and possibly targets too.
    IncludesCallers,
}

/// The calls that must be expected from the machines of services that make none, before only targets are taken to call a route: with so
/// many, chance leaves none at all in one case of 150.
const CALLS_MISSED: f64 = 5.0;
/// The calls that must be expected from one service's machines for the service to be missed.
const CALLS_EXPECTED: f64 = 4.0;
/// The share of the calls expected from a service's machines below which the service is taken not to call the route. Some calls
/// come from everywhere, such as those that try a route out.
const STRAY_PART: f64 = 0.1;
/// The calls after which older ones count half.
const CALLS_REMEMBERED: f64 = 400.0;
/// The calls after which a route is judged anew.
const JUDGED_EVERY: u32 = 8;

/// The calls of one route.
#[derive(Clone, Debug, Default)]
struct RouteCallers {
    by_service: HashMap<Arc<str>, f64>,
    total: f64,
    unjudged: u32,
    judged: CallerKind,
}

impl RouteCallers {
    fn judge<'a>(&self, services: impl Iterator<Item = (&'a Arc<str>, f64)>) -> CallerKind {
        let (mut missed, mut unsure) = (0.0, 0.0);
        for (service, machine_share) in services {
            let expected = self.total * machine_share;
            let seen = self.by_service.get(service).copied().unwrap_or(0.0);
            if seen >= STRAY_PART * expected && seen > 0.0 {
                continue;
            }
            let kind = if expected >= CALLS_EXPECTED { &mut missed } else { &mut unsure };
            *kind += expected;
        }
        if missed >= CALLS_MISSED {
            CallerKind::TargetsOnly
        } else if missed + unsure > STRAY_PART * self.total {
            CallerKind::Unknown
        } else {
            CallerKind::IncludesCallers
        }
    }
}

/// From which services' machines the calls of each route come, as the gate that serves them sees it.
#[derive(Clone, Debug, Default)]
pub struct RouteCallerCounts {
    by_route: HashMap<Arc<str>, RouteCallers>,
}

impl RouteCallerCounts {
    /// Counts a call of a route that entered at a machine of a service.
    pub fn count_call(&mut self, route: &Arc<str>, caller: &str) {
        let callers = self.by_route.entry(route.clone()).or_default();
        match callers.by_service.get_mut(caller) {
            Some(calls) => *calls += 1.0,
            None => {
                callers.by_service.insert(Arc::from(caller), 1.0);
            }
        }
        callers.total += 1.0;
        callers.unjudged += 1;
        if callers.total > CALLS_REMEMBERED {
            callers.total /= 2.0;
            callers.by_service.values_mut().for_each(|calls| *calls /= 2.0);
        }
    }

    /// Who calls a route, judged by all services, each with its share of all machines.
    pub fn caller_kind<'a, I: Iterator<Item = (&'a Arc<str>, f64)>>(
        &mut self,
        route: &str,
        services: impl FnOnce() -> I,
    ) -> CallerKind {
        let Some(callers) = self.by_route.get_mut(route) else { return CallerKind::Unknown };
        if callers.unjudged >= JUDGED_EVERY {
            callers.unjudged = 0;
            callers.judged = callers.judge(services());
        }
        callers.judged
    }
}
