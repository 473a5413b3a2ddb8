//! A simulated store: a log of the registrations of targets and of configurations.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::replica::{Change, Position, RevisedChange, Update, UpdateScope};
use quillhatch_mesh::targets::Registration;

/// A simulated store.
pub struct SimStore {
    pub position: Position,
    pub calls: usize,
    pub(super) log: Vec<RevisedChange>,
    pub(super) is_down: bool,
}

impl SimStore {
    pub fn write(&mut self, change: Change) {
        self.position.revision += 1;
        self.log.push(RevisedChange { revision: self.position.revision, change });
    }

    /// Restores the store from a backup that was made `lost` changes ago.
    pub(super) fn restore(&mut self, lost: usize) {
        self.log.truncate(self.log.len() - lost);
        self.position.revision = self.log.last().map_or(1, |revised| revised.revision);
        self.position.era += 1;
    }

    /// The number of writes after the last one of which `is_last` is true.
    pub(super) fn writes_after(&self, is_last: impl Fn(&Change) -> bool) -> usize {
        self.log.iter().rev().take_while(|revised| !is_last(&revised.change)).count()
    }

    pub(super) fn list(&self) -> Update {
        let mut last: HashMap<Arc<str>, RevisedChange> = HashMap::new();
        for revised in &self.log {
            let (Change::Target(id, _) | Change::TargetRemoved(id)) = &revised.change else { continue };
            last.insert(id.clone(), revised.clone());
        }
        let mut changes: Vec<RevisedChange> =
            last.into_values().filter(|revised| matches!(revised.change, Change::Target(..))).collect();
        let is_configuration = |revised: &&RevisedChange| matches!(revised.change, Change::Configuration(_));
        changes.extend(self.log.iter().rev().find(is_configuration).cloned());
        changes.sort_by_key(|revised| revised.revision);
        Update { scope: UpdateScope::Full, position: self.position, changes }
    }

    pub(super) fn changes_since(&self, after: u64) -> Update {
        let changes = self.log.iter().filter(|revised| revised.revision > after).cloned().collect();
        let from = Position { era: self.position.era, revision: after };
        Update { scope: UpdateScope::After(from), position: self.position, changes }
    }
}

/// The registration of the target on `machine`.
pub(super) fn registration(machine: IpAddr, zone: &str, draining: bool, sequence: u64) -> Registration {
    Registration {
        service: Arc::from("alpha"),
        address: (machine, 80).into(),
        zone: Arc::from(zone),
        slots: 10,
        draining,
        cold_for: Duration::ZERO,
        started: 1,
        sequence,
    }
}

/// The identity of the target on the machine of a node.
pub(super) fn target_id(number: usize) -> Arc<str> {
    Arc::from(format!("t-{number}"))
}
