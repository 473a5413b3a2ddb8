//! An open-loop load generator that checks every response.
//!
//! Calls start at their planned time even if earlier ones are still running, and latency is measured from the planned
//! time, so that a stall of the system shows in the latency of every call that it delays (no coordinated omission).

mod arrivals;
mod caller;
mod options;
mod summary;

pub use options::{Arrivals, LoadOptions, RequestKind, TrafficShare};
pub use summary::{CallEnd, LatencySummary, LoadSummary};

use std::sync::Arc;
use std::time::Instant;

use tokio::runtime::Handle;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::task::JoinSet;

use summary::CallReport;

/// Runs a load until all of its calls have ended.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be set up.
pub async fn run(options: LoadOptions) -> Result<LoadSummary, reqwest::Error> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(options.connections).build()?;
    let options = Arc::new(options);
    let (sender, receiver) = mpsc::unbounded_channel();
    let summary = tokio::spawn(summary::collect(receiver));
    let runtime = Handle::current();
    // The runtime's timer has a resolution of one millisecond, which would show in every latency; a thread's sleep is
    // finer.
    let starter = tokio::task::spawn_blocking(move || start_calls(&client, &options, &sender, &runtime));
    let mut calls = starter.await.unwrap_or_default();
    while calls.join_next().await.is_some() {}
    Ok(summary.await.unwrap_or_default())
}

/// Starts every call at its planned time.
fn start_calls(
    client: &reqwest::Client,
    options: &Arc<LoadOptions>,
    reports: &UnboundedSender<CallReport>,
    runtime: &Handle,
) -> JoinSet<()> {
    let plan = arrivals::plan(options);
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for planned in plan {
        let planned_start = start + planned.after;
        std::thread::sleep(planned_start.saturating_duration_since(Instant::now()));
        calls.spawn_on(caller::call(client.clone(), options.clone(), planned, planned_start, reports.clone()), runtime);
    }
    calls
}
