//! Starts and stops a Rocket server on a loopback port.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, PoisonError};

use derive_more::{Display, Error, From};
use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Why a server did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The server stopped before it listened.
    #[display("it stopped while starting")]
    #[from(skip)]
    Stopped,
    /// Rocket rejected the configuration or could not bind the address.
    #[display("cannot start the server: {_0}")]
    Rocket(Box<rocket::Error>),
}

/// A server that runs until it is stopped.
pub struct RunningServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Starts `rocket` on `address`; port 0 selects a free port.
///
/// # Errors
///
/// Returns why the server did not start.
pub async fn start(rocket: Rocket<Build>, address: SocketAddr) -> Result<RunningServer, StartError> {
    let shutdown =
        ShutdownConfig { ctrlc: false, signals: Default::default(), grace: 0, mercy: 0, ..Default::default() };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        shutdown,
        ..Config::default()
    };
    // Rocket selects the free port while binding: a port that was found free beforehand may be taken by another process
    // in the meantime.
    let (address_sender, bound_address) = oneshot::channel();
    let address_sender = Mutex::new(Some(address_sender));
    let liftoff = AdHoc::on_liftoff("listening", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(address_sender) = address_sender.lock().unwrap_or_else(PoisonError::into_inner).take() {
            // `start` waits for the address, unless its future was dropped.
            let _ = address_sender.send(address);
        }
        Box::pin(async {})
    });
    let rocket = rocket.configure(config).attach(liftoff).ignite().await.map_err(Box::new)?;
    let shutdown = rocket.shutdown();
    let mut launched = Box::pin(rocket.launch());
    let address = tokio::select! {
        address = bound_address => address.map_err(|_| StartError::Stopped)?,
        ended = &mut launched => return Err(ended.err().map_or(StartError::Stopped, |error| Box::new(error).into())),
    };
    let task = tokio::spawn(async move {
        // The server ends when it is stopped; errors of connections that are still open are ignored.
        let _ = launched.await;
    });
    Ok(RunningServer { address, shutdown, task })
}

impl RunningServer {
    /// Stops the server at once and closes open connections, as if its machine had failed.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = tokio::time::timeout(std::time::Duration::from_secs(2), self.task).await;
    }
}

/// Returns the loopback address with port 0, so that the system selects a port.
pub fn any_loopback() -> SocketAddr {
    SocketAddr::from((IpAddr::from([127, 0, 0, 1]), 0))
}
