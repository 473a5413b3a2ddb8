//! Inputs and outputs of a control node.
//!
//! The driver (the program or the simulation) turns frames, platform readings and operator requests into
//! [`ControlInput`] and executes each [`ControlOutput`].

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use quillhatch_group::GroupMessage;
use quillhatch_types::{
    Configuration, Epoch, NodeAddress, NodeId, PlanId, RefusalReason, Revision, ServiceName, ServiceTable, SiteName,
    SlotId, Timestamp, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::message::ControlMessage;
use crate::operator::{OperatorReply, OperatorRequest};

/// A number that the driver assigns to an operator request; the reply has the same number.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// A group message with the group that it belongs to: the payload of a frame of kind `GROUP`.
///
/// A node is only ever a member of groups of its own site.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupFrame {
    /// The service of the group.
    pub service: ServiceName,
    /// The site of the group.
    pub site: SiteName,
    /// The message between two members.
    pub message: GroupMessage,
}

/// A message between the control parts of two nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlPayload {
    /// The payload of a frame of kind `CONTROL`.
    Control(Box<ControlMessage>),
    /// The payload of a frame of kind `GROUP`.
    Group(Box<GroupFrame>),
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipient {
    /// One incarnation of a node; another incarnation at the same address must not accept the message.
    #[display("{_0}")]
    Run(NodeId),
    /// Any incarnation at the address (an envelope with receiver incarnation zero).
    #[display("{_0}")]
    Address(NodeAddress),
}

impl Recipient {
    /// The address that the message is sent to.
    pub fn address(self) -> NodeAddress {
        match self {
            Recipient::Run(node) => node.address,
            Recipient::Address(address) => address,
        }
    }
}

/// The status of a machine in the platform's list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineStatus {
    /// The machine is in use.
    #[display("live")]
    Live,
    /// The machine is about to be removed.
    #[display("leaving")]
    Leaving,
}

/// One entry of the platform's list of machines, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The peer address of the machine's node.
    pub address: NodeAddress,
    /// The status that the platform reports.
    pub status: MachineStatus,
}

/// The result of reading the platform's service. Parts that could not be read are absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformReading {
    /// The validated configuration; the driver rejects an invalid one before it reaches the node.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of machines; empty if it could not be read.
    pub machines: Vec<Machine>,
}

/// The status of a node according to the membership protocol.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// The node answers probes.
    #[display("alive")]
    Alive,
    /// The node did not answer a probe but may still refute the suspicion.
    #[display("suspected")]
    Suspected,
    /// The node did not refute the suspicion in time.
    #[display("failed")]
    Failed,
    /// The node announced that it leaves.
    #[display("left")]
    Left,
}

/// A status change that membership observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The address and incarnation of the node.
    pub node: NodeId,
    /// The site of the node.
    pub site: SiteName,
    /// The zone of the node.
    pub zone: ZoneName,
    /// The service of its gate, if it has one.
    pub service: Option<ServiceName>,
    /// The new status of the node.
    pub status: MemberStatus,
}

/// Load measurements of the local gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of calls running at the back end.
    pub running: u32,
    /// The gate's measured concurrency limit.
    pub limit: u32,
    /// The rate of completed calls, per second.
    pub completions_per_second: f64,
    /// The number of protected calls refused since the last report.
    pub protected_refusals: u32,
}

/// One claim, encoded by the claims crate and opaque to this crate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EncodedClaim(pub Vec<u8>);

/// An input of a control node.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlInput {
    /// A frame of kind `CONTROL` arrived.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Box<ControlMessage>,
    },
    /// A frame of kind `GROUP` arrived.
    Group {
        /// The sender.
        from: NodeId,
        /// The message and its group.
        frame: Box<GroupFrame>,
    },
    /// A frame of any kind, or an answer, contained a peer's configuration revision.
    PeerRevision {
        /// The peer.
        from: NodeId,
        /// The revision in force at the peer.
        revision: Revision,
    },
    /// The platform's service was read.
    Platform(PlatformReading),
    /// An operator sent a request to this node.
    Operator {
        /// The number of the request, repeated in the reply.
        request: RequestNumber,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// The local gate measured its load. The driver should report it about once a second.
    Load(LoadReport),
    /// The local claim owner has recorded the claims of a slot of another site; the slot
    /// opens when the table names this node as its owner.
    SlotImported {
        /// The service.
        service: ServiceName,
        /// The slot.
        slot: SlotId,
        /// The epoch of the import.
        epoch: Epoch,
    },
    /// The local claim owner has collected the claims of a sealed slot.
    SlotExported {
        /// The service.
        service: ServiceName,
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        epoch: Epoch,
        /// All claims of the slot.
        claims: Vec<EncodedClaim>,
    },
    /// The local claim owner has recorded its claims on a majority of the voters of the table at `epoch`.
    VotersSettled {
        /// The service.
        service: ServiceName,
        /// The epoch of the table.
        epoch: Epoch,
    },
    /// Membership observed a status change.
    Member(MemberChange),
    /// The local edge needs a table that it does not have, or a newer one.
    FetchTable {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
    },
    /// The node must stop: its slots are reassigned, running calls finish, and it exits after `grace` at the latest.
    Stop {
        /// The maximum time to wait for running calls.
        grace: Duration,
    },
    /// The last running attempt of the closed gate has ended.
    GateIdle,
    /// Time has passed.
    Tick,
}

