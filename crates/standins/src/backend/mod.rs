//! The stand-in for a back end: serves small answers and large files, calls other services, and misbehaves on demand.
//!
//! `GET /health`, `GET /load`, `GET /record` and `PUT /faults` are its own. A path that ends in `/files/<seed>/<bytes>` streams
//! a generated file with a strong entity tag and ranges; every other path runs for the service time and answers a
//! [`RunAnswer`]. Nodes take the service's prefix off a path, so that it plays no part here.

mod behaviour;
mod record;
mod routes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use behaviour::{BackendFaults, Behaviour};
pub use record::{RunAnswer, RunRecord, Runs};

use crate::server::{start, RunningServer, StartError};

/// A call that a back end makes for each of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCall {
    /// The path of the back end's own call that makes it, by prefix, as the back end sees it.
    pub below: String,
    /// The method.
    pub method: String,
    /// The path called, with the other service's prefix.
    pub path: String,
}

/// What a back end is like.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Its service.
    pub service: String,
    /// Its name in answers and records.
    pub name: String,
    /// Calls that it runs at once; more wait in its own queue.
    pub slots: usize,
    /// The time that a call runs.
    pub service_time: Duration,
    /// The caller listener of the node beside it, for its own calls.
    pub edge: Option<SocketAddr>,
    /// The calls that it makes.
    pub children: Vec<ChildCall>,
}

/// A running stand-in back end.
pub struct Backend {
    /// What it does and how it misbehaves.
    pub behaviour: Arc<Behaviour>,
    server: RunningServer,
}

impl Backend {
    /// Starts the back end.
    ///
    /// # Errors
    ///
    /// Returns why the server did not start.
    pub async fn start(address: SocketAddr, options: BackendOptions) -> Result<Self, StartError> {
        let behaviour = Arc::new(Behaviour::new(options));
        let rocket = rocket::build().manage(behaviour.clone()).mount("/", routes::routes(behaviour.clone()));
        let server = start(rocket, address).await?;
        Ok(Backend { behaviour, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Stops it at once.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
