//! Starts and stops a node inside the current process.
//!
//! [`start`] binds the listeners, connects the decision code to its driver and returns a [`RunningNode`]. One process can
//! run several nodes. [`RunningNode::stop`] shuts a node down gracefully: requests in flight may finish within the grace
//! period.

mod options;
mod setup;
mod stop;

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error, From};
use quillhatch_messages::KeySetError;
use quillhatch_settings::NodeSettings;
use quillhatch_types::NodeId;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::decisions::Decisions;
use crate::driver::Driver;
use crate::gate::background::BackgroundRuns;
use crate::metrics::Counters;
use crate::operators::{OperatorServer, OperatorServerError};
use crate::peers::PeerSender;

pub use stop::StopReport;

/// An error that prevents a node from starting.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listening address could not be bound.
    #[display("cannot listen for {client_kind} at {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// Which kind of client the listener is for.
        client_kind: &'static str,
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operator listener did not start.
    Operators(OperatorServerError),
    /// The fleet keys are unusable.
    #[display("the fleet keys are unusable: {_0}")]
    Keys(KeySetError),
    /// The group's timing settings contradict each other.
    #[display("the timing settings contradict each other: {_0}")]
    Timings(quillhatch_group::SettingsError),
    /// An HTTP client could not be created.
    #[display("cannot create an HTTP client: {_0}")]
    Client(reqwest::Error),
}

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For calls.
    pub callers: SocketAddr,
    /// For frames and attempts from other nodes.
    pub peers: SocketAddr,
    /// For operator requests, health checks and metrics.
    pub operators: SocketAddr,
    /// For outgoing calls of the back end, if the settings configure a separate listener.
    pub outgoing: Option<SocketAddr>,
}

/// A node running in this process.
pub struct RunningNode {
    /// The bound addresses. A port of zero in the settings is replaced by the port that the system assigned.
    pub addresses: ListenAddresses,
    /// The identity of this run of the node.
    pub node: NodeId,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
    sender: Arc<PeerSender>,
    operators: OperatorServer,
    stop_listeners: watch::Sender<bool>,
    /// The servers for callers and peers. After `stop_listeners` is set, each ends when its last connection closes.
    servers: JoinSet<()>,
    /// Periodic tasks, which run until they are aborted.
    background: JoinSet<()>,
    background_runs: Arc<BackgroundRuns>,
    grace: std::time::Duration,
}

impl RunningNode {
    /// The driver that runs the node's decision code.
    pub fn driver(&self) -> &Arc<Driver> {
        &self.driver
    }

    /// The counters of the I/O code.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Ends the node at once and closes all its connections, which simulates the failure of its machine.
    pub async fn kill(self) {
        let RunningNode { operators, mut servers, mut background, background_runs, .. } = self;
        // Shut down first: a non-repeatable attempt whose server task is dropped would otherwise continue in the background.
        background_runs.shutdown().await;
        servers.shutdown().await;
        background.shutdown().await;
        operators.stop().await;
    }
}

/// Builds the decision code of a node.
pub trait DecisionFactory {
    /// Builds the decision code for the run `node`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings contradict each other.
    fn build(self, node: NodeId, settings: &NodeSettings) -> Result<Box<dyn Decisions>, StartError>;
}

impl<F> DecisionFactory for F
where
    F: FnOnce(NodeId, &NodeSettings) -> Result<Box<dyn Decisions>, StartError>,
{
    fn build(self, node: NodeId, settings: &NodeSettings) -> Result<Box<dyn Decisions>, StartError> {
        self(node, settings)
    }
}

/// Starts a node.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound or the settings contradict each other.
pub async fn start(settings: NodeSettings) -> Result<RunningNode, StartError> {
    start_with(settings, options::build_node).await
}

/// Starts a node with the decision code that `factory` builds.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound or the keys are unusable.
pub async fn start_with(settings: NodeSettings, factory: impl DecisionFactory) -> Result<RunningNode, StartError> {
    setup::start(settings, factory).await
}