/// An action that the driver executes for a control node.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlOutput {
    /// Send a frame.
    Send {
        /// The recipient.
        to: Recipient,
        /// The message to send.
        payload: ControlPayload,
    },
    /// Reply to an operator. Each request gets exactly one reply.
    Operator {
        /// The number of the request.
        request: RequestNumber,
        /// The reply.
        reply: Box<OperatorReply>,
    },
    /// Pass a newer table to the local edge and, if it belongs to the local site, to the gate, claim owner and voter.
    Table(Arc<ServiceTable>),
    /// Pass the configuration in force, with the retry limits that plans have set, to all local parts.
    ///
    /// The same revision is passed again when a plan has changed retry limits.
    Configuration(Arc<Configuration>),
    /// The local gate may act as the owner of its slots until the given time.
    Lease {
        /// The service.
        service: ServiceName,
        /// The end of the lease on the local monotonic clock.
        until: Timestamp,
    },
    /// The local gate must refuse new attempts.
    CloseGate {
        /// The reason that refused attempts receive.
        reason: RefusalReason,
    },
    /// The local gate may accept attempts.
    OpenGate,
    /// Have the local claim owner collect the claims of a sealed slot; answered by [`ControlInput::SlotExported`].
    ExportSlot {
        /// The service.
        service: ServiceName,
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        epoch: Epoch,
    },
    /// Have the local claim owner import a slot with the claims of another site; answered by
    /// [`ControlInput::SlotImported`] once they are recorded on a majority of the voters under `epoch`. The slot
    /// opens when the table names this node its owner at `epoch`.
    ImportSlot {
        /// The service.
        service: ServiceName,
        /// The slot.
        slot: SlotId,
        /// The epoch at which the slot opens at this site.
        epoch: Epoch,
        /// The claims of the other site.
        claims: Vec<EncodedClaim>,
    },
    /// A majority of the node's peers has answered, so the node may accept calls.
    Ready,
    /// After a stop: no work is left, or the grace period has passed.
    ReadyToExit,
    /// A change of state worth a log line.
    Event(ControlEvent),
}

/// Changes of state, for logs, metrics and `explain`.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum ControlEvent {
    /// A configuration came into force.
    #[display("configuration revision {revision} is in force")]
    ConfigurationAccepted {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// An older configuration was offered and ignored.
    #[display("configuration revision {offered} ignored: revision {in_force} is in force")]
    ConfigurationIgnored {
        /// The revision offered.
        offered: Revision,
        /// The revision in force.
        in_force: Revision,
    },
    /// A configuration of another deployment was offered and refused.
    #[display("configuration of deployment {offered} refused")]
    ForeignConfiguration {
        /// The deployment of the configuration offered.
        offered: String,
    },
    /// This node became the leader of a group or lost the leadership.
    #[display("leader of {service} at {site}: {leading}")]
    Leadership {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
        /// Whether this node leads now.
        leading: bool,
    },
    /// A group was formed.
    #[display("group of {service} at {site} formed; claims lost: {claims_lost}")]
    GroupFormed {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
        /// Whether claims were lost.
        claims_lost: bool,
    },
    /// A plan changed its state.
    #[display("plan {plan} of {service}: {state}")]
    Plan {
        /// The service.
        service: ServiceName,
        /// The plan.
        plan: PlanId,
        /// A description of its new state.
        state: String,
    },
    /// The table of a service changed.
    #[display("table of {service} at {site} has epoch {epoch}")]
    TableChanged {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
        /// The epoch of the table.
        epoch: Epoch,
    },
}
