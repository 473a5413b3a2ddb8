//! Who calls a route: callers, or only targets of other services.
//!
//! Callers enter at every machine, whatever its service, while a route that only targets call is used from the machines of
//! their services alone. The gates that serve a route see that, and report it with their answers.

use std::collections::HashMap;
use std::sync::Arc;

/// Who calls a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CalledBy {
    /// Too little was seen.
    #[default]
    Unknown,
    /// Only targets.
    Targets,
    /// Callers, and possibly targets too.
    Callers,
}

/// The calls that must be expected from the machines of services that make none, before only targets are taken to call a
/// route: with so many, chance leaves none at all in one case of 160,000.
const CALLS_MISSED: f64 = 12.0;
/// The share of the calls expected from a service's machines below which the service is taken not to call the route. Some calls
/// come from everywhere, such as those that try a route out.
const STRAY_PART: f64 = 0.1;
/// The calls after which older ones count half.
const CALLS_REMEMBERED: f64 = 400.0;

/// From which services' machines the calls of each route come, as the gate that serves them sees it.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    by_route: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl CallerShares {
    /// Counts a call of a route that entered at a machine of a service.
    pub fn count(&mut self, route: &Arc<str>, caller: &str) {
        let callers = self.by_route.entry(route.clone()).or_default();
        match callers.get_mut(caller) {
            Some(calls) => *calls += 1.0,
            None => {
                callers.insert(Arc::from(caller), 1.0);
            }
        }
        if callers.values().sum::<f64>() > CALLS_REMEMBERED {
            callers.values_mut().for_each(|calls| *calls /= 2.0);
        }
    }

    /// Who calls a route, if `machine_share` is the share of all machines that belong to a service.
    pub fn called_by(&self, route: &str, machine_share: impl Fn(&str) -> f64) -> CalledBy {
        let Some(callers) = self.by_route.get(route) else { return CalledBy::Unknown };
        let total: f64 = callers.values().sum();
        if total < CALLS_MISSED {
            return CalledBy::Unknown;
        }
        let mut covered = 0.0;
        for (service, calls) in callers {
            let share = machine_share(service);
            if *calls >= STRAY_PART * share * total {
                covered += share;
            }
        }
        if total * (1.0 - covered) >= CALLS_MISSED {
            CalledBy::Targets
        } else {
            CalledBy::Callers
        }
    }
}
