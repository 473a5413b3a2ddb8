//! What load to make.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// How calls are spread over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// At equal distances.
    Steady,
    /// At random, independently of each other.
    Poisson,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A small answer by `GET`.
    Lookup,
    /// A small answer by `POST` under a key of the caller's.
    Keyed,
    /// A file of this many bytes.
    Download {
        /// The length in bytes.
        bytes: u64,
    },
}

/// One kind of call and its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TrafficShare {
    /// What it asks for.
    pub kind: RequestKind,
    /// The path, with the service's prefix; for a download the prefix only.
    pub path: String,
    /// Its weight among all shares.
    pub weight: u32,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where the calls go, in turn.
    pub targets: Vec<SocketAddr>,
    /// Calls per second.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// How they are spread over time.
    pub arrivals: Arrivals,
    /// What they ask for.
    pub shares: Vec<TrafficShare>,
    /// How often a caller tries again after a refusal or a time-out, at once.
    pub retries: u32,
    /// The time after which a caller gives up an attempt.
    pub timeout: Duration,
    /// Idle connections kept to each target.
    pub connections: usize,
    /// The seed from which arrivals and choices follow.
    pub seed: u64,
}
