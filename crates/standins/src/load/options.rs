//! The options of a load.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// How calls are spread over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// At equal intervals.
    Steady,
    /// At random and independently of each other, as a Poisson process.
    Poisson,
}

/// What a call requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A small response to a `GET`.
    Lookup,
    /// A small response to a `POST` with an idempotency key.
    Keyed,
    /// A file of this many bytes.
    Download {
        /// The length in bytes.
        bytes: u64,
    },
}

/// One kind of call and its share of the load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TrafficShare {
    /// What these calls request.
    pub kind: RequestKind,
    /// The path, with the service's prefix; for a download the prefix only.
    pub path: String,
    /// The weight among all shares.
    pub weight: u32,
}

/// The options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The addresses that are called, in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Calls per second.
    pub rate: f64,
    /// The time during which calls start.
    pub duration: Duration,
    /// How calls are spread over time.
    pub arrivals: Arrivals,
    /// The kinds of calls.
    pub shares: Vec<TrafficShare>,
    /// The maximum number of retries of a call. A caller retries at once after a refusal or a timeout.
    pub retries: u32,
    /// The timeout of an attempt.
    pub timeout: Duration,
    /// The maximum number of idle connections to each target.
    pub connections: usize,
    /// The seed of the arrival times and of random choices.
    pub seed: u64,
}
