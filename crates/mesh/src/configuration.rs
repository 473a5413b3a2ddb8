//! The routing configuration of a sidecar, and the rule that it is never replaced by an older one.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crate::tenants::{Tenant, TenantTable};

/// Whether a call may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryability {
    /// It may: running it more than once does no harm.
    Retryable,
    /// It may not: it must run at most once.
    AtMostOnce,
}

/// A service to which a route may send calls, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share of the calls, relative to the weights of the route's other destinations.
    pub weight: f64,
}

/// How calls under a path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Arc<str>,
    /// The prefix of the paths that it matches; ends with a slash.
    pub prefix: String,
    /// Whether its calls may be retried.
    pub retryability: Retryability,
    /// The latency within which a response has its full value.
    pub latency_objective: Duration,
    /// The timeout of a call.
    pub timeout: Duration,
    /// The maximum number of targets to which one call may be sent.
    pub max_attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether its calls need no API key of a tenant.
    pub is_public: bool,
    /// The services to which its calls are sent; never empty.
    pub destinations: Vec<Destination>,
}

/// Limits on the requests and connections of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// The maximum time for a request's head to arrive.
    pub header_timeout: Duration,
    /// The maximum time for which a connection may be idle between requests.
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

/// The settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The path at which a target reports its health.
    pub health_path: String,
    /// The maximum number of connections that a target accepts from all callers together.
    pub max_connections: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; a higher one is newer.
    pub version: u64,
    /// Routes by host.
    pub hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSettings>,
    /// The tenants; if there are none, no call needs an API key.
    pub tenants: TenantTable,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The document from which it was read, which is sent to other nodes.
    pub document: Document,
    /// The lowest priority of any route (the highest number). It is computed on first use and cached: each call needs
    /// it, and there may be thousands of routes.
    pub lowest_route_priority: OnceLock<u8>,
}

/// The text of a configuration. It contains API keys, so it is never printed.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Document(pub Arc<[u8]>);

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Document({} bytes)", self.0.len())
    }
}

impl Configuration {
    /// The number of call priorities, from the highest to the lowest one in use: the number of route priorities times
    /// that of tenants.
    pub fn priority_count(&self) -> u32 {
        u32::from(self.route_priority_count()) * u32::from(self.tenants.priority_count())
    }

    /// The priority of a call of `route` by `tenant`; 0 is the highest. The tenant's priority takes precedence over the
    /// route's. Calls without a tenant rank with those of the tenants with the lowest priority.
    pub fn call_priority(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        let lowest = self.tenants.priority_count() - 1;
        let tenant_priority = tenant.map_or(lowest, |tenant| tenant.priority.min(lowest));
        tenant_priority.saturating_mul(self.route_priority_count()).saturating_add(route.priority)
    }

    fn route_priority_count(&self) -> u8 {
        let lowest = || self.hosts.values().flatten().map(|route| route.priority).max().unwrap_or(0);
        self.lowest_route_priority.get_or_init(lowest).saturating_add(1)
    }
}

/// The configuration that is in force at a node. It is only ever replaced by a newer version, or by other contents of
/// the same one.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationInForce {
    current: Option<Arc<Configuration>>,
}

impl ConfigurationInForce {
    /// Puts `offered` in force unless it is older than the current configuration or the same; returns whether it is in
    /// force now. Of two documents with the same version, the caller offers the one that was written later.
    pub fn offer(&mut self, offered: impl Into<Arc<Configuration>>) -> bool {
        let offered = offered.into();
        let is_refused = |current: &Arc<Configuration>| {
            let is_same = current.version == offered.version && current.document == offered.document;
            current.version > offered.version || is_same
        };
        if self.current.as_ref().is_some_and(is_refused) {
            return false;
        }
        self.current = Some(offered);
        true
    }

    /// The configuration in force, if there is one yet.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The version in force; zero if there is none yet.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }
}
