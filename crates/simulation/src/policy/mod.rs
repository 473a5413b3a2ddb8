//! The seam between the emulated world and the code that handles calls.
//!
//! One [`Policy`] runs on every machine. The world carries out its outputs as the program's driver does: it opens
//! connections, moves messages, hands attempts to the back end and answers to callers.

mod direct;
mod passage;
mod product;
mod static_limit;

use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use quillhatch_calls::edge::io::{EdgeInput, EdgeOutput};
use quillhatch_calls::gate::io::{GateInput, GateOutput};
use quillhatch_node::NodeMechanisms;
use quillhatch_types::{
    AttemptId, CallId, Configuration, DeploymentName, Feedback, NodeAddress, NodeId, ParentContext, ServiceName,
    SiteName, Timestamp, ZoneName,
};

pub use direct::Direct;
pub use product::Product;
pub use static_limit::StaticLimit;

use crate::options::{Mechanism, PolicyKind};

/// Whether the platform's list has a machine as live or as about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedAs {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// What one reading of the platform's service gave.
#[derive(Clone, Debug, Default)]
pub struct PlatformView {
    /// The configuration document, if the service answered.
    pub configuration: Option<Arc<Configuration>>,
    /// The lagging list of machines.
    pub machines: Vec<(NodeAddress, ListedAs)>,
}

/// What an operator wants; the policy asks for a plan and confirms it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OperatorAction {
    /// Move a share of a service's slots to another site.
    #[display("move {percent}% of {service} to {destination}")]
    MoveShare {
        /// The service.
        service: ServiceName,
        /// Where to.
        destination: SiteName,
        /// The share of all slots that moves, in percent.
        percent: u8,
    },
    /// Retire a back end.
    #[display("retire {node} of {service}")]
    Retire {
        /// Its service.
        service: ServiceName,
        /// The node beside it.
        node: NodeAddress,
    },
}

/// What became of an operator's action.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OperatorResult {
    /// The plan was confirmed and is under way.
    #[display("confirmed")]
    Confirmed,
    /// The action was refused or could not be decided; the operator may ask again.
    #[display("refused: {_0}")]
    Refused(String),
}

/// A message between two nodes, opaque to the world.
pub type PeerMessage = Arc<dyn Any + Send + Sync>;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum HostInput {
    /// Something for the edge.
    Edge(EdgeInput),
    /// Something for the gate.
    Gate(GateInput),
    /// The platform's service was read.
    Platform(PlatformView),
    /// An operator acts through this node.
    Operator {
        /// The number of the action, repeated in the result.
        number: u64,
        /// The action.
        action: OperatorAction,
    },
    /// A message of another node arrived.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// The node is to stop within the grace time.
    Stop {
        /// The longest time to wait for running calls.
        grace: Duration,
    },
    /// Time has passed.
    Tick,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum HostOutput {
    /// An output of the edge.
    Edge(EdgeOutput),
    /// An output of the gate.
    Gate(GateOutput),
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// The result of an operator's action.
    Operator {
        /// The number of the action.
        number: u64,
        /// The result.
        result: OperatorResult,
    },
    /// A change of state worth a line in the report.
    Event(String),
    /// The node has nothing left to finish, or its grace time is over.
    ReadyToExit,
}

/// The code under comparison on one machine.
pub trait Policy: Send {
    /// Handles `input` at local time `now`.
    fn step(&mut self, now: Timestamp, input: HostInput, outputs: &mut Vec<HostOutput>);

    /// When the policy wants a [`HostInput::Tick`] at the latest, in local time.
    fn next_wake(&self) -> Option<Timestamp>;

    /// What the gate tells the edge with an answer.
    fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Option<Feedback>;

    /// What a call made below `parent`, a call in progress at the local gate, inherits.
    fn lend_tokens(&mut self, now: Timestamp, parent: CallId) -> Option<ParentContext>;

    /// Whether the node leads a group, so that a scenario can strike the leader.
    fn leads_group(&self) -> bool {
        false
    }
}

/// What a node knows when it starts.
#[derive(Clone, Debug)]
pub struct NodeStart {
    /// Its identity.
    pub node: NodeId,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// The service of its back end, if it has one.
    pub service: Option<ServiceName>,
    /// Addresses of other nodes from the settings file.
    pub seeds: Vec<NodeAddress>,
    /// The seed of its random generator.
    pub seed: u64,
    /// The local time at which it starts.
    pub now: Timestamp,
}

/// Makes the policy of a node that starts.
pub type PolicyFactory = Arc<dyn Fn(NodeStart) -> Box<dyn Policy> + Send + Sync>;

/// Starts nodes of `deployment` under `policy`, without the mechanism `disabled` if it is the product.
pub fn factory(policy: PolicyKind, deployment: &DeploymentName, disabled: Option<Mechanism>) -> PolicyFactory {
    match policy {
        PolicyKind::Direct => Arc::new(|start| Box::new(Direct::new(start))),
        PolicyKind::StaticLimit => Arc::new(|start| Box::new(StaticLimit::new(start))),
        PolicyKind::Quillhatch => {
            let deployment = deployment.clone();
            let mechanisms = disabled.map_or_else(NodeMechanisms::default, Mechanism::left_out);
            let cancellation = disabled != Some(Mechanism::CANCELLATION);
            Arc::new(move |start| Box::new(Product::new(start, deployment.clone(), mechanisms, cancellation)))
        }
    }
}
