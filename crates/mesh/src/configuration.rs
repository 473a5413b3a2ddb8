//! The routing configuration of a sidecar, and the rule that it never goes back.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crate::tenants::{Tenant, TenantTable};

/// Whether a call may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryability {
    /// It may run more than once.
    Retryable,
    /// It may run at most once.
    AtMostOnce,
}

/// One service that a route may send a call to, with its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share relative to the other destinations of the route.
    pub weight: f64,
}

/// How calls under one prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The beginning of the paths that it takes; ends with a slash.
    pub prefix: String,
    /// Whether its calls may be repeated.
    pub retryability: Retryability,
    /// The time within which an answer is worth its full value.
    pub latency_objective: Duration,
    /// The longest time that a call may be held.
    pub timeout: Duration,
    /// The most targets that one call may be sent to.
    pub max_attempts: u32,
    /// The importance; 0 is the greatest.
    pub priority: u8,
    /// Whether its calls need no key of a tenant.
    pub is_public: bool,
    /// The services that serve it; never empty.
    pub destinations: Vec<Destination>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub header_bytes: usize,
    /// The largest body of a request in bytes.
    pub body_bytes: u64,
    /// The longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What is known of a service besides its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The path that tells a target's health.
    pub health_path: String,
    /// The most connections that a target takes from all callers together.
    pub max_connections: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; a higher number is newer.
    pub version: u64,
    /// Routes by host.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSettings>,
    /// The tenants; while there are none no call needs a key.
    pub tenants: TenantTable,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// The document that it was read from, as other nodes get it.
    pub document: Document,
    /// The least important priority of the routes, worked out when it is first asked for: each call asks, and there may be thousands of
    /// routes.
    pub lowest_route_priority: OnceLock<u8>,
}

/// The text of a configuration. It holds keys, so it is never printed.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Document(pub Arc<[u8]>);

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Document({} bytes)", self.0.len())
    }
}

impl Configuration {
    /// How many importances are in use, counted from the greatest to the least: those of routes for each of tenants.
    pub fn priority_count(&self) -> u32 {
        u32::from(self.route_priorities()) * u32::from(self.tenants.priority_count())
    }

    /// The importance of a call of `route` by `tenant`, or by anyone: the tenant's goes before the route's. Calls without a tenant rank
    /// with those of the least important one.
    pub fn call_priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        let last = self.tenants.priority_count() - 1;
        let by_tenant = tenant.map_or(last, |tenant| tenant.priority.min(last));
        by_tenant.saturating_mul(self.route_priorities()).saturating_add(route.priority)
    }

    fn route_priorities(&self) -> u8 {
        let least = || self.hosts.values().flatten().map(|route| route.priority).max().unwrap_or(0);
        self.lowest_route_priority.get_or_init(least).saturating_add(1)
    }
}

/// The configuration that a node follows. It only ever moves to a newer version.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationInForce {
    current: Option<Arc<Configuration>>,
}

impl ConfigurationInForce {
    /// Takes `offered` if it is newer than what is in force, and says whether it was taken.
    pub fn offer(&mut self, offered: impl Into<Arc<Configuration>>) -> bool {
        let offered = offered.into();
        if self.current.as_ref().is_some_and(|current| current.version >= offered.version) {
            return false;
        }
        self.current = Some(offered);
        true
    }

    /// The configuration in force, if there is any yet.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The version in force, zero if there is none yet.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }
}
