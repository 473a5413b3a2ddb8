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
    doubtful: HashMap<TargetId, Timestamp>,
}

/// The share of all targets that must vanish at once for the list to be doubted.
const DOUBTED_FROM: f64 = 0.3;
/// The fewest targets that must vanish at once for the list to be doubted.
const DOUBTED_COUNT: usize = 2;

impl TargetTable {
    /// Takes the targets in `gone` off the list; if they are so many that the list itself is in doubt, only after `doubt`.
    ///
    /// Entries run out while the platform's store is in trouble, though their targets serve, and come back with the next word
    /// of each target.
    pub fn vanish(&mut self, gone: &[TargetId], doubt: Duration, now: Timestamp) {
        let listed = gone.iter().filter(|id| self.by_id.contains_key(*id)).count();
        let is_doubted = listed >= DOUBTED_COUNT && listed as f64 >= DOUBTED_FROM * self.by_id.len() as f64;
        for id in gone {
            if !is_doubted || doubt.is_zero() {
                self.remove(id);
            } else if self.by_id.contains_key(id) {
                self.doubtful.entry(id.clone()).or_insert(now + doubt);
            }
        }
    }

    /// Takes the targets off the list whose time of doubt is over; says whether there were any.
    pub fn drop_doubtful(&mut self, now: Timestamp) -> bool {
        let over: Vec<TargetId> =
            self.doubtful.iter().filter(|(_, until)| **until <= now).map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.remove(id);
        }
        !over.is_empty()
    }

    /// When the next time of doubt is over.
    pub fn next_doubt(&self) -> Option<Timestamp> {
        self.doubtful.values().min().copied()
    }

    /// The listed targets whose identity is not in `listed`.
    pub fn missing_from(&self, listed: &HashSet<TargetId>) -> Vec<TargetId> {
        self.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

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
        self.doubtful.remove(id);
        let Some(gone) = self.by_id.remove(id) else { return };
        if let Some(members) = self.by_service.get_mut(&gone.announcement.service) {
            members.retain(|member| member.id != gone.id);
        }
    }

    /// Forgets superseded identities that the platform's list no longer holds.
    pub fn forget_superseded(&mut self, listed: &HashSet<TargetId>) {
        self.superseded.retain(|id| listed.contains(id));
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
