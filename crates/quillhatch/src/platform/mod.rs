//! Polls the platform's service for the configuration document and the list of machines.
//!
//! Only this module depends on the platform's interface, behind the trait [`Platform`], because a real platform's interface
//! will differ from this one. Polling never blocks the node: while the platform is down, slow or stale, the node continues
//! with the data it has.

mod http;
#[cfg(test)]
mod tests;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use quillhatch_control::io::{Machine, PlatformReading};
use quillhatch_settings::presentation::render_finding;
use quillhatch_types::{Configuration, Findings};

use crate::decisions::NodeInput;
use crate::driver::Driver;
use crate::metrics::Counters;

pub use http::HttpPlatform;

/// An error that occurred while polling the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No address of the platform returned a successful response.
    #[display("the platform does not answer: {problem}")]
    Unreachable {
        /// The failure at the address tried last.
        problem: String,
    },
    /// The response exceeds the size limit.
    #[display("the platform's response is larger than {max_bytes} bytes")]
    TooLarge {
        /// The maximum response size in bytes.
        max_bytes: usize,
    },
    /// The list of machines is malformed.
    #[display("the platform's list of machines is malformed: {problem}")]
    MalformedMachineList {
        /// The parse error.
        problem: String,
    },
    /// The configuration document has errors; no part of it is applied.
    #[display("the configuration document is refused")]
    RejectedConfiguration(#[error(not(source))] Findings),
}

/// The interface to a platform's service.
pub trait Platform: Send + 'static {
    /// Fetches the configuration, or returns `None` if it has not changed since the previous fetch.
    fn configuration(&mut self) -> impl Future<Output = Result<Option<Arc<Configuration>>, PlatformError>> + Send;

    /// Fetches the list of machines, which may be out of date.
    fn machines(&mut self) -> impl Future<Output = Result<Vec<Machine>, PlatformError>> + Send;
}

/// The result of the last poll of one resource, so that only changes are logged.
#[derive(Debug, Default, PartialEq, Eq)]
enum PollStatus {
    #[default]
    NotPolled,
    Succeeded,
    Failed(PlatformError),
}

/// Polls the platform periodically and passes the results to the node's decision code.
pub struct PlatformReader<P> {
    platform: P,
    interval: Duration,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
    configuration_status: PollStatus,
    machines_status: PollStatus,
}

impl<P: Platform> PlatformReader<P> {
    /// Creates a reader that waits for `interval` after each poll.
    pub fn new(platform: P, interval: Duration, driver: Arc<Driver>, counters: Arc<Counters>) -> Self {
        let (configuration_status, machines_status) = (PollStatus::NotPolled, PollStatus::NotPolled);
        PlatformReader { platform, interval, driver, counters, configuration_status, machines_status }
    }

    /// Polls the platform until the task is aborted.
    pub async fn run(mut self) {
        loop {
            self.poll().await;
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn poll(&mut self) {
        let configuration = self.platform.configuration().await;
        let configuration =
            record_result(&mut self.configuration_status, &self.counters, "configuration", configuration).flatten();
        let machines = self.platform.machines().await;
        let machines = record_result(&mut self.machines_status, &self.counters, "machines", machines);
        if configuration.is_none() && machines.is_none() {
            return;
        }
        let reading = PlatformReading { configuration, machines: machines.unwrap_or_default() };
        self.driver.input(NodeInput::Platform(reading));
    }
}

/// Counts `result`, logs a changed failure or a recovery, and returns the value.
fn record_result<T>(
    status: &mut PollStatus,
    counters: &Counters,
    part: &str,
    result: Result<T, PlatformError>,
) -> Option<T> {
    match result {
        Ok(value) => {
            counters.platform_readings.inc();
            if matches!(status, PollStatus::Failed(_)) {
                log::info!(part; "polling the platform succeeds again");
            }
            *status = PollStatus::Succeeded;
            Some(value)
        }
        Err(error) => {
            counters.failed_platform_readings.inc();
            if matches!(error, PlatformError::RejectedConfiguration(_)) {
                counters.refused_configurations.inc();
            }
            let failed = PollStatus::Failed(error.clone());
            if *status != failed {
                log_failure(part, &error);
                *status = failed;
            }
            None
        }
    }
}

fn log_failure(part: &str, error: &PlatformError) {
    log::warn!(part; "{error}");
    if let PlatformError::RejectedConfiguration(findings) = error {
        for finding in &findings.0 {
            let place = finding.place.to_string();
            log::warn!(part, place = place.as_str(); "{}", render_finding(finding));
        }
    }
}
