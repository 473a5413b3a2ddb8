//! A node's replica of the platform's store, and the differences between two positions of it.
//!
//! Few nodes read the store; the others get what has changed from them. So each node keeps, besides the list of targets that it
//! works with, what the store holds: with the revision of each entry, and of those that are gone for a while. From that it tells
//! another node what has changed since that one's position, or everything.
//!
//! The store may come back from an older copy. It then has a higher era, and revisions start again from an earlier one. A
//! position of a later era goes before any of an earlier one, and differences are only told within an era.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use quillhatch_types::Timestamp;

use crate::configuration::Configuration;
use crate::targets::{Registration, TargetId};

/// The entries that are gone and remembered. A node that is further behind gets everything.
const MOST_GONE: usize = 2048;

/// How far a view of the store reaches; the default is before everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Rises whenever the store comes back from an older copy.
    pub era: u64,
    /// Rises with each change within an era.
    pub revision: u64,
}

impl Position {
    /// Whether anything of the store is known.
    pub fn is_known(self) -> bool {
        self != Position::default()
    }
}

/// One thing that lies in the store, or no longer does.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// A configuration that can't be used, and all that is wrong with it.
    UnusableConfiguration(Vec<String>),
    /// A target's registration.
    Target(TargetId, Registration),
    /// An entry among those of targets that names no target to use, and why.
    UnusableTarget(TargetId, String),
    /// A target that is registered no longer.
    TargetRemoved(TargetId),
}

impl Change {
    /// The identity of the target that the change is about.
    fn target(&self) -> Option<&TargetId> {
        match self {
            Change::Target(id, _) | Change::UnusableTarget(id, _) | Change::TargetRemoved(id) => Some(id),
            Change::Configuration(_) | Change::UnusableConfiguration(_) => None,
        }
    }
}

/// A change, and the revision that it made.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisedChange {
    /// The revision.
    pub revision: u64,
    /// What changed.
    pub change: Change,
}

/// What an answer covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Everything: what it does not name is gone.
    Full,
    /// The changes after a position.
    After(Position),
}

/// What the store, or another node's replica, has told.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// What it covers.
    pub scope: UpdateScope,
    /// The position that it leads to.
    pub position: Position,
    /// The changes in their order.
    pub changes: Vec<RevisedChange>,
}

/// What a replica has learnt of an update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedUpdate {
    /// The changes that are new, in order.
    pub changes: Vec<Change>,
    /// Whether the store has come back from an older copy.
    pub is_new_era: bool,
}

/// An update that can't be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// It does not lead as far as the replica stands, or is of an earlier era.
    Outdated,
    /// Changes between the replica's position and its beginning are missing.
    Gap,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    registration: Registration,
    cold_until: Timestamp,
}

#[derive(Clone, Debug)]
struct Gone {
    revision: u64,
    id: TargetId,
    last: (u64, u64),
}

/// What the store holds, as far as a node knows it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    position: Position,
    entries: HashMap<TargetId, Entry>,
    gone: VecDeque<Gone>,
    /// Entries that went up to this revision may have been forgotten.
    forgotten: u64,
    configuration: Option<(u64, Arc<Configuration>)>,
}

