//! The targets of all services, as the platform's store lists them.

mod grace;
mod registration;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

pub use grace::{GracePeriod, GraceReason, PARTITION_GRACE};
pub use registration::{Registration, Target, TargetId};

/// All listed targets.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    by_id: HashMap<TargetId, Arc<Target>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Target>>>,
    /// Targets that others have followed at their addresses, and the lives that they had then.
    superseded: HashMap<TargetId, u64>,
    /// Targets whose registrations are missing and that are kept for now.
    graces: HashMap<TargetId, GracePeriod>,
    /// When the nodes of these machines last reported that they can't read the store.
    cut_off: HashMap<IpAddr, Timestamp>,
    /// Targets that were removed a moment ago, and when.
    recently_removed: VecDeque<(Timestamp, Arc<Target>)>,
    /// Targets that were followed by others and whose registrations ended a moment ago, and when.
    recently_ended: VecDeque<(Timestamp, TargetId)>,
}

/// The share of all targets that must be gone at once for the report to be suspicious.
const SUSPICIOUS_SHARE: f64 = 0.3;
/// The fewest targets that must be gone at once for the report to be suspicious.
const SUSPICIOUS_COUNT: usize = 2;
/// For how long a node's report that it can't read the store holds.
const CUT_OFF_REPORT_HOLDS: Duration = Duration::from_secs(2);
/// For how long removed targets are remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(3);

impl TargetTable {
    /// Takes the targets in `gone` off the list; if they are suspiciously many, only after `grace`.
    ///
    /// Registrations lapse while the platform's store is in trouble, though their targets serve, and come back with the next
    /// heartbeat of each target.
    pub fn remove_missing(&mut self, gone: &[TargetId], grace: Duration, now: Timestamp) {
        let listed = gone.iter().filter(|id| self.by_id.contains_key(*id)).count();
        let is_suspicious = listed >= SUSPICIOUS_COUNT && listed as f64 >= SUSPICIOUS_SHARE * self.by_id.len() as f64;
        let grace = (is_suspicious && !grace.is_zero())
            .then(|| GracePeriod { until: now + grace, reason: GraceReason::ManyMissing });
        for id in gone {
            let target = self.by_id.get(id).filter(|target| !target.registration.draining);
            let reported = target.and_then(|target| self.last_cut_off_report(target, now));
            match reported {
                Some(reported) => {
                    self.graces.insert(id.clone(), GracePeriod::cut_off(reported + PARTITION_GRACE));
                }
                None => self.take_off(id, grace, now),
            }
        }
    }

    /// Takes targets off the list whose registrations are missing after an outage of the platform's store; those that had not
    /// announced that they drain only at `until`, unless they are registered again by then.
    ///
    /// Whether their machines report that they are cut off does not matter: in an outage all are.
    pub fn remove_after_outage(&mut self, missing: &[TargetId], until: Timestamp, now: Timestamp) {
        for id in missing {
            let is_draining = self.by_id.get(id).is_some_and(|target| target.registration.draining);
            let grace =
                (until > now && !is_draining).then_some(GracePeriod { until, reason: GraceReason::AfterOutage });
            self.take_off(id, grace, now);
        }
    }

    /// Takes one target off the list, or keeps it for a while if there is a `grace`.
    fn take_off(&mut self, id: &TargetId, grace: Option<GracePeriod>, now: Timestamp) {
        let Some(target) = self.by_id.get(id).cloned() else {
            if self.superseded.remove(id).is_some() {
                self.forget_removed(now);
                self.recently_ended.push_back((now, id.clone()));
            }
            return;
        };
        if let Some(grace) = grace {
            self.graces.entry(id.clone()).or_insert(grace);
            return;
        }
        self.remove(id);
        if !target.registration.draining {
            self.forget_removed(now);
            self.recently_removed.push_back((now, target));
        }
    }

