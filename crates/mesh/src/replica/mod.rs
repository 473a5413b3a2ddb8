//! A node's replica of the platform's store, and the differences between two positions of it.
//!
//! Few nodes read the store; the others receive its changes from them. So besides the list of targets that a node works
//! with, it holds the contents of the store with the revision of each entry, and for some time also the entries that
//! were removed. From that it computes what has changed since the position of another node, or sends everything.
//!
//! The revision of an entry is that of the last write of its key, even if this replica holds something newer and the
//! write changed nothing in it. So the changes after a revision cover every key that was written since, and a replica at
//! some position holds at least what the store contained there. What else two replicas at the same position hold may
//! differ: one of them may remember what a restored store has lost.
//!
//! The store may be restored from a backup. Its era is higher then, and its revisions start again from an earlier one.
//! A position of a later era is later than any position of an earlier era, and differences are only computed within an
//! era.

mod update;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use quillhatch_types::Timestamp;

use crate::configuration::Configuration;
use crate::targets::{Registration, TargetId};

pub use update::{AppliedUpdate, Change, Position, ReplicaState, RevisedChange, Update, UpdateError, UpdateScope};

/// The maximum number of removed entries that are remembered. A node that is further behind gets everything.
const MAX_TOMBSTONES: usize = 2048;

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    registration: Registration,
    cold_until: Timestamp,
}

#[derive(Clone, Debug)]
struct Tombstone {
    revision: u64,
    id: TargetId,
    /// The [`Registration::write_order`] of the target's last registration.
    last_write: (u64, u64),
    /// Whether the store contains the target nevertheless: it was restored, or an outdated registration was written.
    is_listed: bool,
}

/// The contents of the store, as far as a node knows them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    position: Position,
    entries: HashMap<TargetId, Entry>,
    tombstones: VecDeque<Tombstone>,
    /// Tombstones up to this revision may have been discarded.
    discarded_revision: u64,
    /// With the revision of its last write.
    configuration: Option<(u64, Arc<Configuration>)>,
}

impl Replica {
    /// The position that it has reached.
    pub fn position(&self) -> Position {
        self.position
    }

    /// What it holds.
    pub fn state(&self) -> ReplicaState {
        let version = self.configuration.as_ref().map_or(0, |(_, known)| known.version);
        ReplicaState { position: self.position, version }
    }

