//! Goodput over time, from the timelines of several runs.

use std::collections::BTreeSet;

use quillhatch_simulation::Report;

use crate::plot::BandPoint;
use crate::spread::Spread;

/// The width of one point; short enough to show a collapse, long enough to smooth single arrivals.
const POINT_MILLISECONDS: u64 = 500;

/// How long after the last cause goodput is shown: callers come for so long in the simulation.
const SHOWN_AFTER_CAUSES_MILLISECONDS: u64 = 15_000;

/// The classes in the reports' timelines, sorted.
pub fn classes<'a>(reports: impl IntoIterator<Item = &'a Report>) -> BTreeSet<String> {
    reports.into_iter().flat_map(|report| report.goodput_timeline.keys().cloned()).collect()
}

/// Whole requests per second over time in seconds, median and quartiles over the runs; of one class or of all.
pub fn goodput(reports: &[Report], class: Option<&str>) -> Vec<BandPoint> {
    let rates: Vec<Vec<f64>> = reports.iter().map(|report| rates(report, class)).collect();
    let length = reports.iter().map(shown_points).max().unwrap_or(0);
    let point = |index: usize| {
        // A run's timeline ends with its last whole request; nothing was completed after it.
        let values = rates.iter().map(|rates| rates.get(index).copied().unwrap_or(0.0));
        let spread = Spread::of(values)?;
        let x = (index as f64 + 0.5) * POINT_MILLISECONDS as f64 / 1_000.0;
        Some(BandPoint { x, lower: spread.lower_quartile, middle: spread.median, upper: spread.upper_quartile })
    };
    (0..length).filter_map(point).collect()
}

fn shown_points(report: &Report) -> usize {
    ((report.cause_end_ms + SHOWN_AFTER_CAUSES_MILLISECONDS) / POINT_MILLISECONDS) as usize
}

fn rates(report: &Report, class: Option<&str>) -> Vec<f64> {
    let buckets_per_point = (POINT_MILLISECONDS / report.timeline_bucket_ms.max(1)).max(1) as usize;
    let chosen = report.goodput_timeline.iter().filter(|(name, _)| class.is_none_or(|class| class == name.as_str()));
    let mut rates = vec![0.0; shown_points(report)];
    for (_, buckets) in chosen {
        for (rate, chunk) in rates.iter_mut().zip(buckets.chunks(buckets_per_point)) {
            let sum: u32 = chunk.iter().sum();
            *rate += f64::from(sum) * 1_000.0 / POINT_MILLISECONDS as f64;
        }
    }
    rates
}
