//! Memory of connections, calls in flight and claims, as the growth of this process.
//!
//! Nodes, callers and back ends share the process. Each figure is therefore the growth with the nodes less the growth
//! without what is measured: direct calls for calls in flight, unclaimed calls for claims.

use std::time::Duration;

use quillhatch_standins::backend::{Backend, BackendFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::load::{options, Path};
use super::{RealError, SERVICE, SITE};
use crate::bench::process::resident_bytes;
use crate::bench::report::MemoryFigure;
use crate::fleet::Fleet;

const CONNECTIONS: usize = 1_000;
const CALLS_IN_FLIGHT: usize = 600;
const CLAIMS: usize = 20_000;
const CLAIM_RATE: f64 = 2_000.0;

/// The time that calls run while those in flight are measured.
const IN_FLIGHT_TIME: Duration = Duration::from_secs(4);

/// The seeds of the loads here; no other round has them.
const FIRST_SEED: u64 = 1_000;

/// Measures all figures.
pub async fn measure(fleet: &Fleet) -> Result<Vec<MemoryFigure>, RealError> {
    Ok(vec![idle_connections(fleet).await?, calls_in_flight(fleet).await?, claims(fleet).await?])
}

fn figure(name: &'static str, count: usize, bytes: f64) -> MemoryFigure {
    MemoryFigure { name, count: count as u64, bytes_each: bytes / count as f64 }
}

fn growth(before: u64, after: u64) -> f64 {
    after as f64 - before as f64
}

/// Connections of callers that have had an answer and stay open; the caller's end is included.
async fn idle_connections(fleet: &Fleet) -> Result<MemoryFigure, RealError> {
    // What the first ones bring along belongs to the calls and not to the connections.
    let first = open_connections(fleet).await?;
    let before = resident_bytes()?;
    let second = open_connections(fleet).await?;
    let after = resident_bytes()?;
    drop(first);
    Ok(figure("idle connection of a caller", second.len(), growth(before, after)))
}

async fn open_connections(fleet: &Fleet) -> Result<Vec<TcpStream>, RealError> {
    let edges = fleet.edges(SITE);
    let mut connections = Vec::with_capacity(CONNECTIONS);
    for number in 0..CONNECTIONS {
        let mut connection = TcpStream::connect(edges[number % edges.len()]).await?;
        let request = format!("GET /{SERVICE}/calls HTTP/1.1\r\nhost: bench\r\n\r\n");
        connection.write_all(request.as_bytes()).await?;
        let mut answer = [0; 2_048];
        if connection.read(&mut answer).await? == 0 {
            return Err(RealError::System(std::io::ErrorKind::ConnectionAborted.into()));
        }
        connections.push(connection);
    }
    Ok(connections)
}

/// Calls that run at the back end, each with its connections from caller to edge, edge to gate and gate to back end. A call
/// that waits at its gate has the same less the last connection.
async fn calls_in_flight(fleet: &Fleet) -> Result<MemoryFigure, RealError> {
    let backends: Vec<&Backend> = fleet.backends().collect();
    for backend in &backends {
        backend.behaviour.set_faults(BackendFaults {
            delay_milliseconds: IN_FLIGHT_TIME.as_millis() as u64,
            ..BackendFaults::default()
        });
    }
    let direct = growth_of_calls(fleet, Path::DirectReads, FIRST_SEED).await?;
    let through = growth_of_calls(fleet, Path::Reads, FIRST_SEED + 1).await?;
    for backend in &backends {
        backend.behaviour.set_faults(BackendFaults::default());
    }
    Ok(figure("call in flight, at edge and gate", CALLS_IN_FLIGHT, through - direct))
}

async fn growth_of_calls(fleet: &Fleet, path: Path, seed: u64) -> Result<f64, RealError> {
    let rate = CALLS_IN_FLIGHT as f64 / (IN_FLIGHT_TIME.as_secs_f64() / 2.0);
    let load = options(fleet, path, rate, IN_FLIGHT_TIME / 2, seed);
    let before = resident_bytes()?;
    let calls = tokio::spawn(quillhatch_standins::load::run(load));
    // All calls have started by then, and the first has not ended.
    tokio::time::sleep(IN_FLIGHT_TIME.mul_f64(0.9)).await;
    let during = resident_bytes()?;
    // A load that panicked has been reported by the panic itself.
    if let Ok(summary) = calls.await {
        summary?;
    }
    Ok(growth(before, during))
}

/// Claims of ended calls within their retention: one at the owner and one on each of three voters, all in this process.
async fn claims(fleet: &Fleet) -> Result<MemoryFigure, RealError> {
    // The first round only brings the allocator to the level that such a load keeps anyway.
    growth_of_round(fleet, Path::Reads, FIRST_SEED + 2).await?;
    let unclaimed = growth_of_round(fleet, Path::Reads, FIRST_SEED + 3).await?;
    let claimed = growth_of_round(fleet, Path::Writes, FIRST_SEED + 4).await?;
    Ok(figure("held claim, at its owner and three voters together", CLAIMS, claimed - unclaimed))
}

async fn growth_of_round(fleet: &Fleet, path: Path, seed: u64) -> Result<f64, RealError> {
    let duration = Duration::from_secs_f64(CLAIMS as f64 / CLAIM_RATE);
    let before = resident_bytes()?;
    let summary = quillhatch_standins::load::run(options(fleet, path, CLAIM_RATE, duration, seed)).await?;
    let after = resident_bytes()?;
    // The caller's notes count on both sides of the difference.
    drop(summary);
    Ok(growth(before, after))
}
