//! How the calls of a load ended.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

/// How a call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to this very call.
    Whole,
    /// A refusal or an error status.
    Refused {
        /// The status code.
        status: u16,
        /// The `Outcome` header.
        outcome: Option<String>,
    },
    /// No answer in time.
    TimedOut,
    /// The connection or the body broke off visibly.
    Broken {
        /// The client's words.
        what: String,
    },
    /// The body ended as if complete, and was not. Must never happen.
    Partial,
    /// The answer belongs to another call. Must never happen.
    Foreign {
        /// Whose it is.
        identity: String,
    },
}

/// One call's report.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// The request's identity.
    pub identity: String,
    /// The index of its traffic share.
    pub share: usize,
    /// How it ended.
    pub end: CallEnd,
    /// Attempts by the caller itself.
    pub attempts: u64,
    /// Whether the caller was told of every attempt that it did not run.
    pub told_not_run: bool,
    /// From the planned start to the end.
    pub latency: Duration,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Half of the calls took at most this.
    pub p50: f64,
    /// 90 of 100.
    pub p90: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1,000.
    pub p999: f64,
    /// The longest.
    pub maximum: f64,
}

/// What became of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSummary {
    /// Calls made.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by status and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Calls without an answer in time.
    pub timed_out: u64,
    /// Visibly broken answers.
    pub broken: u64,
    /// Answers that ended as if complete and were not.
    pub partial: u64,
    /// Answers to other calls.
    pub foreign: u64,
    /// Attempts by the callers themselves.
    pub attempts: u64,
    /// Latency of whole answers.
    pub latency: LatencySummary,
    /// The identities of calls whose caller was told of every attempt that it did not run.
    #[serde(skip)]
    pub told_not_run: Vec<String>,
    /// The identities of calls with a whole answer, by traffic share.
    #[serde(skip)]
    pub whole_identities: Vec<(usize, String)>,
}

const HIGHEST_MICROSECONDS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

pub(super) async fn collect(mut reports: UnboundedReceiver<CallReport>) -> LoadSummary {
    let mut summary = LoadSummary::default();
    let mut latencies = Histogram::<u64>::new_with_max(HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS).ok();
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
        if report.told_not_run {
            self.told_not_run.push(report.identity.clone());
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
