//! A node of the fleet: its decisions, what is wrong with it, and what it waits for.

use std::net::IpAddr;
use std::time::Duration;

use quillhatch_mesh::feed::{FeedRole, SoloReads, SourceChoice, StoreAccessLoss};
use quillhatch_mesh::replica::{Position, Replica};
use quillhatch_mesh::store_reader::{NextRead, StoreReader};
use quillhatch_types::Timestamp;

/// How the store treats a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    #[default]
    Served,
    Refused,
    Silent,
}

/// What is wrong with a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ailment {
    #[default]
    None,
    /// Its connections are refused.
    Dead,
    /// It stands still, or all its links are cut: connections to it hang.
    Silent,
    /// It answers that it is well and that there is nothing new.
    Lies,
}

/// A question to another node.
pub(super) struct Asking {
    pub(super) peer: usize,
    pub(super) is_before: bool,
    pub(super) sent: Timestamp,
    pub(super) hold: Duration,
    pub(super) from: Position,
}

/// A call of the store.
pub(super) struct Reading {
    pub(super) sent: Timestamp,
    pub(super) wait: Duration,
    pub(super) read: NextRead,
}

/// A node.
pub struct SimNode {
    pub machine: IpAddr,
    pub zone: String,
    pub replica: Replica,
    pub place: FeedRole,
    pub access: Access,
    pub ailment: Ailment,
    pub loss: StoreAccessLoss,
    /// Whether its own last call of the store has failed.
    pub own_call_failed: bool,
    pub read_at: Option<Timestamp>,
    pub(super) choice: SourceChoice,
    pub(super) reader: StoreReader,
    pub(super) asking: Option<Asking>,
    pub(super) reading: Option<Reading>,
    pub(super) ask_after: Timestamp,
    pub(super) read_after: Timestamp,
    pub(super) is_isolated: bool,
    pub(super) is_unproved: bool,
    pub(super) is_answered: bool,
    pub(super) lone_readings: SoloReads,
    pub(super) draw: f64,
    /// When another node was heard of that is ahead, and which.
    pub(super) heard: Option<(Timestamp, usize)>,
    /// Questions that it has answered, and the changes in the answers.
    pub answered: usize,
    pub changes_told: usize,
}

impl SimNode {
    pub fn position(&self) -> Position {
        self.replica.position()
    }

    pub fn is_in_touch(&self) -> bool {
        self.ailment == Ailment::None && self.access == Access::Served
    }
}
