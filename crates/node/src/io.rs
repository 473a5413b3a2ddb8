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

/// What can happen to a node.
#[derive(Clone, Debug, From, PartialEq)]
pub enum NodeInput {
    /// Something happened at the edge.
    Edge(EdgeInput),
    /// Something happened at the gate.
    Gate(GateInput),
    /// The platform's service was read.
    Platform(PlatformReading),
    /// An operator asks something.
    #[from(skip)]
    Operator {
        /// The number of the request, repeated in the reply.
        request: RequestNumber,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// A message of another node arrived; its frame was checked.
    #[from(skip)]
    Message {
        /// The sender.
        from: NodeId,
        /// The configuration revision that the sender has in force.
        revision: Revision,
        /// The message.
        payload: Payload,
    },
    /// The node is to stop.
    #[from(skip)]
    Stop {
        /// The longest time to wait for running calls.
        grace: Duration,
    },
    /// Time has passed.
    #[from(skip)]
    Tick,
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    /// Something the edge wants done.
    Edge(EdgeOutput),
    /// Something the gate wants done.
    Gate(GateOutput),
    /// Send a message to another node.
    Send {
        /// Its peer address.
        to: NodeAddress,
        /// The run of the node that is meant; any run if absent.
        incarnation: Option<Incarnation>,
        /// The message.
        payload: Payload,
    },
    /// Answer an operator.
    Operator {
        /// The number of the request.
        request: RequestNumber,
        /// The reply.
        reply: Box<OperatorReply>,
    },
    /// A change of state worth a log line.
    Event(NodeEvent),
    /// The node takes calls from now on.
    Ready,
    /// After a stop: nothing is left to finish, or the grace has passed.
    ReadyToExit,
}

/// Changes of state, for logs.
#[derive(Clone, Debug, Display, From, PartialEq)]
pub enum NodeEvent {
    /// Of configuration, groups, tables and plans.
    #[display("{_0}")]
    Control(ControlEvent),
    /// Of another member.
    #[display("member {node} is {status}")]
    #[from(skip)]
    Member {
        /// The member.
        node: NodeId,
        /// What became of it.
        status: MemberStatus,
    },
    /// An authenticated message could not be decoded: another release, or a fault of the sender.
    #[display("a {kind} message of {sender} could not be decoded")]
    #[from(skip)]
    Undecodable {
        /// The protocol.
        kind: PayloadKind,
        /// The sender.
        sender: NodeId,
    },
}
