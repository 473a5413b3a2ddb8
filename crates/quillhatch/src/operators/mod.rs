//! The operators' listener: health, readiness, metrics, and the requests of the command line.

mod metrics_page;
mod routes;
mod token;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::{Display, Error};
use rocket::config::{Config, Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::driver::Driver;
use crate::metrics::Counters;

pub use metrics_page::MetricsPage;
pub use token::BearerToken;

/// The path that takes operators' requests.
pub const OPERATOR_PATH: &str = "/operator";

/// Why the operators' listener did not start.
#[derive(Debug, Display, Error)]
#[display("cannot listen for operators at {address}: {problem}")]
pub struct OperatorServerError {
    /// The address.
    pub address: SocketAddr,
    /// What rocket says.
    pub problem: String,
}

/// The running operators' listener.
#[derive(Debug)]
pub struct OperatorServer {
    /// Where it listens.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<()>,
}

impl OperatorServer {
    /// Starts listening at `address`; port zero takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        token: Option<BearerToken>,
        driver: Arc<Driver>,
        counters: &Counters,
    ) -> Result<Self, OperatorServerError> {
        let failed = |problem: String| OperatorServerError { address, problem };
        let (bound, listening) = oneshot::channel();
        let bound = Mutex::new(Some(bound));
        let liftoff = AdHoc::on_liftoff("listening", move |rocket| {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(bound) = bound.lock().unwrap_or_else(PoisonError::into_inner).take() {
                // The starter waits for it, unless it was dropped.
                let _ = bound.send(address);
            }
            Box::pin(async {})
        });
        let rocket = rocket::custom(configuration(address))
            .manage(MetricsPage::new(counters, Arc::clone(&driver)))
            .manage(routes::Guarded { token, driver })
            .mount("/", routes::routes())
            .attach(liftoff);
        let rocket = rocket.ignite().await.map_err(|error| failed(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let mut launched = Box::pin(rocket.launch());
        let address = tokio::select! {
            address = listening => address.map_err(|_| failed("it stopped while starting".to_owned()))?,
            ended = &mut launched => {
                let problem = ended.err().map_or_else(|| "it stopped while starting".to_owned(), |error| error.to_string());
                return Err(failed(problem));
            }
        };
        let task = tokio::spawn(async move {
            if let Err(error) = launched.await {
                let problem = error.to_string();
                log::debug!(problem; "the operators' listener ended with open connections");
            }
        });
        Ok(OperatorServer { address, shutdown, task })
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.shutdown.notify();
        // A panic of the listener is of no consequence while the node stops.
        let _ = self.task.await;
    }
}

/// Rocket's own settings: nothing from files or the environment, and no signal handling, since the node has its own.
fn configuration(address: SocketAddr) -> Config {
    let shutdown = ShutdownConfig {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: 1,
        mercy: 1,
        ..ShutdownConfig::default()
    };
    Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    }
}