impl Replica {
    /// How far it reaches.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The targets that it lists.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.entries.keys()
    }

    /// The number of targets that it lists.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it lists no target.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an update over.
    ///
    /// # Errors
    ///
    /// Returns why nothing of it was taken.
    pub fn apply(&mut self, update: Update, now: Timestamp) -> Result<AppliedUpdate, UpdateError> {
        if update.position < self.position {
            return Err(UpdateError::Outdated);
        }
        if update.position == self.position && self.position.is_known() {
            return Ok(AppliedUpdate::default());
        }
        match update.scope {
            UpdateScope::Full => Ok(self.take_whole(update, now)),
            UpdateScope::After(from) if from.era != self.position.era || update.position.era != from.era => {
                Err(UpdateError::Gap)
            }
            UpdateScope::After(from) if from.revision > self.position.revision => Err(UpdateError::Gap),
            UpdateScope::After(_) => {
                let changes = self.take_changes(update.changes, false, now);
                self.position = update.position;
                Ok(AppliedUpdate { changes, is_new_era: false })
            }
        }
    }

    fn take_whole(&mut self, update: Update, now: Timestamp) -> AppliedUpdate {
        let is_new_era = self.position.is_known() && update.position.era > self.position.era;
        let revision = update.position.revision;
        if is_new_era || !self.position.is_known() {
            // What went before is known only as far as the update names it.
            self.forgotten = revision;
        }
        if is_new_era {
            // Revisions of the former era say nothing in this one.
            self.entries.values_mut().for_each(|entry| entry.revision = 0);
            self.gone.iter_mut().for_each(|gone| gone.revision = revision);
            self.configuration.iter_mut().for_each(|(former, _)| *former = revision);
        }
        let named: HashSet<TargetId> = update
            .changes
            .iter()
            .filter(|revised| !matches!(revised.change, Change::TargetRemoved(_)))
            .filter_map(|revised| revised.change.target().cloned())
            .collect();
        let mut changes = self.take_changes(update.changes, is_new_era, now);
        let mut missing: Vec<TargetId> = self.entries.keys().filter(|id| !named.contains(*id)).cloned().collect();
        missing.sort_unstable();
        for id in missing {
            self.remove(&id, revision);
            changes.push(Change::TargetRemoved(id));
        }
        self.position = update.position;
        AppliedUpdate { changes, is_new_era }
    }

    fn take_changes(&mut self, revised: Vec<RevisedChange>, is_new_era: bool, now: Timestamp) -> Vec<Change> {
        let mut taken = Vec::with_capacity(revised.len());
        for RevisedChange { revision, change } in revised {
            if self.take_change(revision, &change, is_new_era, now) {
                taken.push(change);
            }
        }
        taken
    }

    /// Says whether the change is new.
    fn take_change(&mut self, revision: u64, change: &Change, is_new_era: bool, now: Timestamp) -> bool {
        match change {
            Change::Configuration(offered) => {
                let known = self.configuration.as_ref().map_or(0, |(_, known)| known.version);
                let is_newer = offered.version > known;
                if is_newer {
                    self.configuration = Some((revision, Arc::clone(offered)));
                }
                is_newer
            }
            Change::UnusableConfiguration(_) => true,
            Change::Target(id, registration) => self.register(id, revision, registration, is_new_era, now),
            Change::UnusableTarget(id, _) => {
                self.remove_before(id, revision);
                true
            }
            Change::TargetRemoved(id) => self.remove_before(id, revision),
        }
    }

    fn register(
        &mut self,
        id: &TargetId,
        revision: u64,
        registration: &Registration,
        is_new_era: bool,
        now: Timestamp,
    ) -> bool {
        let written = registration.write_order();
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.revision >= revision {
                return false;
            }
            if written < entry.registration.write_order() {
                // A late write of an earlier life, or an older copy of the store: what is known goes before it.
                entry.revision = revision;
                return false;
            }
            let is_same =
                Registration { cold_for: registration.cold_for, ..entry.registration.clone() } == *registration;
            if is_same {
                entry.revision = revision;
                return false;
            }
        }
        let left = self.gone.iter().rev().find(|gone| gone.id == *id);
        if left.is_some_and(|left| written < left.last || (is_new_era && written == left.last)) {
            return false;
        }
        self.gone.retain(|gone| gone.id != *id);
        let cold_until = now + registration.cold_for;
        let entry = Entry { revision, registration: registration.clone(), cold_until };
        self.entries.insert(id.clone(), entry);
        true
    }

    fn remove_before(&mut self, id: &TargetId, revision: u64) -> bool {
        if self.entries.get(id).is_none_or(|entry| entry.revision >= revision) {
            return false;
        }
        self.remove(id, revision);
        true
    }

    fn remove(&mut self, id: &TargetId, revision: u64) {
        let Some(entry) = self.entries.remove(id) else { return };
        self.gone.push_back(Gone { revision, id: id.clone(), last: entry.registration.write_order() });
        if self.gone.len() > MOST_GONE {
            let oldest = self.gone.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |gone| self.forgotten.max(gone.revision));
        }
    }

    /// What has changed since `from`; everything if not all of that is known. `None` if there is nothing new.
    pub fn update_since(&self, from: Position, now: Timestamp) -> Option<Update> {
        if from >= self.position {
            return None;
        }
        let is_difference = from.is_known() && from.era == self.position.era && from.revision >= self.forgotten;
        let extent = if is_difference { UpdateScope::After(from) } else { UpdateScope::Full };
        let after = if is_difference { from.revision } else { 0 };
        let mut changes: Vec<RevisedChange> = Vec::new();
        for (id, entry) in &self.entries {
            if is_difference && entry.revision <= after {
                continue;
            }
            let registration = Registration { cold_for: now.until(entry.cold_until), ..entry.registration.clone() };
            changes.push(RevisedChange { revision: entry.revision, change: Change::Target(id.clone(), registration) });
        }
        for gone in &self.gone {
            if is_difference && gone.revision > after {
                changes.push(RevisedChange { revision: gone.revision, change: Change::TargetRemoved(gone.id.clone()) });
            }
        }
        if let Some((revision, configuration)) = &self.configuration {
            if !is_difference || *revision > after {
                let change = Change::Configuration(Arc::clone(configuration));
                changes.push(RevisedChange { revision: *revision, change });
            }
        }
        changes.sort_by_cached_key(|revised| (revised.revision, revised.change.target().cloned()));
        Some(Update { scope: extent, position: self.position, changes })
    }
}
