//! Counts and levels that the metrics page shows.

/// A number that a node counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Statistic {
    /// The name, in `snake_case`, without the program's prefix.
    pub name: &'static str,
    /// What it counts, with its unit.
    pub help: &'static str,
    /// Its value now.
    pub value: f64,
    /// Whether it can fall.
    pub gauge: bool,
}

impl Statistic {
    pub(crate) fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        Statistic { name, help, value: value as f64, gauge: false }
    }

    pub(crate) fn gauge(name: &'static str, help: &'static str, value: f64) -> Self {
        Statistic { name, help, value, gauge: true }
    }
}