    /// The configuration if it is newer than `version`.
    pub fn configuration_after(&self, version: u64) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|(_, known)| known).filter(|known| known.version > version)
    }

    /// Takes a configuration that another replica holds, at whatever position; returns whether it is a newer version.
    pub fn take_configuration(&mut self, offered: &Arc<Configuration>) -> bool {
        if offered.version <= self.state().version {
            return false;
        }
        self.configuration = Some((self.position.revision, Arc::clone(offered)));
        true
    }

    /// The targets that it contains.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.entries.keys()
    }

    /// The number of targets that it contains.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it contains no target.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies an update.
    ///
    /// # Errors
    ///
    /// Returns why the update was not applied.
    pub fn apply(&mut self, update: Update, now: Timestamp) -> Result<AppliedUpdate, UpdateError> {
        if update.position < self.position {
            return Err(UpdateError::Outdated);
        }
        if update.position == self.position && self.position.is_known() {
            return Ok(AppliedUpdate::default());
        }
        match update.scope {
            UpdateScope::Full => Ok(self.apply_full(update, now)),
            UpdateScope::After(from) if from.era != self.position.era || update.position.era != from.era => {
                Err(UpdateError::Gap)
            }
            UpdateScope::After(from) if from.revision > self.position.revision => Err(UpdateError::Gap),
            UpdateScope::After(_) => {
                let changes = self.apply_changes(update.changes, false, now);
                self.position = update.position;
                Ok(AppliedUpdate { changes, is_new_era: false })
            }
        }
    }

    fn apply_full(&mut self, update: Update, now: Timestamp) -> AppliedUpdate {
        let is_new_era = self.position.is_known() && update.position.era > self.position.era;
        let revision = update.position.revision;
        if is_new_era || !self.position.is_known() {
            // Earlier removals are only known as far as the update contains them.
            self.discarded_revision = revision;
        }
        if is_new_era {
            // Revisions of the previous era have no meaning in this one.
            self.entries.values_mut().for_each(|entry| entry.revision = 0);
            self.tombstones.iter_mut().for_each(|tombstone| tombstone.revision = revision);
            self.configuration.iter_mut().for_each(|(previous, _)| *previous = revision);
        }
        let contained: HashSet<TargetId> = update
            .changes
            .iter()
            .filter(|revised| !matches!(revised.change, Change::TargetRemoved(_)))
            .filter_map(|revised| revised.change.target().cloned())
            .collect();
        let mut changes = self.apply_changes(update.changes, is_new_era, now);
        let mut missing: Vec<TargetId> = self.entries.keys().filter(|id| !contained.contains(*id)).cloned().collect();
        missing.sort_unstable();
        for id in missing {
            self.remove(&id, revision);
            changes.push(Change::TargetRemoved(id));
        }
        for tombstone in &mut self.tombstones {
            if tombstone.is_listed && !contained.contains(&tombstone.id) {
                (tombstone.revision, tombstone.is_listed) = (revision, false);
            }
        }
        self.position = update.position;
        AppliedUpdate { changes, is_new_era }
    }

    fn apply_changes(&mut self, revised: Vec<RevisedChange>, is_new_era: bool, now: Timestamp) -> Vec<Change> {
        let mut applied = Vec::with_capacity(revised.len());
        for RevisedChange { revision, change } in revised {
            if self.apply_change(revision, &change, is_new_era, now) {
                applied.push(change);
            }
        }
        applied
    }

    /// Applies a change; returns whether it is new.
    fn apply_change(&mut self, revision: u64, change: &Change, is_new_era: bool, now: Timestamp) -> bool {
        match change {
            Change::Configuration(written) => self.configure(revision, written, is_new_era),
            Change::UnusableConfiguration(_) => true,
            Change::Target(id, registration) => self.register(id, revision, registration, is_new_era, now),
            Change::UnusableTarget(id, _) => {
                self.remove_before(id, revision);
                true
            }
            Change::TargetRemoved(id) => self.remove_before(id, revision),
        }
    }

    /// Records a write of the configuration; returns whether it replaces the known one. One of the same version does if
    /// it has other contents and was written later, as after a restore that the known one did not survive.
    fn configure(&mut self, revision: u64, written: &Arc<Configuration>, is_new_era: bool) -> bool {
        let Some((known_revision, known)) = &mut self.configuration else {
            self.configuration = Some((revision, Arc::clone(written)));
            return true;
        };
        let is_later = is_new_era || revision > *known_revision;
        let is_rewritten = written.version == known.version && is_later && written.document != known.document;
        let is_newer = written.version > known.version || is_rewritten;
        if is_newer {
            *known = Arc::clone(written);
        }
        *known_revision = revision.max(*known_revision);
        is_newer
    }

    fn register(
        &mut self,
        id: &TargetId,
        revision: u64,
        registration: &Registration,
        is_new_era: bool,
        now: Timestamp,
    ) -> bool {
        let write_order = registration.write_order();
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.revision >= revision {
                return false;
            }
            if write_order < entry.registration.write_order() {
                // A late write from before a restart of the target, or from a backup of the store: the known entry is
                // newer.
                entry.revision = revision;
                return false;
            }
            if entry.registration.has_same_content(registration) {
                entry.revision = revision;
                return false;
            }
        }
        let tombstone = self.tombstones.iter_mut().rev().find(|tombstone| tombstone.id == *id);
        let outlived = tombstone.filter(|tombstone| {
            write_order < tombstone.last_write || (is_new_era && write_order == tombstone.last_write)
        });
        if let Some(tombstone) = outlived {
            (tombstone.revision, tombstone.is_listed) = (revision.max(tombstone.revision), true);
            return false;
        }
        self.tombstones.retain(|tombstone| tombstone.id != *id);
        let cold_until = now + registration.cold_for;
        let entry = Entry { revision, registration: registration.clone(), cold_until };
        self.entries.insert(id.clone(), entry);
        true
    }

    /// Records that the entry of `id` was removed; returns whether this replica held an earlier one.
    fn remove_before(&mut self, id: &TargetId, revision: u64) -> bool {
        match self.entries.get(id) {
            Some(entry) if entry.revision >= revision => false,
            Some(_) => {
                self.remove(id, revision);
                true
            }
            None => {
                // Another replica may still hold it, and asks this one for changes.
                let known = self.tombstones.iter().find(|tombstone| tombstone.id == *id);
                let (known_revision, last_write) =
                    known.map_or_else(Default::default, |tombstone| (tombstone.revision, tombstone.last_write));
                self.remember_removal(id.clone(), revision.max(known_revision), last_write);
                false
            }
        }
    }

    fn remove(&mut self, id: &TargetId, revision: u64) {
        let Some(entry) = self.entries.remove(id) else { return };
        let last_write = entry.registration.write_order();
        self.remember_removal(id.clone(), revision, last_write);
    }

    fn remember_removal(&mut self, id: TargetId, revision: u64, last_write: (u64, u64)) {
        self.tombstones.retain(|known| known.id != id);
        self.tombstones.push_back(Tombstone { revision, id, last_write, is_listed: false });
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.pop_front();
            self.discarded_revision =
                oldest.map_or(self.discarded_revision, |tombstone| self.discarded_revision.max(tombstone.revision));
        }
    }

    /// The changes since `from`, or everything if they are not all known; `None` if there is nothing new.
    pub fn update_since(&self, from: Position, now: Timestamp) -> Option<Update> {
        if from >= self.position {
            return None;
        }
        let is_difference =
            from.is_known() && from.era == self.position.era && from.revision >= self.discarded_revision;
        let scope = if is_difference { UpdateScope::After(from) } else { UpdateScope::Full };
        let after = if is_difference { from.revision } else { 0 };
        let mut changes: Vec<RevisedChange> = Vec::new();
        for (id, entry) in &self.entries {
            if is_difference && entry.revision <= after {
                continue;
            }
            let registration = Registration { cold_for: now.until(entry.cold_until), ..entry.registration.clone() };
            changes.push(RevisedChange { revision: entry.revision, change: Change::Target(id.clone(), registration) });
        }
        for tombstone in &self.tombstones {
            if is_difference && tombstone.revision > after {
                changes.push(RevisedChange {
                    revision: tombstone.revision,
                    change: Change::TargetRemoved(tombstone.id.clone()),
                });
            }
        }
        if let Some((revision, configuration)) = &self.configuration {
            if !is_difference || *revision > after {
                let change = Change::Configuration(Arc::clone(configuration));
                changes.push(RevisedChange { revision: *revision, change });
            }
        }
        changes.sort_by_cached_key(|revised| (revised.revision, revised.change.target().cloned()));
        Some(Update { scope, position: self.position, changes })
    }
}
