//! Starts and stops a rocket server on a loopback port.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error, From};
use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::{Build, Rocket, Shutdown};
use tokio::task::JoinHandle;

/// Why a server did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The address could not be bound.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
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
    let address = free_address(address)?;
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
    let rocket = rocket.configure(config).ignite().await.map_err(Box::new)?;
    let shutdown = rocket.shutdown();
    let task = tokio::spawn(async move {
        // A failure to bind shows as a refused connection at once; see `wait_until_listening`.
        let _ = rocket.launch().await;
    });
    wait_until_listening(address).await?;
    Ok(RunningServer { address, shutdown, task })
}

fn free_address(address: SocketAddr) -> Result<SocketAddr, std::io::Error> {
    if address.port() != 0 {
        return Ok(address);
    }
    std::net::TcpListener::bind(address)?.local_addr()
}

const START_ATTEMPTS: u32 = 200;
const START_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

async fn wait_until_listening(address: SocketAddr) -> Result<(), std::io::Error> {
    let mut last = std::io::Error::from(std::io::ErrorKind::NotConnected);
    for _ in 0..START_ATTEMPTS {
        match tokio::net::TcpStream::connect(address).await {
            Ok(_) => return Ok(()),
            Err(error) => last = error,
        }
        tokio::time::sleep(START_PAUSE).await;
    }
    Err(last)
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
