//! The operator listener: liveness, readiness, metrics, and the requests of the command line.

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

/// The path for operator requests.
pub const OPERATOR_PATH: &str = "/operator";

/// An error that prevents the operator listener from starting.
#[derive(Debug, Display, Error)]
#[display("cannot listen for operators at {address}: {problem}")]
pub struct OperatorServerError {
    /// The address to bind.
    pub address: SocketAddr,
    /// Rocket's error message.
    pub problem: String,
}

/// A running operator listener.
#[derive(Debug)]
pub struct OperatorServer {
    /// The bound address.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<()>,
}

impl OperatorServer {
    /// Starts listening at `address`; with port zero, the system assigns a free port.
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
        let start_error = |problem: String| OperatorServerError { address, problem };
        let (address_sender, address_receiver) = oneshot::channel();
        let address_sender = Mutex::new(Some(address_sender));
        let liftoff = AdHoc::on_liftoff("listening", move |rocket| {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(sender) = address_sender.lock().unwrap_or_else(PoisonError::into_inner).take() {
                // Sending fails only if the future of `start` has been dropped.
                let _ = sender.send(address);
            }
            Box::pin(async {})
        });
        let rocket = rocket::custom(rocket_config(address))
            .manage(MetricsPage::new(counters, Arc::clone(&driver)))
            .manage(routes::RouteState { token, driver })
            .mount("/", routes::routes())
            .attach(liftoff);
        let rocket = rocket.ignite().await.map_err(|error| start_error(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let mut launched = Box::pin(rocket.launch());
        let address = tokio::select! {
            address = address_receiver => address.map_err(|_| start_error("it stopped during startup".to_owned()))?,
            result = &mut launched => {
                let problem = result.err().map_or_else(|| "it stopped during startup".to_owned(), |error| error.to_string());
                return Err(start_error(problem));
            }
        };
        let task = tokio::spawn(async move {
            if let Err(error) = launched.await {
                let problem = error.to_string();
                log::debug!(problem; "the operator listener ended with open connections");
            }
        });
        Ok(OperatorServer { address, shutdown, task })
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.shutdown.notify();
        // The result can be ignored: a panic of the listener task does not matter while the node is stopping.
        let _ = self.task.await;
    }
}

/// The configuration of rocket. It reads no files or environment variables, and disables rocket's signal handling because
/// the node has its own.
fn rocket_config(address: SocketAddr) -> Config {
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
