//! Medians and spreads of the runs of an experiment, as they are written as JSON and as a table.

use std::collections::BTreeMap;

use quillhatch_simulation::Report;
use serde::Serialize;

use super::run::{ComparisonRuns, VariantRuns};
use crate::promises;
use crate::seeds::SeedRange;
use crate::spread::{ReachedSpread, Spread};

/// The result of an experiment for one profile.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentSummary {
    /// The experiment.
    pub experiment: String,
    /// What it shows.
    pub description: String,
    /// The command that gives it again.
    pub command: String,
    /// The profile.
    pub profile: String,
    /// The seeds.
    pub seeds: SeedRange,
    /// What was compared.
    pub comparisons: Vec<ComparisonSummary>,
}

/// The result of one comparison.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonSummary {
    /// Its name.
    pub name: String,
    /// Its variants.
    pub variants: Vec<VariantSummary>,
}

/// Latency percentiles of whole requests in milliseconds, each with its spread over the seeds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencySpreads {
    /// The median.
    pub p50: Option<Spread>,
    /// 90 in 100 are faster.
    pub p90: Option<Spread>,
    /// 99 in 100 are faster.
    pub p99: Option<Spread>,
    /// 999 in 1000 are faster.
    pub p999: Option<Spread>,
}

/// The measures of one variant, each with its spread over the seeds.
#[derive(Clone, Debug, Serialize)]
pub struct VariantSummary {
    /// Its name.
    pub label: String,
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The mechanism left out.
    pub disabled: Option<String>,
    /// The number of runs.
    pub runs: usize,
    /// Whole requests per second before the first cause.
    pub goodput_before_per_s: Option<Spread>,
    /// Whole requests per second while causes last.
    pub goodput_during_per_s: Option<Spread>,
    /// Whole requests per second after the last cause.
    pub goodput_after_per_s: Option<Spread>,
    /// Time until goodput was back, in milliseconds.
    pub recovery_ms: ReachedSpread,
    /// The share of protected requests served whole.
    pub protected_served_ratio: Option<Spread>,
    /// The share of back ends' work that no completed request used.
    pub wasted_work_ratio: Option<Spread>,
    /// The most attempts below one try of an outside caller.
    pub max_attempts_per_root: Option<Spread>,
    /// Latencies of whole requests.
    pub latency_ms: LatencySpreads,
    /// Broken promises in all runs together, those that hold left out.
    pub broken_promises: BTreeMap<String, u64>,
}

/// Sums up one comparison.
pub fn comparison(runs: &ComparisonRuns) -> ComparisonSummary {
    ComparisonSummary { name: runs.name.clone(), variants: runs.variants.iter().map(variant).collect() }
}

fn variant(runs: &VariantRuns) -> VariantSummary {
    let reports = &runs.reports;
    let spread = |measure: fn(&Report) -> f64| Spread::of(reports.iter().map(measure));
    let recoveries: Vec<Option<f64>> = reports.iter().map(|report| report.recovery_ms).collect();
    let broken = promises::broken(reports);
    VariantSummary {
        label: runs.variant.label.to_owned(),
        scenario: runs.variant.scenario.to_string(),
        policy: runs.variant.policy.to_string(),
        disabled: runs.variant.disabled.map(|mechanism| mechanism.to_string()),
        runs: reports.len(),
        goodput_before_per_s: spread(|report| report.goodput_per_s.before),
        goodput_during_per_s: spread(|report| report.goodput_per_s.during),
        goodput_after_per_s: spread(|report| report.goodput_per_s.after),
        recovery_ms: ReachedSpread::of(&recoveries),
        protected_served_ratio: spread(|report| report.protected_served_ratio),
        wasted_work_ratio: spread(|report| report.wasted_work_ratio),
        max_attempts_per_root: spread(|report| f64::from(report.max_attempts_per_root)),
        latency_ms: LatencySpreads {
            p50: spread(|report| report.latency_ms.p50),
            p90: spread(|report| report.latency_ms.p90),
            p99: spread(|report| report.latency_ms.p99),
            p999: spread(|report| report.latency_ms.p999),
        },
        broken_promises: broken.iter().map(|count| (count.name.to_owned(), count.count)).collect(),
    }
}
