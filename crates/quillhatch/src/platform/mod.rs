//! Reads the platform's service: the configuration document and the list of machines.
//!
//! Everything that knows the platform's interface is in this module, behind [`Platform`]: the real one's will differ. A
//! reading never blocks the node, and a platform that is down, slow or stale only means that nothing new is learned.

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

/// Why a reading gave nothing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// No address of the platform answered.
    #[display("the platform does not answer: {problem}")]
    Unreachable {
        /// What the last attempt ran into.
        problem: String,
    },
    /// The answer is larger than any sensible document.
    #[display("the platform's answer is larger than {maximum} bytes")]
    TooLarge {
        /// The largest answer read, in bytes.
        maximum: usize,
    },
    /// The list of machines cannot be read.
    #[display("the platform's list of machines cannot be read: {problem}")]
    Machines {
        /// What is wrong with it.
        problem: String,
    },
    /// The configuration document has errors and was refused whole.
    #[display("the configuration document is refused")]
    Refused(#[error(not(source))] Findings),
}

/// A platform, whatever its interface.
pub trait Platform: Send + 'static {
    /// The configuration document, or `None` if it is the one read before.
    fn configuration(&mut self) -> impl Future<Output = Result<Option<Arc<Configuration>>, ReadError>> + Send;

    /// The list of machines; it lags.
    fn machines(&mut self) -> impl Future<Output = Result<Vec<Machine>, ReadError>> + Send;
}

/// What the last reading of one part came to, so that only changes are logged.
#[derive(Debug, Default, PartialEq, Eq)]
enum Health {
    #[default]
    Unread,
    Readable,
    Failing(ReadError),
}

/// Reads the platform again and again and hands what it says to the node.
pub struct PlatformReader<P> {
    platform: P,
    interval: Duration,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
    configuration: Health,
    machines: Health,
}

impl<P: Platform> PlatformReader<P> {
    /// A reader that pauses for `interval` between two readings.
    pub fn new(platform: P, interval: Duration, driver: Arc<Driver>, counters: Arc<Counters>) -> Self {
        let (configuration, machines) = (Health::Unread, Health::Unread);
        PlatformReader { platform, interval, driver, counters, configuration, machines }
    }

    /// Reads for ever.
    pub async fn run(mut self) {
        loop {
            self.read().await;
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn read(&mut self) {
        let configuration = self.platform.configuration().await;
        let configuration = note(&mut self.configuration, &self.counters, "configuration", configuration).flatten();
        let machines = self.platform.machines().await;
        let machines = note(&mut self.machines, &self.counters, "machines", machines);
        if configuration.is_none() && machines.is_none() {
            return;
        }
        let reading = PlatformReading { configuration, machines: machines.unwrap_or_default() };
        self.driver.input(NodeInput::Platform(reading));
    }
}

/// Counts a result, logs it if it differs from the last one, and returns its value.
fn note<T>(health: &mut Health, counters: &Counters, part: &str, result: Result<T, ReadError>) -> Option<T> {
    match result {
        Ok(value) => {
            counters.platform_readings.inc();
            if matches!(health, Health::Failing(_)) {
                log::info!(part; "the platform can be read again");
            }
            *health = Health::Readable;
            Some(value)
        }
        Err(error) => {
            counters.failed_platform_readings.inc();
            if matches!(error, ReadError::Refused(_)) {
                counters.refused_configurations.inc();
            }
            let failing = Health::Failing(error.clone());
            if *health != failing {
                log_failure(part, &error);
                *health = failing;
            }
            None
        }
    }
}

fn log_failure(part: &str, error: &ReadError) {
    log::warn!(part; "{error}");
    if let ReadError::Refused(findings) = error {
        for finding in &findings.0 {
            let place = finding.place.to_string();
            log::warn!(part, place = place.as_str(); "{}", render_finding(finding));
        }
    }
}
