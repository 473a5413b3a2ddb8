//! Updates of a replica: the changes between two positions of the store, or all of its contents.

use std::sync::Arc;

use crate::configuration::Configuration;
use crate::targets::{Registration, TargetId};

/// The state of the store that a view of it has reached; the default is before any state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Increases whenever the store is restored from a backup.
    pub era: u64,
    /// Increases with each change within an era.
    pub revision: u64,
}

impl Position {
    /// Whether any state of the store is known.
    pub fn is_known(self) -> bool {
        self != Position::default()
    }
}

/// What a replica holds: the position that it has reached, and the version of its configuration.
///
/// The configuration may be newer than the one that the store contained at that position, if a restore has lost it. So
/// nodes replicate it by its version too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaState {
    /// The position.
    pub position: Position,
    /// The version of the configuration; 0 if there is none.
    pub version: u64,
}

impl ReplicaState {
    /// Whether it is ahead of `other` in its position or in its configuration.
    pub fn is_ahead_of(self, other: ReplicaState) -> bool {
        self.position > other.position || self.version > other.version
    }

    /// The later position and the newer version of the two.
    pub fn merge(self, other: ReplicaState) -> ReplicaState {
        ReplicaState { position: self.position.max(other.position), version: self.version.max(other.version) }
    }
}

/// A change of one entry of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration was written.
    Configuration(Arc<Configuration>),
    /// A configuration was written that can't be used; its errors.
    UnusableConfiguration(Vec<String>),
    /// A target's registration was written.
    Target(TargetId, Registration),
    /// A registration was written that can't be used, and why.
    UnusableTarget(TargetId, String),
    /// A target's registration was removed.
    TargetRemoved(TargetId),
}

impl Change {
    /// The identity of the target concerned, if any.
    pub(super) fn target(&self) -> Option<&TargetId> {
        match self {
            Change::Target(id, _) | Change::UnusableTarget(id, _) | Change::TargetRemoved(id) => Some(id),
            Change::Configuration(_) | Change::UnusableConfiguration(_) => None,
        }
    }
}

/// A change with its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisedChange {
    /// The revision.
    pub revision: u64,
    /// The change.
    pub change: Change,
}

/// The part of the store that an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Everything: entries that the update does not contain no longer exist.
    Full,
    /// The changes after a position.
    After(Position),
}

/// An update of a replica, from the store or from another node's replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The part of the store that it covers.
    pub scope: UpdateScope,
    /// The position of a replica to which it was applied.
    pub position: Position,
    /// The changes in their order.
    pub changes: Vec<RevisedChange>,
}

/// The effect of an update on a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedUpdate {
    /// The changes that are new to the replica, in order.
    pub changes: Vec<Change>,
    /// Whether the store was restored from a backup.
    pub is_new_era: bool,
}

/// Why an update can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// Its position is before that of the replica.
    Outdated,
    /// The changes between the replica's position and the start of the update are missing, or the two are of different
    /// eras.
    Gap,
}
