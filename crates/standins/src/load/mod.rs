//! An open-loop load generator that checks every answer it gets.
//!
//! Calls start at their planned time whether earlier ones have ended or not, and latency counts from the planned time, so
//! that a stall of the system is seen by all calls that it delays (no coordinated omission).

mod arrivals;
mod caller;
mod options;
mod summary;

pub use options::{Arrivals, LoadOptions, RequestKind, TrafficShare};
pub use summary::{CallEnd, LatencySummary, LoadSummary};

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;

/// Runs a load to its end.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be set up.
pub async fn run(options: LoadOptions) -> Result<LoadSummary, reqwest::Error> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(options.connections).build()?;
    let options = Arc::new(options);
    let (sender, receiver) = mpsc::unbounded_channel();
    let summary = tokio::spawn(summary::collect(receiver));
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for planned in arrivals::plan(&options) {
        let begin = start + planned.after;
        tokio::time::sleep_until(begin.into()).await;
        calls.spawn(caller::call(client.clone(), options.clone(), planned, begin, sender.clone()));
    }
    while calls.join_next().await.is_some() {}
    drop(sender);
    Ok(summary.await.unwrap_or_default())
}
