//! Renders the summary of an experiment as a Markdown page.

use super::summary::{ExperimentSummary, VariantSummary};
use crate::spread::{ReachedSpread, Spread};
use crate::table::{percent, time, time_or_never, whole, Table};

/// The page.
pub fn render(summary: &ExperimentSummary) -> String {
    let mut table = Table::new(&[
        "comparison",
        "variant",
        "whole/s before",
        "during",
        "after",
        "recovery",
        "never recovered",
        "protected served",
        "wasted work",
        "most attempts",
        "latency p50",
        "p99",
        "broken promises",
    ]);
    for comparison in &summary.comparisons {
        for variant in &comparison.variants {
            table.push(row(&comparison.name, variant));
        }
    }
    format!(
        "# {}, {}\n\n{}\n\n`{}`\n\nMedian over the seeds {}, with the least and the greatest value.\n\n{}\n",
        summary.experiment,
        summary.profile,
        summary.description,
        summary.command,
        summary.seeds,
        table.to_markdown()
    )
}

fn row(comparison: &str, variant: &VariantSummary) -> Vec<String> {
    vec![
        comparison.to_owned(),
        variant.label.clone(),
        with_range(variant.goodput_before_per_s, whole),
        with_range(variant.goodput_during_per_s, whole),
        with_range(variant.goodput_after_per_s, whole),
        recovery(&variant.recovery_ms),
        format!("{} of {}", variant.recovery_ms.never, variant.recovery_ms.runs),
        with_range(variant.protected_served_ratio, percent),
        with_range(variant.wasted_work_ratio, percent),
        with_range(variant.max_attempts_per_root, whole),
        with_range(variant.latency_ms.p50, time),
        with_range(variant.latency_ms.p99, time),
        broken(variant),
    ]
}

fn with_range(spread: Option<Spread>, render: fn(f64) -> String) -> String {
    let Some(spread) = spread else { return "-".to_owned() };
    let (median, minimum, maximum) = (render(spread.median), render(spread.minimum), render(spread.maximum));
    if minimum == maximum {
        return median;
    }
    format!("{median} ({minimum} to {maximum})")
}

fn recovery(recovery: &ReachedSpread) -> String {
    let median = time_or_never(recovery.median);
    match recovery.reached {
        Some(spread) if spread.minimum < spread.maximum => {
            format!("{median} ({} to {})", time(spread.minimum), time(spread.maximum))
        }
        _ => median,
    }
}

fn broken(variant: &VariantSummary) -> String {
    if variant.broken_promises.is_empty() {
        return "none".to_owned();
    }
    let counts = variant.broken_promises.iter().map(|(name, count)| format!("{name} {count}"));
    counts.collect::<Vec<_>>().join(", ")
}
