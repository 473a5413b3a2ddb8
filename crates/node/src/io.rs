//! Inputs and outputs of a node.

use std::time::Duration;

use derive_more::{Display, From};
use quillhatch_calls::edge::{EdgeInput, EdgeOutput};
use quillhatch_calls::gate::{GateInput, GateOutput};
use quillhatch_control::io::{ControlEvent, PlatformReading, RequestNumber};
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_membership::MemberStatus;
use quillhatch_messages::{Payload, PayloadKind};
use quillhatch_types::{Incarnation, NodeAddress, NodeId, Revision};

/// An input of a node.
#[derive(Clone, Debug, From, PartialEq)]
pub enum NodeInput {
    /// An input for the edge.
    Edge(EdgeInput),
    /// An input for the gate.
    Gate(GateInput),
    /// A reading of the platform's service: the configuration and the machines.
    Platform(PlatformReading),
    /// An operator's request.
    #[from(skip)]
    Operator {
        /// The number of the request, copied to the reply.
        request: RequestNumber,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// A message arrived from another node; its frame is authenticated.
    #[from(skip)]
    Message {
        /// The sender.
        from: NodeId,
        /// The revision of the sender's active configuration.
        revision: Revision,
        /// The message.
        payload: Payload,
    },
    /// A request to stop the node.
    #[from(skip)]
    Stop {
        /// The maximum time to wait for running calls.
        grace: Duration,
    },
    /// A timer may be due.
    #[from(skip)]
    Tick,
}

/// An output of a node, for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    /// An output of the edge.
    Edge(EdgeOutput),
    /// An output of the gate.
    Gate(GateOutput),
    /// Send a message to another node.
    Send {
        /// The receiver's peer address.
        to: NodeAddress,
        /// The receiver's incarnation; any incarnation if absent.
        incarnation: Option<Incarnation>,
        /// The message.
        payload: Payload,
    },
    /// Reply to an operator.
    Operator {
        /// The number of the request.
        request: RequestNumber,
        /// The reply.
        reply: Box<OperatorReply>,
    },
    /// A change of state to log.
    Event(NodeEvent),
    /// The node is ready and takes calls.
    Ready,
    /// The node may exit after a stop: all work is finished, or the grace period has passed.
    ReadyToExit,
}

/// A change of state to log.
#[derive(Clone, Debug, Display, From, PartialEq)]
pub enum NodeEvent {
    /// A change of the configuration, a group, a table or a plan.
    #[display("{_0}")]
    Control(ControlEvent),
    /// A change of another member's status.
    #[display("member {node} is {status}")]
    #[from(skip)]
    Member {
        /// The member.
        node: NodeId,
        /// Its new status.
        status: MemberStatus,
    },
    /// An authenticated message could not be decoded: the sender runs another release, or has a fault.
    #[display("a {kind} message of {sender} could not be decoded")]
    #[from(skip)]
    Undecodable {
        /// The protocol of the message.
        kind: PayloadKind,
        /// The sender.
        sender: NodeId,
    },
}
