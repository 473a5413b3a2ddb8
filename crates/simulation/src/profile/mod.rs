//! What a deployment looks like: services, call graphs, traffic and sizes.
//!
//! [`Deployment::of`] gives the deployment of a profile; times and answer sizes that the users did not state are
//! assumptions, listed in the design note of the simulation.

mod bajio;
mod graph;
mod load;
mod prairie;

use std::time::Duration;

use quillhatch_types::Priority;

pub use graph::{Step, StepIndex};
pub use load::capacity_roots_per_second;

use crate::options::Profile;

/// The position of a service in [`Deployment::services`].
pub type ServiceIndex = usize;

/// The position of a class in [`ServiceProfile::classes`].
pub type ClassIndex = usize;

/// A class of calls of one service.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// Its name, unique in the deployment.
    pub name: &'static str,
    /// How important it is.
    pub priority: Priority,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// The time after which a caller is assumed to have given up.
    pub deadline: Duration,
    /// Retry tokens of a root call.
    pub retry_budget: u16,
    /// Whether answers are large downloads.
    pub large_answers: bool,
}

/// A service and its targets at each of the two sites.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    /// Its name.
    pub name: &'static str,
    /// Targets at each site.
    pub targets: usize,
    /// Calls that each back end runs at once.
    pub slots: u32,
    /// Connections that each back end accepts.
    pub connections: u32,
    /// Whether a 503 of its back ends proves that the call was not run, and is configured so.
    pub sheds_before_running: bool,
    /// Its classes.
    pub classes: Vec<ClassProfile>,
}

/// How outside callers of one kind of request behave.
#[derive(Clone, Debug)]
pub struct TrafficProfile {
    /// The first call.
    pub step: StepIndex,
    /// Its share of all root calls.
    pub weight: f64,
    /// How long a caller waits for one try.
    pub patience: Duration,
    /// The most tries of one request.
    pub tries: u32,
    /// The share of callers that give an idempotency key, in percent.
    pub keyed_percent: u32,
    /// The share of callers that go away in the middle of a try without trying again, in percent.
    pub abandon_percent: u32,
}

/// One-way latencies and the cost of a connection, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Latencies {
    /// Inside a zone.
    pub within_zone: u64,
    /// Between zones of a site.
    pub between_zones: u64,
    /// Between the sites.
    pub between_sites: u64,
    /// Between outside callers and edges.
    pub to_callers: u64,
    /// A new connection.
    pub connect: u64,
}

/// A whole deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// The names of its zones, used with a site prefix.
    pub zones: [&'static str; 3],
    /// Its services.
    pub services: Vec<ServiceProfile>,
    /// The steps of its call graphs.
    pub steps: Vec<Step>,
    /// Its outside callers.
    pub traffic: Vec<TrafficProfile>,
    /// Its network.
    pub latencies: Latencies,
    /// The deepest service of the usual chains, which the slow-down scenarios slow down.
    pub deepest: ServiceIndex,
    /// The service that the drain, move and replacement scenarios act on first.
    pub busiest: ServiceIndex,
    /// The service with the large downloads.
    pub downloads: ServiceIndex,
}

/// The names of the two sites, the one that is left first.
pub const SITES: [&str; 2] = ["old", "new"];

impl Deployment {
    /// The deployment of `profile`.
    pub fn of(profile: Profile) -> Self {
        match profile {
            Profile::Prairie => prairie::deployment(),
            Profile::Bajio => bajio::deployment(),
        }
    }

    /// The class that `step` is a call of.
    pub fn class_of(&self, step: StepIndex) -> &ClassProfile {
        let step = &self.steps[step];
        &self.services[step.service].classes[step.class]
    }
}
