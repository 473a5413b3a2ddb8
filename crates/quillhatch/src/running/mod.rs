//! Starts and stops a node inside the current process.
//!
//! [`start`] binds the listeners, puts the decision code behind its driver and returns a [`RunningNode`]; several nodes can
//! run in one process. [`RunningNode::stop`] is a planned stop: nothing in flight is cut within the grace.

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

/// Why a node did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A listener could not be bound.
    #[display("cannot listen for {who} at {address}: {source}")]
    #[from(ignore)]
    Listen {
        /// Who would connect.
        who: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The operators' listener did not start.
    Operators(OperatorServerError),
    /// The fleet keys are unusable.
    #[display("the fleet keys are unusable: {_0}")]
    Keys(KeySetError),
    /// The timings of groups contradict each other.
    #[display("the timings of the settings contradict each other: {_0}")]
    Timings(quillhatch_group::SettingsError),
    /// An HTTP client could not be set up.
    #[display("cannot set up an HTTP client: {_0}")]
    Client(reqwest::Error),
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the calls that the back end makes, if they have their own listener.
    pub outgoing: Option<SocketAddr>,
}

/// A node that runs in this process.
pub struct RunningNode {
    /// Where it listens; ports that were zero in the settings have their numbers here.
    pub addresses: ListenAddresses,
    /// This run of the node.
    pub node: NodeId,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
    sender: Arc<PeerSender>,
    operators: OperatorServer,
    stop_listeners: watch::Sender<bool>,
    /// The servers of callers and peers; each ends when its last connection has.
    servers: JoinSet<()>,
    /// Tasks that never end by themselves.
    background: JoinSet<()>,
    background_runs: Arc<BackgroundRuns>,
    grace: std::time::Duration,
}

impl RunningNode {
    /// The driver of the node's decision code.
    pub fn driver(&self) -> &Arc<Driver> {
        &self.driver
    }

    /// The program's counters.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Ends the node at once, as when its machine fails: every connection is cut.
    pub async fn kill(self) {
        let RunningNode { operators, mut servers, mut background, background_runs, .. } = self;
        // First, so that what the servers drop does not go on there.
        background_runs.shutdown().await;
        servers.shutdown().await;
        background.shutdown().await;
        operators.stop().await;
    }
}

/// What a node is built of; the settings name the addresses to bind.
pub trait DecisionFactory {
    /// The decision code of the run `node`.
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
