//! Starts and stops a rocket server on a loopback port.

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
    /// It stopped before it listened.
    #[display("it stopped while starting")]
    #[from(skip)]
    Stopped,
    /// Rocket refused the set-up or could not bind.
    #[display("cannot start the server: {_0}")]
    Rocket(Box<rocket::Error>),
}

/// A server that runs until it is stopped.
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Starts `rocket` on `address`; a port of zero takes a free one.
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
    // Rocket takes a free port itself: one that was looked for before may be taken by another process meanwhile.
    let (listening, bound) = oneshot::channel();
    let listening = Mutex::new(Some(listening));
    let liftoff = AdHoc::on_liftoff("listening", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(listening) = listening.lock().unwrap_or_else(PoisonError::into_inner).take() {
            // The starter waits for it, unless it was dropped.
            let _ = listening.send(address);
        }
        Box::pin(async {})
    });
    let rocket = rocket.configure(config).attach(liftoff).ignite().await.map_err(Box::new)?;
    let shutdown = rocket.shutdown();
    let mut launched = Box::pin(rocket.launch());
    let address = tokio::select! {
        address = bound => address.map_err(|_| StartError::Stopped)?,
        ended = &mut launched => return Err(ended.err().map_or(StartError::Stopped, |error| Box::new(error).into())),
    };
    let task = tokio::spawn(async move {
        // It ends when it is stopped, with whatever was open.
        let _ = launched.await;
    });
    Ok(RunningServer { address, shutdown, task })
}

impl RunningServer {
    /// Stops the server at once: open connections are cut, as when its machine fails.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = tokio::time::timeout(std::time::Duration::from_secs(2), self.task).await;
    }
}

/// The loopback address with a port of the system's choice.
pub fn any_loopback() -> SocketAddr {
    SocketAddr::from((IpAddr::from([127, 0, 0, 1]), 0))
}
