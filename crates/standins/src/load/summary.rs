//! The results of the calls of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

/// The result of a call as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The complete response to this call.
    Whole,
    /// A refusal or an error status.
    Refused {
        /// The status code.
        status: u16,
        /// The value of the `Outcome` header.
        outcome: Option<String>,
    },
    /// No response before the timeout.
    TimedOut,
    /// The connection failed or the body ended with an error.
    Broken {
        /// The error message of the HTTP client.
        what: String,
    },
    /// The body ended without an error but is incomplete. Must never happen.
    Partial,
    /// The response belongs to another call. Must never happen.
    Foreign {
        /// The identity of the other call.
        identity: String,
    },
}

/// The report of one call.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// The identity of the request.
    pub identity: String,
    /// The index of the call's traffic share.
    pub share: usize,
    /// The result of the call.
    pub end: CallEnd,
    /// The number of attempts that the caller made; retries by nodes are not counted.
    pub attempts: u64,
    /// Whether every attempt was refused with the outcome `not-run`.
    pub reported_not_run: bool,
    /// The time from the planned start to the end.
    pub latency: Duration,
}

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// The 50th percentile.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub maximum: f64,
}

/// The results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSummary {
    /// The number of calls made.
    pub offered: u64,
    /// Complete responses.
    pub whole: u64,
    /// Refusals and error statuses by status and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Calls that timed out.
    pub timed_out: u64,
    /// Connections or bodies that ended with an error.
    pub broken: u64,
    /// Incomplete bodies that ended without an error.
    pub partial: u64,
    /// Responses that belong to other calls.
    pub foreign: u64,
    /// Attempts made by the callers; retries by nodes are not counted.
    pub attempts: u64,
    /// The latency of calls with a complete response.
    pub latency: LatencySummary,
    /// The identities of calls of which every attempt was refused with the outcome `not-run`.
    #[serde(skip)]
    pub reported_not_run: Vec<String>,
    /// The identities of calls with a complete response, each with the index of its traffic share.
    #[serde(skip)]
    pub whole_identities: Vec<(usize, String)>,
}

const MAX_LATENCY_MICROSECONDS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

pub(super) async fn collect(mut reports: UnboundedReceiver<CallReport>) -> LoadSummary {
    let mut summary = LoadSummary::default();
    let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS).ok();
    while let Some(report) = reports.recv().await {
        if report.end == CallEnd::Whole {
            if let Some(latencies) = &mut latencies {
                latencies.saturating_record(report.latency.as_micros() as u64);
            }
        }
        summary.add(report);
    }
    if let Some(latencies) = latencies {
        let milliseconds = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        summary.latency = LatencySummary {
            p50: milliseconds(0.5),
            p90: milliseconds(0.9),
            p99: milliseconds(0.99),
            p999: milliseconds(0.999),
            maximum: latencies.max() as f64 / 1_000.0,
        };
    }
    summary
}

impl LoadSummary {
    fn add(&mut self, report: CallReport) {
        self.offered += 1;
        self.attempts += report.attempts;
        if report.reported_not_run {
            self.reported_not_run.push(report.identity.clone());
        }
        match report.end {
            CallEnd::Whole => {
                self.whole += 1;
                self.whole_identities.push((report.share, report.identity));
            }
            CallEnd::Refused { status, outcome } => {
                let outcome = outcome.unwrap_or_else(|| "none".to_owned());
                *self.refused.entry(format!("{status} {outcome}")).or_default() += 1;
            }
            CallEnd::TimedOut => self.timed_out += 1,
            CallEnd::Broken { .. } => self.broken += 1,
            CallEnd::Partial => self.partial += 1,
            CallEnd::Foreign { .. } => self.foreign += 1,
        }
    }
}
