//! The stand-in for a back end: serves small responses and large files, calls other services and injects faults on
//! request.
//!
//! `GET /health`, `GET /load`, `GET /record` and `PUT /faults` are endpoints of the stand-in. A path that ends in
//! `/files/<seed>/<bytes>` streams a generated file with a strong entity tag and range support; every other path runs
//! for the service time and returns a [`RunAnswer`]. Nodes remove the service's prefix from a path before they forward
//! it.

mod behaviour;
mod record;
mod routes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use behaviour::{BackendFaults, Behaviour};
pub use record::{RunAnswer, RunRecord, Runs};

use crate::server::{start, RunningServer, StartError};

/// A child call that a back end makes for each call that it runs under a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCall {
    /// The path prefix of the calls that make this child call, without the service's prefix.
    pub below: String,
    /// The HTTP method of the child call.
    pub method: String,
    /// The path of the child call, including the called service's prefix.
    pub path: String,
}

/// The options of a back end.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The service that the back end belongs to.
    pub service: String,
    /// The name that responses report.
    pub name: String,
    /// The number of calls that run concurrently; further calls wait in the back end's own queue.
    pub slots: usize,
    /// The time for which a call runs.
    pub service_time: Duration,
    /// The caller listener of the node on the same machine, to which child calls are sent.
    pub edge: Option<SocketAddr>,
    /// The child calls.
    pub children: Vec<ChildCall>,
}

/// A running stand-in back end.
pub struct Backend {
    /// The behaviour of the back end, including its faults.
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

    /// Returns the address on which the back end listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Stops the back end at once.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
