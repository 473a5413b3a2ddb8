//! The fleet of the demo and the loads that it gets.

use std::net::SocketAddr;
use std::time::Duration;

use quillhatch_standins::backend::ChildCall;
use quillhatch_standins::load::{Arrivals, LoadOptions, RequestKind, TrafficShare};
use serde_json::json;

use crate::fleet::deployment::{class, Deployment, ServicePlan};

/// The site that callers use.
pub const OLD_SITE: &str = "old";

/// The site that takes calls over.
pub const NEW_SITE: &str = "new";

/// The traffic share of calls that may run only once.
pub const PLEDGES: usize = 1;

/// What marks a run as one of a call that may run only once, in the back ends' records.
pub const PLEDGE_PATH: &str = "/pledges";

const SMALL_FILE: u64 = 256 * 1024;
const LARGE_FILE: u64 = 8 * 1024 * 1024;

const DIRECTORY_SLOTS: usize = 4;
const DIRECTORY_TIME: Duration = Duration::from_millis(20);
const OTHER_SLOTS: usize = 15;
const GIVING_TIME: Duration = Duration::from_millis(10);

/// Lookups per second that the directory of one site can serve.
const DIRECTORY_CAPACITY: f64 = 3.0 * DIRECTORY_SLOTS as f64 / 0.020;

const CALL_RATE: f64 = 150.0;
const DOWNLOAD_RATE: f64 = 40.0;
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
const CONNECTIONS: usize = 200;

/// Two sites with three zones each, three services, and an edge in each zone.
pub fn deployment() -> Deployment {
    Deployment {
        sites: vec![(OLD_SITE, 100), (NEW_SITE, 0)],
        zones: vec!["a", "b", "c"],
        services: vec![directory(), giving(), archives()],
    }
}

fn directory() -> ServicePlan {
    ServicePlan {
        name: "directory",
        slots: DIRECTORY_SLOTS,
        service_time: DIRECTORY_TIME,
        children: Vec::new(),
        classes: json!([class("lookups", "/", &["GET"], "interactive", true, "2 s")]),
        queue_timeout: "250 ms",
    }
}

/// Every pledge looks its giver up, so that calls go two services deep.
fn giving() -> ServicePlan {
    let lookup =
        ChildCall { below: PLEDGE_PATH.to_owned(), method: "GET".to_owned(), path: "/directory/givers".to_owned() };
    ServicePlan {
        name: "giving",
        slots: OTHER_SLOTS,
        service_time: GIVING_TIME,
        children: vec![lookup],
        classes: json!([
            class("pledges", PLEDGE_PATH, &["POST"], "protected", false, "10 s"),
            class("campaigns", "/", &["GET"], "interactive", true, "2 s"),
        ]),
        queue_timeout: "250 ms",
    }
}

fn archives() -> ServicePlan {
    ServicePlan {
        name: "archives",
        slots: OTHER_SLOTS,
        service_time: GIVING_TIME,
        children: Vec::new(),
        classes: json!([class("downloads", "/downloads", &["GET"], "bulk", true, "1 min")]),
        queue_timeout: "1 s",
    }
}

fn share(kind: RequestKind, path: &str, weight: u32) -> TrafficShare {
    TrafficShare { kind, path: path.to_owned(), weight }
}

fn shares(lookups: u32, pledges: u32, downloads: u32, bytes: u64) -> Vec<TrafficShare> {
    vec![
        share(RequestKind::Lookup, "/directory/people", lookups),
        share(RequestKind::Keyed, "/giving/pledges", pledges),
        share(RequestKind::Download { bytes }, "/archives/downloads", downloads),
    ]
}

fn load(targets: Vec<SocketAddr>, rate: f64, duration: Duration, shares: Vec<TrafficShare>, seed: u64) -> LoadOptions {
    LoadOptions {
        targets,
        rate,
        duration,
        arrivals: Arrivals::Poisson,
        shares,
        retries: 0,
        timeout: CALLER_TIMEOUT,
        connections: CONNECTIONS,
        seed,
    }
}

/// A load that the site can serve.
pub fn calls(targets: Vec<SocketAddr>, duration: Duration, seed: u64) -> LoadOptions {
    load(targets, CALL_RATE, duration, shares(7, 2, 1, SMALL_FILE), seed)
}

/// Twice what the directory can serve, from callers that retry at once; one call in 20 is a pledge.
pub fn overload(targets: Vec<SocketAddr>, seed: u64) -> LoadOptions {
    let rate = DIRECTORY_CAPACITY * 2.0;
    LoadOptions { retries: 2, ..load(targets, rate, Duration::from_secs(4), shares(19, 1, 0, SMALL_FILE), seed) }
}

/// Mostly large downloads.
pub fn downloads(targets: Vec<SocketAddr>, seed: u64) -> LoadOptions {
    load(targets, DOWNLOAD_RATE, Duration::from_secs(3), shares(1, 1, 6, LARGE_FILE), seed)
}
