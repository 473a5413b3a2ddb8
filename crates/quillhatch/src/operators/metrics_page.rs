//! The metrics page: the counters of the I/O code and the statistics of the decision code.

use std::fmt;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::decisions::Statistic;
use crate::driver::Driver;
use crate::metrics::Counters;

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "quillhatch";

/// Renders the metrics page.
#[derive(Debug)]
pub struct MetricsPage(Registry);

impl MetricsPage {
    /// Creates a page of `counters` and the statistics of `driver`'s decision code.
    pub fn new(counters: &Counters, driver: Arc<Driver>) -> Self {
        let mut registry = Registry::with_prefix(METRIC_PREFIX);
        counters.register(&mut registry);
        registry.register_collector(Box::new(StatisticsCollector(driver)));
        MetricsPage(registry)
    }

    /// Renders the page in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut page = String::new();
        text::encode(&mut page, &self.0)?;
        Ok(page)
    }
}

#[derive(Debug)]
struct StatisticsCollector(Arc<Driver>);

impl Collector for StatisticsCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for Statistic { name, help, value, gauge } in self.0.statistics() {
            if gauge {
                let metric = ConstGauge::new(value);
                metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
            } else {
                let metric = ConstCounter::new(value);
                metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
            }
        }
        Ok(())
    }
}
