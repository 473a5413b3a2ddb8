//! Rounds of calls, direct or through nodes.

use std::net::SocketAddr;
use std::time::Duration;

use quillhatch_standins::load::{Arrivals, LatencySummary, LoadOptions, LoadSummary, RequestKind, TrafficShare};

use super::{RealError, SERVICE, SITE};
use crate::bench::process::processor_time;
use crate::bench::report::{PathFigures, RoundLatencies};
use crate::fleet::Fleet;
use crate::spread::Spread;

/// Idle connections that callers keep.
const CONNECTIONS: usize = 256;

const TIMEOUT: Duration = Duration::from_secs(30);

/// The least share of whole answers; figures of refused calls would look too good.
const LEAST_WHOLE_SHARE: f64 = 0.99;

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Repeatable calls to the back ends without nodes.
    DirectReads,
    /// Repeatable calls through edge and gate.
    Reads,
    /// Calls that may run only once, through edge and gate, with a claim.
    Writes,
}

impl Path {
    /// Its name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Path::DirectReads => "direct reads",
            Path::Reads => "reads through nodes",
            Path::Writes => "claimed writes through nodes",
        }
    }

    fn targets(self, fleet: &Fleet) -> Vec<SocketAddr> {
        match self {
            Path::DirectReads => fleet.backends().map(quillhatch_standins::backend::Backend::address).collect(),
            Path::Reads | Path::Writes => fleet.edges(SITE),
        }
    }

    fn kind(self) -> RequestKind {
        match self {
            Path::DirectReads | Path::Reads => RequestKind::Lookup,
            Path::Writes => RequestKind::Keyed,
        }
    }
}

/// What one round showed.
#[derive(Clone, Copy, Debug)]
pub struct RoundFigures {
    offered: u64,
    whole: u64,
    latency: LatencySummary,
    processor_us_per_call: f64,
}

/// The load of one round.
pub fn options(fleet: &Fleet, path: Path, rate: f64, duration: Duration, seed: u64) -> LoadOptions {
    LoadOptions {
        targets: path.targets(fleet),
        rate,
        duration,
        arrivals: Arrivals::Poisson,
        shares: vec![TrafficShare { kind: path.kind(), path: format!("/{SERVICE}/calls"), weight: 1 }],
        retries: 0,
        timeout: TIMEOUT,
        connections: CONNECTIONS,
        // The identity of a call follows from seed and number, and no key may be used twice.
        seed: seed * 16 + path as u64,
    }
}

/// Makes the calls of one round.
pub async fn round(
    fleet: &Fleet,
    path: Path,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> Result<RoundFigures, RealError> {
    let before = processor_time()?;
    let summary = quillhatch_standins::load::run(options(fleet, path, rate, duration, seed)).await?;
    let used = processor_time()? - before;
    let LoadSummary { offered, whole, latency, .. } = summary;
    let processor_us_per_call = used.as_secs_f64() * 1e6 / offered.max(1) as f64;
    Ok(RoundFigures { offered, whole, latency, processor_us_per_call })
}

/// The figures of all rounds of a path.
pub fn summarize(path: Path, rounds: &[RoundFigures]) -> Result<PathFigures, RealError> {
    let name = path.name();
    let offered: u64 = rounds.iter().map(|round| round.offered).sum();
    let whole: u64 = rounds.iter().map(|round| round.whole).sum();
    let not_served = RealError::NotServed { name, whole, offered };
    let spread = |value: fn(&RoundFigures) -> f64| Spread::of(rounds.iter().map(value));
    let spreads = (
        spread(|round| round.latency.p50),
        spread(|round| round.latency.p99),
        spread(|round| round.latency.p999),
        spread(|round| round.processor_us_per_call),
    );
    let (Some(p50), Some(p99), Some(p999), Some(processor_us_per_call)) = spreads else { return Err(not_served) };
    if (whole as f64) < LEAST_WHOLE_SHARE * offered as f64 {
        return Err(not_served);
    }
    Ok(PathFigures { name, offered, whole, latency_ms: RoundLatencies { p50, p99, p999 }, processor_us_per_call })
}
