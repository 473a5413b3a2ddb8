//! What control nodes say to each other.
//!
//! Messages about a service's group go to any member of it; one that only the leader can act on is answered with
//! [`GroupBody::NotLeader`]. Every request may be lost or doubled: askers ask again, and each receiver acts once.

mod decode;
mod encode;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    Configuration, Epoch, Generation, NodeAddress, NodeId, PlanId, Revision, ServiceName, ServiceTable, SiteName,
    SlotId, Timestamp, ZoneName,
};

use crate::io::{EncodedClaim, LoadReport};
use crate::operator::{OperatorReply, OperatorRequest};
use crate::state::RetryLimits;

/// Largest sum of the sizes of the claims in one page, in bytes; keeps a frame far below its bound.
pub const MAXIMUM_PAGE_BYTES: usize = 48 * 1024;

/// Largest number of pages of one slot's claims.
pub const MAXIMUM_PAGES: u32 = 4_096;

/// The content of a configuration, as far as the receiver lacks it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationContent {
    /// The receiver is not behind.
    Nothing,
    /// All of it.
    Whole(Arc<Configuration>),
    /// What changed since `base`.
    Difference {
        /// The revision that the receiver has.
        base: Revision,
        /// The new configuration with only the services that changed.
        changed: Arc<Configuration>,
        /// The services that are gone.
        removed: Vec<ServiceName>,
    },
}

/// A message from one control node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlMessage {
    /// Asks for what the sender's configuration lacks; always answered.
    AskConfiguration {
        /// In force at the sender, zero if none.
        revision: Revision,
    },
    /// The answer.
    OfferConfiguration {
        /// In force at the sender, zero if none.
        revision: Revision,
        /// What the receiver lacks, or a page of it: each page has some of the services.
        content: ConfigurationContent,
        /// The number of the page, from zero.
        page: u32,
        /// The number of pages, at least one.
        pages: u32,
    },
    /// A message about a service's group at a site.
    Group {
        /// The service.
        service: ServiceName,
        /// The site of the group that is asked or that answers.
        site: SiteName,
        /// What is said.
        body: GroupBody,
    },
}

/// A page of the claims of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotClaims {
    /// The slot.
    pub slot: SlotId,
    /// The epoch of the seal, or under which to open.
    pub epoch: Epoch,
    /// The number of the page, from zero.
    pub page: u32,
    /// The number of pages, at least one.
    pub pages: u32,
    /// The claims of this page.
    pub claims: Vec<EncodedClaim>,
}

/// A gate's sign of life to the leader of its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Rises with every heartbeat of the sender.
    pub sequence: u64,
    /// The zone of the gate.
    pub zone: ZoneName,
    /// Connections that its back end accepts.
    pub connections: u32,
    /// Whether the gate wants to drain.
    pub leaving: bool,
    /// Whether the gate is closed and nothing runs.
    pub idle: bool,
    /// What the gate measured.
    pub load: LoadReport,
}

/// How ready a site is to take slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Readiness {
    /// When the asker asked, on its own clock.
    pub asked: Timestamp,
    /// The epoch of its table.
    pub epoch: Epoch,
    /// Gates that take calls.
    pub serving: u32,
    /// Protected calls refused lately at its gates.
    pub protected_refusals: u32,
    /// A plan of the same service that is active there.
    pub plan: Option<PlanId>,
    /// Whether that plan has begun its first step and still goes on.
    pub started: bool,
    /// What its gates measured.
    pub loads: Vec<(NodeAddress, LoadReport)>,
}

/// What became of an offered slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// This many pages are held; the next one is wanted.
    Held {
        /// The number of pages held from the first on.
        pages: u32,
    },
    /// The slot is open at the new site.
    Accepted {
        /// Under this epoch.
        epoch: Epoch,
    },
    /// Agreed at the new site: the offer was not accepted and never will be.
    Refused,
}

/// What is said about a group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupBody {
    /// Asks for the table, if it is newer than the one known.
    AskTable {
        /// The generation known, zero if none.
        generation: Generation,
        /// The epoch known, zero if none.
        epoch: Epoch,
    },
    /// The table and the retry limits changed by plans.
    Table {
        /// The table.
        table: Arc<ServiceTable>,
        /// The limits.
        retries: Vec<RetryLimits>,
    },
    /// A gate's sign of life.
    Heartbeat(Heartbeat),
    /// The leader's answer to it.
    HeartbeatAnswer {
        /// Of the heartbeat.
        sequence: u64,
        /// How long the gate may act as an owner, from the moment that it sent the heartbeat.
        lease: Duration,
        /// The generation of the table.
        generation: Generation,
        /// The epoch of the table.
        epoch: Epoch,
    },
    /// The sender does not lead the group.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// A gate has recorded the claims of an imported slot.
    SlotImported {
        /// The slot.
        slot: SlotId,
        /// Under this epoch.
        epoch: Epoch,
    },
    /// A gate has recorded its claims on a majority of the voters.
    VotersSettled {
        /// The epoch of the table with these voters.
        epoch: Epoch,
    },
    /// The leader knows of it.
    SettledKnown {
        /// The epoch reported.
        epoch: Epoch,
    },
    /// The leader has a gate collect the claims of a sealed slot.
    Export {
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        epoch: Epoch,
    },
    /// The claims collected.
    Exported(SlotClaims),
    /// The leader has a gate take a slot over with these claims.
    Import(SlotClaims),
    /// Asks whether the site can take slots.
    Probe {
        /// The asking site.
        from: SiteName,
        /// The asker's clock, given back with the answer.
        asked: Timestamp,
    },
    /// The answer.
    ProbeAnswer(Readiness),
    /// Offers a sealed slot with its claims.
    Offer {
        /// The offering site.
        from: SiteName,
        /// The claims and the epoch of the seal.
        claims: SlotClaims,
    },
    /// Asks for a proof that an offer was not accepted.
    Withdraw {
        /// The site that sealed.
        from: SiteName,
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        seal_epoch: Epoch,
    },
    /// The answer to an offer or a withdrawal.
    OfferAnswer {
        /// The slot.
        slot: SlotId,
        /// The epoch of the seal.
        seal_epoch: Epoch,
        /// What became of it.
        outcome: OfferOutcome,
    },
    /// Asks for slots back that were moved before.
    ReturnSlots {
        /// The asking site.
        to: SiteName,
        /// The slots, each with the epoch of the seal under which it was moved.
        slots: Vec<(SlotId, Epoch)>,
    },
    /// Changes the retry limits of a class at this site.
    SetRetries {
        /// The plan that wants it.
        plan: PlanId,
        /// The limits.
        limits: RetryLimits,
    },
    /// Agreed.
    SetRetriesAnswer {
        /// The plan.
        plan: PlanId,
        /// The limits in force there.
        limits: RetryLimits,
    },
    /// An operator's request, handed on to the group that it concerns.
    Request {
        /// The sender's number of it.
        number: u64,
        /// The request.
        request: Box<OperatorRequest>,
    },
    /// The reply to it.
    Reply {
        /// The number of the request.
        number: u64,
        /// The reply.
        reply: Box<OperatorReply>,
    },
}
