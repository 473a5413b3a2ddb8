//! The targets of all services, as the platform's store lists them.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// Identifies one start of a target; a target that starts again has a new one.
pub type TargetId = Arc<str>;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens; its node listens at the same IP address.
    pub address: SocketAddr,
    /// The zone in which it stands.
    pub zone: Arc<str>,
    /// The calls that it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// For how long it will be slow after its start.
    pub cold_for: Duration,
}

/// A listed target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its identity.
    pub id: TargetId,
    /// What it says of itself.
    pub announcement: Announcement,
    /// Until when it is slow after its start.
    pub cold_until: Timestamp,
}

/// All listed targets.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    by_id: HashMap<TargetId, Arc<Target>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Target>>>,
    superseded: HashSet<TargetId>,
}

impl TargetTable {
    /// Lists a target, or takes what a listed one says now. A target that was found to be followed by another is left out.
    pub fn update(&mut self, id: TargetId, announcement: Announcement, now: Timestamp) {
        if self.superseded.contains(&id) {
            return;
        }
        self.unlist(&id);
        let cold_until = now + announcement.cold_for;
        let target = Arc::new(Target { id: id.clone(), announcement, cold_until });
        let service = target.announcement.service.clone();
        self.by_service.entry(service).or_default().push(target.clone());
        self.by_id.insert(id, target);
    }

    /// Lists the target `present` in place of `former`, which it was found to have followed at the same address.
    ///
    /// Does nothing if `former` is not listed, or if another service has taken the address.
    pub fn succeed(&mut self, former: &str, present: TargetId, service: &str, now: Timestamp) {
        let Some(target) = self.by_id.get(former).cloned() else { return };
        if *target.id == *present || *target.announcement.service != *service {
            return;
        }
        self.unlist(former);
        self.superseded.insert(target.id.clone());
        if !self.by_id.contains_key(&present) {
            self.update(present, Announcement { draining: false, ..target.announcement.clone() }, now);
        }
    }

    /// Takes a target off the list.
    pub fn remove(&mut self, id: &str) {
        self.superseded.remove(id);
        self.unlist(id);
    }

    fn unlist(&mut self, id: &str) {
        let Some(gone) = self.by_id.remove(id) else { return };
        if let Some(members) = self.by_service.get_mut(&gone.announcement.service) {
            members.retain(|member| member.id != gone.id);
        }
    }

    /// Takes every target off the list whose identity `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let gone: Vec<TargetId> = self.by_id.keys().filter(|id| !keep(id)).cloned().collect();
        for id in gone {
            self.unlist(&id);
        }
        self.superseded.retain(|id| keep(id));
    }

    /// The listed targets of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The target with this identity, if it is listed.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.by_id.get(id)
    }

    /// The targets listed at an address; an address may be listed twice while one target follows another.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Target>> {
        self.by_id.values().filter(move |target| target.announcement.address == address)
    }

    /// The addresses of the machines that hold a target, each once.
    pub fn machines(&self) -> Vec<IpAddr> {
        let mut machines: Vec<IpAddr> = self.by_id.values().map(|target| target.announcement.address.ip()).collect();
        machines.sort();
        machines.dedup();
        machines
    }

    /// All listed targets.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_id.values()
    }

    /// The number of listed targets.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