    /// Takes the report of a machine's node whether it can read the platform's store.
    ///
    /// A target whose machine is cut off from the store can't renew its registration, nor withdraw it, so the registration
    /// lapses while the target serves. The target is kept, or listed again if it was removed a moment ago, for as long as the
    /// node reports so and a while longer.
    pub fn report_store_access(&mut self, machine: IpAddr, is_cut_off: bool, now: Timestamp) {
        if !is_cut_off {
            if !self.cut_off.is_empty() {
                self.cut_off.remove(&machine);
            }
            return;
        }
        if self.cut_off.insert(machine, now).is_none() {
            self.cut_off.retain(|_, reported| now.since(*reported) <= CUT_OFF_REPORT_HOLDS);
        }
        self.forget_removed(now);
        for (left, target) in std::mem::take(&mut self.recently_removed) {
            if target.registration.address.ip() != machine {
                self.recently_removed.push_back((left, target));
                continue;
            }
            if self.at_address(target.registration.address).next().is_none() {
                self.update(target.id.clone(), target.registration.clone(), now);
                self.graces.insert(target.id.clone(), GracePeriod::cut_off(now + PARTITION_GRACE));
            }
        }
        for (id, grace) in &mut self.graces {
            let is_there = self.by_id.get(id).is_some_and(|target| target.registration.address.ip() == machine);
            if is_there && grace.reason != GraceReason::AfterOutage {
                grace.until = now + PARTITION_GRACE;
            }
        }
    }

    /// Forgets the targets that were removed too long ago.
    fn forget_removed(&mut self, now: Timestamp) {
        while self.recently_removed.front().is_some_and(|(left, _)| now.since(*left) > REMEMBERED_FOR) {
            self.recently_removed.pop_front();
        }
        while self.recently_ended.front().is_some_and(|(ended, _)| now.since(*ended) > REMEMBERED_FOR) {
            self.recently_ended.pop_front();
        }
    }

    /// When the target's node last reported that it can't read the store, if the report still holds.
    fn last_cut_off_report(&self, target: &Target, now: Timestamp) -> Option<Timestamp> {
        let machine = target.registration.address.ip();
        self.cut_off.get(&machine).copied().filter(|_| self.is_reported_partitioned(machine, now))
    }

    /// The targets whose grace period is over.
    pub fn expired(&self, now: Timestamp) -> Vec<TargetId> {
        self.graces.iter().filter(|(_, grace)| grace.until <= now).map(|(id, _)| id.clone()).collect()
    }

    /// Takes the targets off the list whose grace period is over; returns whether there were any.
    pub fn drop_expired(&mut self, now: Timestamp) -> bool {
        let over = self.expired(now);
        for id in &over {
            self.remove(id);
        }
        !over.is_empty()
    }

    /// The grace period of a target that is kept though it has no registration.
    pub fn grace_period(&self, id: &str) -> Option<GracePeriod> {
        self.graces.get(id).copied()
    }

    /// Whether the node of a machine has reported lately that it can't read the store.
    pub fn is_reported_partitioned(&self, machine: IpAddr, now: Timestamp) -> bool {
        self.cut_off.get(&machine).is_some_and(|reported| now.since(*reported) <= CUT_OFF_REPORT_HOLDS)
    }

    /// The targets that are kept though they have no registration, and until when.
    pub fn retained(&self) -> impl Iterator<Item = (&Arc<Target>, Timestamp)> {
        self.graces.iter().filter_map(|(id, grace)| Some((self.by_id.get(id)?, grace.until)))
    }

    /// Lists a target of which another node tells that it serves without a registration, unless one is listed at its address.
    ///
    /// It is kept for `left`, as long as the other node would keep it, so that nodes that only have it from each other don't keep it for ever.
    /// A report of the target's own machine prolongs it.
    pub fn retain_unregistered(&mut self, id: TargetId, registration: Registration, left: Duration, now: Timestamp) {
        if left.is_zero() || registration.draining || self.at_address(registration.address).next().is_some() {
            return;
        }
        self.update(id.clone(), registration, now);
        self.graces.insert(id, GracePeriod::cut_off(now + left.min(PARTITION_GRACE)));
    }

