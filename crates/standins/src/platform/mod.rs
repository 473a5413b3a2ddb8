//! The stand-in for the platform: a read-only configuration document and a read-only list of machines that may be
//! outdated.
//!
//! `GET /configuration` returns the document with its `ETag`; `GET /machines` returns
//! `[{"address": "IP:port", "status": "live"}]`. The test that owns the stand-in sets its content and faults, directly
//! or by `PUT /configuration`, `PUT /machines` and `PUT /faults`, which the real platform does not have.

mod routes;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

pub use state::{Machine, MachineStatus, PlatformFaults, PlatformState};

use crate::server::{start, RunningServer, StartError};

/// A running stand-in platform.
pub struct Platform {
    /// The state of the platform, which tests change.
    pub state: Arc<PlatformState>,
    server: RunningServer,
}

impl Platform {
    /// Starts the stand-in with a configuration document.
    ///
    /// # Errors
    ///
    /// Returns why the server did not start.
    pub async fn start(address: SocketAddr, configuration: String) -> Result<Self, StartError> {
        let state = Arc::new(PlatformState::new(configuration));
        let rocket = rocket::build().manage(state.clone()).mount("/", routes::routes());
        let server = start(rocket, address).await?;
        Ok(Platform { state, server })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Stops the platform at once.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
