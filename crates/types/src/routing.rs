//! The routing table that a service's group at one site agrees on and that edges use to route calls.

use serde::{Deserialize, Serialize};

use crate::identity::{Epoch, Generation, NodeId, SlotId};
use crate::names::{ServiceName, SiteName, ZoneName};

/// Whether a gate accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GateStatus {
    /// Accepts new calls.
    Serving,
    /// Finishes running calls and accepts no new ones.
    Draining,
}

/// One gate of a service, with its back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GateEntry {
    /// The node of the gate.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it accepts calls.
    pub status: GateStatus,
    /// Connections that the back end accepts.
    pub connections: u32,
}

/// The owner of a slot, which runs the slot's non-repeatable calls, as one site's group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum SlotState {
    /// A gate of this site owns the slot.
    Owned {
        /// The owner.
        owner: NodeId,
    },
    /// No gate runs the slot's non-repeatable calls while its claims are transferred to `destination`.
    Sealed {
        /// The site that takes over.
        destination: SiteName,
    },
    /// Another site owns the slot.
    Elsewhere {
        /// The owning site.
        site: SiteName,
    },
    /// The slot belongs to this site and currently has no owner.
    Vacant,
}

/// The state of one slot and the epoch at which it was set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotAssignment {
    /// The slot.
    pub slot: SlotId,
    /// The epoch of the assignment; the higher one wins, also between sites.
    pub epoch: Epoch,
    /// The owner of the slot, or its state while it has none.
    pub state: SlotState,
}

/// The routing table of one service at one site.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTable {
    /// The service.
    pub service: ServiceName,
    /// The site whose group agreed on the table.
    pub site: SiteName,
    /// How often the group was formed.
    pub generation: Generation,
    /// The highest epoch in the table; it increases with every change of the table.
    pub epoch: Epoch,
    /// All slots, in ascending order.
    pub slots: Vec<SlotAssignment>,
    /// The gates of the service at the site.
    pub gates: Vec<GateEntry>,
    /// The voters on which claims are recorded.
    pub voters: Vec<NodeId>,
    /// The voters before the last change, until every owner has recorded its claims on a majority of `voters`.
    ///
    /// While not empty, a takeover must collect claims from a majority of both sets.
    pub previous_voters: Vec<NodeId>,
    /// Whether claims were lost and keyed calls are refused until retention has passed or the loss is accepted.
    pub claims_lost: bool,
}

impl ServiceTable {
    /// The assignment of `slot`, if the table has it.
    pub fn slot(&self, slot: SlotId) -> Option<&SlotAssignment> {
        self.slots.get(usize::from(slot.0)).filter(|assignment| assignment.slot == slot)
    }

    /// Whether this table replaces `other`, a table of the same service and site.
    pub fn supersedes(&self, other: &ServiceTable) -> bool {
        (self.generation, self.epoch) > (other.generation, other.epoch)
    }
}