    /// Whether a target is listed on a machine.
    pub fn has_machine(&self, machine: IpAddr) -> bool {
        self.by_id.values().any(|target| target.registration.address.ip() == machine)
    }

    /// When the next grace period is over.
    pub fn next_grace_end(&self) -> Option<Timestamp> {
        self.graces.values().map(|grace| grace.until).min()
    }

    /// The listed targets whose identity is not in `listed`.
    pub fn missing_from(&self, listed: &HashSet<TargetId>) -> Vec<TargetId> {
        self.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// Lists a target, or replaces the registration of a listed one. A target that was found to be followed by another is left out,
    /// until it starts again. Says whether a listed one has started again.
    pub fn update(&mut self, id: TargetId, registration: Registration, now: Timestamp) -> bool {
        if self.superseded.get(&id).is_some_and(|life| *life >= registration.started) {
            return false;
        }
        self.superseded.remove(&id);
        let listed = self.by_id.get(&id);
        let has_restarted = listed.is_some_and(|listed| {
            let known = listed.registration.started;
            known != 0 && known < registration.started
        });
        let listed_at = listed.filter(|_| !has_restarted).map_or(now, |listed| listed.listed_at);
        self.unlist(&id);
        let cold_until = now + registration.cold_for;
        let target = Arc::new(Target { id: id.clone(), registration, cold_until, listed_at });
        let service = target.registration.service.clone();
        self.by_service.entry(service).or_default().push(target.clone());
        self.by_id.insert(id, target);
        has_restarted
    }

    /// Lists the target `present` in place of `former`, which it was found to have followed at the same address.
    ///
    /// Does nothing if `former` is not listed, or if another service has taken the address. A gate may not have noticed yet that
    /// its target started again, and what it told may be on its way for a while: a target that is known to be older than `former`
    /// does not take its place.
    pub fn replace_at_address(&mut self, former: &str, present: TargetId, service: &str, now: Timestamp) {
        let Some(target) = self.by_id.get(former).cloned() else { return };
        if *target.id == *present || *target.registration.service != *service || self.is_older(&present, &target) {
            return;
        }
        self.unlist(former);
        self.superseded.insert(target.id.clone(), target.registration.started);
        if !self.by_id.contains_key(&present) {
            // Nothing is known of its life: whatever it registers goes before this.
            let registration = Registration { draining: false, started: 0, sequence: 0, ..target.registration.clone() };
            self.update(present, registration, now);
        }
    }

    /// Whether `id` is known to have been at its address before `target`.
    fn is_older(&self, id: &str, target: &Target) -> bool {
        let was_removed = self.recently_removed.iter().any(|(_, removed)| *removed.id == *id)
            || self.recently_ended.iter().any(|(_, ended)| **ended == *id);
        let was_listed_before = self.by_id.get(id).is_some_and(|listed| listed.listed_at < target.listed_at);
        was_removed || was_listed_before || self.superseded.contains_key(id)
    }

    /// Takes a target off the list.
    pub fn remove(&mut self, id: &str) {
        self.superseded.remove(id);
        self.unlist(id);
    }

    fn unlist(&mut self, id: &str) {
        self.graces.remove(id);
        let Some(gone) = self.by_id.remove(id) else { return };
        if let Some(members) = self.by_service.get_mut(&gone.registration.service) {
            members.retain(|member| member.id != gone.id);
        }
    }

    /// Forgets superseded identities that the platform's list no longer holds.
    pub fn forget_superseded(&mut self, listed: &HashSet<TargetId>) {
        self.superseded.retain(|id, _| listed.contains(id));
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
        self.by_id.values().filter(move |target| target.registration.address == address)
    }

    /// The services with their shares of all targets.
    pub fn service_shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let all = self.by_id.len().max(1) as f64;
        self.by_service.iter().map(move |(service, members)| (service, members.len() as f64 / all))
    }

    /// The addresses of the machines that hold a target, each once.
    pub fn machines(&self) -> Vec<IpAddr> {
        let mut machines: Vec<IpAddr> = self.by_id.values().map(|target| target.registration.address.ip()).collect();
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
