//! Unit tests of the decisions, one module per subject.

mod admission_level;
mod authentication;
mod balance;
mod capacity;
mod feed;
mod freshness;
mod gate;
mod graph;
mod health;
mod limits;
mod mechanisms;

mod quarantine;
mod replica;
mod retry_budget;
mod routing;
mod shutdown;
mod store_reader;
mod stream_monitor;
mod targets;
mod tenants;

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::{Destination, Retryability, Route};
use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::targets::{Registration, Target};
use quillhatch_types::Timestamp;

const BOUNDS: Bounds = Bounds {
    stop_grace: Duration::from_secs(6),
    drain: Duration::from_secs(2),
    apply: Duration::from_secs(2),
    recovery: Duration::from_secs(3),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    revocation: None,
    limits: LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 },
    heartbeat: Duration::from_millis(1500),
};

fn milliseconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count)
}

fn route(prefix: &str, destinations: &[(&str, f64)]) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(prefix),
        prefix: prefix.to_owned(),
        retryability: Retryability::Retryable,
        latency_objective: Duration::from_secs(1),
        timeout: Duration::from_secs(2),
        max_attempts: 2,
        priority: 1,
        is_public: false,
        destinations: destinations
            .iter()
            .map(|(service, weight)| Destination { service: Arc::from(*service), weight: *weight })
            .collect(),
    })
}

fn registration(service: &str, address: &str, zone: &str) -> Registration {
    Registration {
        service: Arc::from(service),
        address: address.parse().expect("an address"),
        zone: Arc::from(zone),
        slots: 10,
        draining: false,
        cold_for: Duration::ZERO,
        started: 0,
        sequence: 0,
    }
}

fn target(id: &str, zone: &str) -> Arc<Target> {
    let registration = registration("alpha", "10.0.0.1:80", zone);
    Arc::new(Target { id: Arc::from(id), registration, cold_until: Timestamp::ZERO, listed_at: Timestamp::ZERO })
}
