//! The pictures of an experiment: goodput over time, recovery time, latency.

use std::path::Path;

use quillhatch_simulation::Report;

use super::run::{ComparisonRuns, VariantRuns};
use super::timeline;
use crate::plot::{save, Axis, BandPoint, Chart, DotRow, Dots, Panels, PlotError, Scale, Series};

/// A percentile that reports carry.
struct Percentile {
    /// Its name on the axis.
    name: &'static str,
    /// Reads it from a report, in milliseconds.
    read: fn(&Report) -> f64,
}

const PERCENTILES: [Percentile; 4] = [
    Percentile { name: "50%", read: |report| report.latency_ms.p50 },
    Percentile { name: "90%", read: |report| report.latency_ms.p90 },
    Percentile { name: "99%", read: |report| report.latency_ms.p99 },
    Percentile { name: "99.9%", read: |report| report.latency_ms.p999 },
];

/// The most comparisons in one picture.
const COMPARISONS_IN_PICTURE: usize = 12;

/// Draws goodput over time, one panel for each comparison.
pub fn goodput(title: &str, runs: &[ComparisonRuns], directory: &Path) -> Result<(), PlotError> {
    let chart = |comparison: &ComparisonRuns| goodput_chart(&comparison.name, comparison, None);
    let title = format!("{title}: whole requests per second (median and quartiles over the seeds)");
    save_panels(&title, runs, chart, directory, "goodput")
}

fn save_panels(
    title: &str,
    runs: &[ComparisonRuns],
    chart: impl Fn(&ComparisonRuns) -> Chart,
    directory: &Path,
    name: &str,
) -> Result<(), PlotError> {
    for (page, runs) in pages(name, runs) {
        let panels = Panels { title: title.to_owned(), charts: runs.iter().map(&chart).collect() };
        save(&panels, panels.size(), directory, &page)?;
    }
    Ok(())
}

/// The comparisons of each picture, with the picture's name; numbered if there are several.
fn pages<'a>(name: &'a str, runs: &'a [ComparisonRuns]) -> impl Iterator<Item = (String, &'a [ComparisonRuns])> {
    let single = runs.len() <= COMPARISONS_IN_PICTURE;
    let named = move |number: usize| if single { name.to_owned() } else { format!("{name}-{}", number + 1) };
    runs.chunks(COMPARISONS_IN_PICTURE).enumerate().map(move |(number, runs)| (named(number), runs))
}

/// Draws goodput over time by class, one picture for each comparison.
pub fn goodput_by_class(title: &str, runs: &[ComparisonRuns], directory: &Path) -> Result<(), PlotError> {
    for comparison in runs {
        let classes = timeline::classes(comparison.variants.iter().flat_map(|variant| &variant.reports));
        let panels = Panels {
            title: format!("{title}, {}: whole requests per second by class (median and quartiles)", comparison.name),
            charts: classes.iter().map(|class| goodput_chart(class, comparison, Some(class))).collect(),
        };
        save(&panels, panels.size(), directory, &format!("goodput-by-class-{}", comparison.name))?;
    }
    Ok(())
}

fn goodput_chart(title: &str, comparison: &ComparisonRuns, class: Option<&str>) -> Chart {
    let series = |variant: &VariantRuns| Series {
        label: variant.variant.label.to_owned(),
        points: timeline::goodput(&variant.reports, class),
    };
    let causes = comparison.variants.iter().flat_map(|variant| &variant.reports).next();
    Chart {
        title: title.to_owned(),
        x: Axis { label: "seconds".to_owned(), scale: Scale::Linear },
        y: Axis { label: "whole/s".to_owned(), scale: Scale::Linear },
        shaded: causes.map(|report| (report.cause_start_ms as f64 / 1e3, report.cause_end_ms as f64 / 1e3)),
        series: comparison.variants.iter().map(series).collect(),
    }
}

/// Draws the latency percentiles, one panel for each comparison.
pub fn latency(title: &str, runs: &[ComparisonRuns], directory: &Path) -> Result<(), PlotError> {
    let title = format!("{title}: latency of whole requests (median and quartiles over the seeds)");
    save_panels(&title, runs, latency_chart, directory, "latency")
}

fn latency_chart(comparison: &ComparisonRuns) -> Chart {
    let names = PERCENTILES.iter().map(|percentile| percentile.name.to_owned()).collect();
    Chart {
        title: comparison.name.clone(),
        x: Axis { label: "share of requests at most that slow".to_owned(), scale: Scale::Names(names) },
        y: Axis { label: "latency".to_owned(), scale: Scale::LogarithmicTime },
        shaded: None,
        series: comparison.variants.iter().map(latency_series).collect(),
    }
}

fn latency_series(variant: &VariantRuns) -> Series {
    let point = |(index, percentile): (usize, &Percentile)| {
        let spread = crate::spread::Spread::of(variant.reports.iter().map(percentile.read))?;
        let (lower, middle, upper) = (spread.lower_quartile, spread.median, spread.upper_quartile);
        Some(BandPoint { x: index as f64, lower, middle, upper })
    };
    let points = PERCENTILES.iter().enumerate().filter_map(point).collect();
    Series { label: variant.variant.label.to_owned(), points }
}

/// Draws the recovery time of every run.
pub fn recovery(title: &str, runs: &[ComparisonRuns], directory: &Path) -> Result<(), PlotError> {
    for (page, runs) in pages("recovery", runs) {
        let dots = recovery_dots(title, runs);
        save(&dots, dots.size(), directory, &page)?;
    }
    Ok(())
}

fn recovery_dots(title: &str, runs: &[ComparisonRuns]) -> Dots {
    let rows = |comparison: &ComparisonRuns| -> Vec<DotRow> {
        comparison.variants.iter().map(|variant| recovery_row(&comparison.name, variant)).collect()
    };
    Dots {
        title: format!("{title}: time until goodput is back, one dot for each seed"),
        x_label: "seconds after the last cause ended".to_owned(),
        rows: runs.iter().flat_map(rows).collect(),
    }
}

fn recovery_row(comparison: &str, variant: &VariantRuns) -> DotRow {
    let seconds = |report: &Report| report.recovery_ms.map(|milliseconds| milliseconds / 1_000.0);
    DotRow {
        group: comparison.to_owned(),
        label: variant.variant.label.to_owned(),
        values: variant.reports.iter().map(seconds).collect(),
    }
}
