//! Classifies the clients that call a route: callers on the machines, or only targets of other services.
//!
//! Callers send calls from every machine, whatever its service, while a route that only targets call is used from the
//! machines of their services alone. The gates that serve a route observe that, and report it with their responses.

use std::collections::HashMap;
use std::sync::Arc;

/// The kinds of clients that call a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerKind {
    /// Too few calls were seen.
    #[default]
    Unknown,
    /// Only targets.
    TargetsOnly,
    /// Callers, and possibly targets too.
    IncludesCallers,
}

/// The minimum number of calls expected from the machines of services that make none, before a route is classified as
/// called by targets only. With this many expected, the probability of none by chance is 1 in 150.
const MIN_MISSING_CALLS: f64 = 5.0;
/// The minimum number of calls expected from one service's machines for their absence to count.
const MIN_EXPECTED_CALLS: f64 = 4.0;
/// The fraction of the calls expected from a service's machines below which the service counts as not calling the
/// route. A few calls come from everywhere, such as those that try a route out.
const MAX_STRAY_FRACTION: f64 = 0.1;
/// The number of calls after which all counts are halved, so that older calls count less.
const MAX_COUNTED_CALLS: f64 = 400.0;
/// The number of calls after which a route is classified again.
const CLASSIFICATION_INTERVAL_CALLS: u32 = 8;

/// The calls of one route.
#[derive(Clone, Debug, Default)]
struct RouteCallers {
    by_service: HashMap<Arc<str>, f64>,
    total: f64,
    calls_since_classified: u32,
    kind: CallerKind,
}

impl RouteCallers {
    fn classify<'a>(&self, services: impl Iterator<Item = (&'a Arc<str>, f64)>) -> CallerKind {
        let (mut missing, mut uncertain) = (0.0, 0.0);
        for (service, machine_share) in services {
            let expected = self.total * machine_share;
            let seen = self.by_service.get(service).copied().unwrap_or(0.0);
            if seen >= MAX_STRAY_FRACTION * expected && seen > 0.0 {
                continue;
            }
            let sum = if expected >= MIN_EXPECTED_CALLS { &mut missing } else { &mut uncertain };
            *sum += expected;
        }
        if missing >= MIN_MISSING_CALLS {
            CallerKind::TargetsOnly
        } else if missing + uncertain > MAX_STRAY_FRACTION * self.total {
            CallerKind::Unknown
        } else {
            CallerKind::IncludesCallers
        }
    }
}

/// Counts the calls of each route by the service of the machine where they entered, as seen by the gate that serves
/// them.
#[derive(Clone, Debug, Default)]
pub struct RouteCallerCounts {
    by_route: HashMap<Arc<str>, RouteCallers>,
}

impl RouteCallerCounts {
    /// Counts a call of a route that entered at a machine of a service.
    pub fn count_call(&mut self, route: &Arc<str>, caller_service: &str) {
        let callers = self.by_route.entry(route.clone()).or_default();
        match callers.by_service.get_mut(caller_service) {
            Some(calls) => *calls += 1.0,
            None => {
                callers.by_service.insert(Arc::from(caller_service), 1.0);
            }
        }
        callers.total += 1.0;
        callers.calls_since_classified += 1;
        if callers.total > MAX_COUNTED_CALLS {
            callers.total /= 2.0;
            callers.by_service.values_mut().for_each(|calls| *calls /= 2.0);
        }
    }

    /// Returns the kind of callers of a route, given all services, each with its share of all machines.
    pub fn caller_kind<'a, I: Iterator<Item = (&'a Arc<str>, f64)>>(
        &mut self,
        route: &str,
        services: impl FnOnce() -> I,
    ) -> CallerKind {
        let Some(callers) = self.by_route.get_mut(route) else { return CallerKind::Unknown };
        if callers.calls_since_classified >= CLASSIFICATION_INTERVAL_CALLS {
            callers.calls_since_classified = 0;
            callers.kind = callers.classify(services());
        }
        callers.kind
    }
}
