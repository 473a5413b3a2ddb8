//! The table that a service's group at one site agrees on and that edges route by.

use serde::{Deserialize, Serialize};

use crate::identity::{Epoch, Generation, NodeId, SlotId};
use crate::names::{ServiceName, SiteName, ZoneName};

/// Whether a gate takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GateStatus {
    /// Takes new calls.
    Serving,
    /// Finishes what runs and takes no new call.
    Draining,
}

/// One gate of a service, with its back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GateEntry {
    /// The node of the gate.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it takes calls.
    pub status: GateStatus,
    /// Connections that the back end accepts.
    pub connections: u32,
}

/// Who runs the non-repeatable calls of a slot, as one site's group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum SlotState {
    /// A gate of this site owns the slot.
    Owned {
        /// The owner.
        owner: NodeId,
    },
    /// Nobody runs the slot's non-repeatable calls: its claims are on the way to `destination`.
    Sealed {
        /// The site that takes over.
        destination: SiteName,
    },
    /// Another site owns the slot.
    Elsewhere {
        /// The owning site.
        site: SiteName,
    },
    /// The slot belongs to this site and has no owner at present.
    Vacant,
}

/// The state of one slot and the epoch at which it was set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotAssignment {
    /// The slot.
    pub slot: SlotId,
    /// The epoch of the assignment; the higher one wins, also between sites.
    pub epoch: Epoch,
    /// Who has it.
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
    /// The highest epoch in the table; rises with every change of it.
    pub epoch: Epoch,
    /// All slots, by ascending slot number.
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
