//! Inputs and outputs of a control node.
//!
//! The driver (the program or the simulation) turns frames, platform readings and operator requests into
//! [`ControlInput`] and carries out each [`ControlOutput`]. Everything else in this crate is reached through them.

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

/// The driver's number of an operator request; its reply carries the same number.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// Which group a group message belongs to: the payload of a frame of kind `GROUP`.
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

/// What one node's control part says to another's.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlPayload {
    /// The payload of a frame of kind `CONTROL`.
    Control(Box<ControlMessage>),
    /// The payload of a frame of kind `GROUP`.
    Group(Box<GroupFrame>),
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipient {
    /// One run of a node; another run at the address must not take it.
    #[display("{_0}")]
    Run(NodeId),
    /// Whatever runs at the address (an envelope with receiver incarnation zero).
    #[display("{_0}")]
    Address(NodeAddress),
}

impl Recipient {
    /// Where the message goes.
    pub fn address(self) -> NodeAddress {
        match self {
            Recipient::Run(node) => node.address,
            Recipient::Address(address) => address,
        }
    }
}

/// Whether the platform lists a machine as live.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineStatus {
    /// In use.
    #[display("live")]
    Live,
    /// About to be taken away.
    #[display("leaving")]
    Leaving,
}

/// One entry of the platform's lagging list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The peer address of the machine's node.
    pub address: NodeAddress,
    /// What the platform says of it.
    pub status: MachineStatus,
}

/// What a reading of the platform's service gave; parts that could not be read are absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformReading {
    /// The checked configuration document; an invalid one is refused by the reader and never gets here.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of machines; empty if it could not be read.
    pub machines: Vec<Machine>,
}

/// What membership says of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Did not answer; may still refute.
    #[display("suspected")]
    Suspected,
    /// Did not refute in time.
    #[display("failed")]
    Failed,
    /// Said that it leaves.
    #[display("left")]
    Left,
}

/// A change that membership has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The node and its run.
    pub node: NodeId,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// The service of its gate, if it has one.
    pub service: Option<ServiceName>,
    /// What became of it.
    pub status: MemberStatus,
}

/// What the local gate measured since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running at the back end.
    pub running: u32,
    /// The gate's measured concurrency limit.
    pub limit: u32,
    /// Calls completed per second.
    pub completions_per_second: f64,
    /// Protected calls refused since the last report.
    pub protected_refusals: u32,
}

/// One claim, encoded by the claims crate; control only carries it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EncodedClaim(pub Vec<u8>);

/// What can happen to a control node.
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
    /// A frame of any kind, or an answer, told a peer's configuration revision.
    PeerRevision {
        /// The peer.
        from: NodeId,
        /// Its revision in force.
        revision: Revision,
    },
    /// The platform's service was read.
    Platform(PlatformReading),
    /// An operator asks something of this node.
    Operator {
        /// The number of the request, repeated in the reply.
        request: RequestNumber,
        /// The request.
        body: Box<OperatorRequest>,
    },
    /// The local gate measured its load; wanted about once a second.
    Load(LoadReport),
    /// The local claim owner has recorded the claims of a slot of another site; it opens when the table says so.
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
        /// All its claims.
        claims: Vec<EncodedClaim>,
    },
    /// The local claim owner has recorded its claims on a majority of the voters of the table at `epoch`.
    VotersSettled {
        /// The service.
        service: ServiceName,
        /// The epoch of the table.
        epoch: Epoch,
    },
    /// Membership saw a change.
    Member(MemberChange),
    /// The edge needs a table that it does not hold, or a newer one.
    FetchTable {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
    },
    /// The node is to stop: it hands its slots on, finishes what runs, and exits after `grace` at the latest.
    Stop {
        /// The longest time to wait for running calls.
        grace: Duration,
    },
    /// The last attempt of the closed gate ended.
    GateIdle,
    /// Time has passed.
    Tick,
}

/// What a control node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlOutput {
    /// Send a frame.
    Send {
        /// To whom.
        to: Recipient,
        /// What.
        payload: ControlPayload,
    },
    /// Answer an operator. Each request gets exactly one reply.
    Operator {
        /// The number of the request.
        request: RequestNumber,
        /// The reply.
        reply: Box<OperatorReply>,
    },
    /// Hand a newer table to the local edge, and to gate, claim owner and voter if it is of the local site.
    Table(Arc<ServiceTable>),
    /// Hand the configuration in force, with retry limits changed by plans, to all local parts.
    ///
    /// It may come again under the same revision when a plan changed retry limits.
    Configuration(Arc<Configuration>),
    /// The local gate may act as the owner of its slots until then.
    Lease {
        /// The service.
        service: ServiceName,
        /// The end on the local monotonic clock.
        until: Timestamp,
    },
    /// The local gate must refuse new attempts.
    CloseGate {
        /// What refused attempts are told.
        reason: RefusalReason,
    },
    /// The local gate may take attempts.
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
    /// Have the local claim owner take a slot over with the claims of another site; answered by
    /// [`ControlInput::SlotImported`] once they are recorded on a majority of the voters under `epoch`. The slot
    /// opens when the table names this node its owner at `epoch`.
    ImportSlot {
        /// The service.
        service: ServiceName,
        /// The slot.
        slot: SlotId,
        /// The epoch under which the slot opens here.
        epoch: Epoch,
        /// The claims of the other site.
        claims: Vec<EncodedClaim>,
    },
    /// The node has asked a majority of its peers and may take calls.
    Ready,
    /// After a stop: nothing is left to finish, or the grace has passed.
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
        /// Its revision.
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
        /// Its deployment.
        offered: String,
    },
    /// This node began or ceased to lead a group.
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
        /// What it does now, in words.
        state: String,
    },
    /// The table of a service changed.
    #[display("table of {service} at {site} has epoch {epoch}")]
    TableChanged {
        /// The service.
        service: ServiceName,
        /// The site.
        site: SiteName,
        /// Its epoch.
        epoch: Epoch,
    },
}
