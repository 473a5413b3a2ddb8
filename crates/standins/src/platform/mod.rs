//! The stand-in for the platform: a configuration document and a lagging list of machines, both only for reading.
//!
//! `GET /configuration` answers the document with its `ETag`; `GET /machines` answers
//! `[{"address": "IP:port", "status": "live"}]`. Faults are set by the test that owns the stand-in, or by
//! `PUT /faults` and `PUT /configuration`, which the real platform does not have.

mod routes;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

pub use state::{Machine, MachineStatus, PlatformFaults, PlatformState};

use crate::server::{start, RunningServer, StartError};

/// A running stand-in platform.
pub struct Platform {
    /// Its state, to be changed by the test.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Stops it.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
