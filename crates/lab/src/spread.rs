//! Median and spread of a measure over several seeds.

#[cfg(test)]
mod tests;

use serde::Serialize;

/// Order statistics of a measure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The least value.
    pub minimum: f64,
    /// A quarter of the values is at most this.
    pub lower_quartile: f64,
    /// Half of the values is at most this.
    pub median: f64,
    /// Three quarters of the values are at most this.
    pub upper_quartile: f64,
    /// The greatest value.
    pub maximum: f64,
}

impl Spread {
    /// The spread of `values`; `None` if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Spread> {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let (minimum, maximum) = (*sorted.first()?, *sorted.last()?);
        Some(Spread {
            minimum,
            lower_quartile: quantile(&sorted, 0.25),
            median: quantile(&sorted, 0.5),
            upper_quartile: quantile(&sorted, 0.75),
            maximum,
        })
    }
}

/// The value at `share` of the sorted values, interpolated between neighbours.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let position = share * (sorted.len() - 1) as f64;
    let below = sorted[position.floor() as usize];
    let above = sorted[position.ceil() as usize];
    below + (above - below) * position.fract()
}

/// A measure that some runs never reach, such as the time until recovery.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReachedSpread {
    /// The number of runs.
    pub runs: usize,
    /// The runs that never reached it.
    pub never: usize,
    /// The median over all runs, a run that never reached it counting as infinite; `None` if that is the median.
    pub median: Option<f64>,
    /// The spread over the runs that did reach it.
    pub reached: Option<Spread>,
}

impl ReachedSpread {
    /// The spread of `values`, of which `None` never reached the measure.
    pub fn of(values: &[Option<f64>]) -> ReachedSpread {
        let with_infinity = values.iter().map(|value| value.unwrap_or(f64::INFINITY));
        let median = middle(with_infinity).filter(|median| median.is_finite());
        ReachedSpread {
            runs: values.len(),
            never: values.iter().filter(|value| value.is_none()).count(),
            median,
            reached: Spread::of(values.iter().flatten().copied()),
        }
    }
}

/// The upper median, which needs no arithmetic on infinite values.
fn middle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
