//! Counters and gauges for the metrics page.

/// A counter or gauge of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Statistic {
    /// The name, in `snake_case`, without the program's prefix.
    pub name: &'static str,
    /// The help text.
    pub help: &'static str,
    /// The current value.
    pub value: f64,
    /// Whether it is a gauge, which can fall, rather than a counter.
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
