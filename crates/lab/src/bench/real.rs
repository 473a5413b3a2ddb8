//! Real nodes with their sockets on loopback, beside direct calls in the same run.

mod load;
mod memory;

use std::io;
use std::time::Duration;

use derive_more::{Display, Error, From};
use serde_json::json;

use super::process::processor_time;
use super::report::{IdleFigures, PathFigures, RealFigures};
use super::Effort;
use crate::fleet::deployment::{class, Deployment, ServicePlan};
use crate::fleet::{Fleet, FleetError};

use load::{Path, RoundFigures};

/// The service that is called.
const SERVICE: &str = "echo";

/// The only site.
const SITE: &str = "bench";

/// Calls per second of every round.
const RATE: f64 = 2_000.0;

/// Why real nodes could not be measured.
#[derive(Debug, Display, Error, From)]
pub enum RealError {
    /// The fleet did not start.
    Fleet(FleetError),
    /// The load generator failed.
    Load(reqwest::Error),
    /// The process's own use could not be read, or a connection failed.
    #[display("{_0}")]
    System(io::Error),
    /// Calls were not answered, so that figures would mean nothing.
    #[display("{name}: only {whole} of {offered} calls got a whole answer")]
    #[from(ignore)]
    NotServed {
        /// What was called.
        name: &'static str,
        /// Whole answers.
        whole: u64,
        /// Calls.
        offered: u64,
    },
}

struct Rounds {
    count: usize,
    length: Duration,
    idle: Duration,
}

fn rounds(effort: Effort) -> Rounds {
    match effort {
        Effort::Quick => Rounds { count: 2, length: Duration::from_secs(2), idle: Duration::from_secs(3) },
        Effort::Full => Rounds { count: 5, length: Duration::from_secs(5), idle: Duration::from_secs(10) },
    }
}

/// One service with a target and an edge in each of three zones.
fn deployment() -> Deployment {
    let service = ServicePlan {
        name: SERVICE,
        slots: 1_000,
        service_time: Duration::ZERO,
        children: Vec::new(),
        classes: json!([
            class("writes", "/", &["POST"], "protected", false, "30 s"),
            class("reads", "/", &["GET"], "interactive", true, "30 s"),
        ]),
        queue_timeout: "5 s",
    };
    Deployment { sites: vec![(SITE, 100)], zones: vec!["a", "b", "c"], services: vec![service] }
}

/// Measures everything; `progress` is told what goes on.
///
/// # Errors
///
/// Returns an error if the fleet does not start or calls are not answered.
pub async fn measure(effort: Effort, progress: &dyn Fn(String)) -> Result<RealFigures, RealError> {
    progress("starting nodes".to_owned());
    let fleet = Fleet::start(&deployment()).await?;
    let figures = measure_fleet(&fleet, &rounds(effort), progress).await;
    fleet.shut_down().await;
    figures
}

async fn measure_fleet(fleet: &Fleet, rounds: &Rounds, progress: &dyn Fn(String)) -> Result<RealFigures, RealError> {
    progress("idle nodes".to_owned());
    let idle = measure_idle(fleet, rounds.idle).await?;
    let paths = measure_paths(fleet, rounds, progress).await?;
    progress("memory".to_owned());
    let memory = memory::measure(fleet).await?;
    let calls_per_second_per_core = calls_per_second_per_core(&paths);
    Ok(RealFigures { rate: RATE, paths, calls_per_second_per_core, memory, idle })
}

/// Rounds of all paths take turns, so that a change in the machine's load meets all of them.
async fn measure_paths(
    fleet: &Fleet,
    rounds: &Rounds,
    progress: &dyn Fn(String),
) -> Result<Vec<PathFigures>, RealError> {
    let paths = [Path::DirectReads, Path::Reads, Path::Writes];
    for path in paths {
        progress(format!("warming up: {}", path.name()));
        load::round(fleet, path, RATE, Duration::from_secs(1), 0).await?;
    }
    let mut figures: Vec<Vec<RoundFigures>> = vec![Vec::new(); paths.len()];
    for number in 0..rounds.count {
        for (path, figures) in paths.into_iter().zip(&mut figures) {
            progress(format!("round {} of {}: {}", number + 1, rounds.count, path.name()));
            figures.push(load::round(fleet, path, RATE, rounds.length, number as u64 + 1).await?);
        }
    }
    paths.into_iter().zip(&figures).map(|(path, figures)| load::summarize(path, figures)).collect()
}

/// What the nodes add to a call: everything else is in the direct call too.
fn calls_per_second_per_core(paths: &[PathFigures]) -> f64 {
    let [direct, through, ..] = paths else { return 0.0 };
    let added = through.processor_us_per_call.median - direct.processor_us_per_call.median;
    1e6 / added.max(1.0)
}

async fn measure_idle(fleet: &Fleet, window: Duration) -> Result<IdleFigures, RealError> {
    let counts = || {
        let nodes = fleet.machines.iter().filter_map(|machine| machine.node.as_ref());
        let counters = nodes.map(|node| (node.counters().received_frames.get(), node.counters().sent_batches.get()));
        counters.fold((0, 0), |(frames, batches), (more_frames, more_batches)| {
            (frames + more_frames, batches + more_batches)
        })
    };
    let (frames, batches) = counts();
    let processor = processor_time()?;
    tokio::time::sleep(window).await;
    let used = processor_time()? - processor;
    let (frames_after, batches_after) = counts();
    let nodes = fleet.machines.len();
    let per_second = |count: u64| count as f64 / nodes as f64 / window.as_secs_f64();
    Ok(IdleFigures {
        nodes,
        frames_per_second: per_second(frames_after - frames),
        batches_per_second: per_second(batches_after - batches),
        processor_percent: used.as_secs_f64() / window.as_secs_f64() / nodes as f64 * 100.0,
    })
}
