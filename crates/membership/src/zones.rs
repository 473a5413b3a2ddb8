//! Reachability of other zones: delegates of each zone probe the other zones and gossip the result in their own zone.

use std::collections::BTreeMap;

use quillhatch_types::{NodeId, Timestamp};

use crate::member::ZoneId;
use crate::message::ZoneRecord;

/// Consecutive timed-out probes of one zone by this node.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneProbes {
    failures: u32,
    first_failure: Option<Timestamp>,
}

/// The views of each zone by the delegates of the local zone, and the results of this node's own probes while it is a
/// delegate.
#[derive(Clone, Debug, Default)]
pub struct ZoneViews {
    views_by_zone: BTreeMap<ZoneId, BTreeMap<NodeId, ZoneRecord>>,
    probes: BTreeMap<ZoneId, ZoneProbes>,
    version: u64,
}

impl ZoneViews {
    /// Stores a delegate's view if it is newer than the known one; returns whether it was stored.
    pub fn accept(&mut self, record: ZoneRecord) -> bool {
        let views = self.views_by_zone.entry(record.zone.clone()).or_default();
        match views.get(&record.observer) {
            Some(known) if known.version >= record.version => false,
            _ => {
                views.insert(record.observer, record);
                true
            }
        }
    }

    /// Whether a zone is reachable according to `delegates`, the current delegates of the local zone.
    ///
    /// A zone is unreachable only if every delegate with a view reports it so: a single delegate that is partitioned from
    /// the zone must not decide alone.
    pub fn is_reachable(&self, zone: &ZoneId, delegates: &[NodeId]) -> bool {
        let Some(views) = self.views_by_zone.get(zone) else { return true };
        let mut delegate_views = delegates.iter().filter_map(|delegate| views.get(delegate)).peekable();
        delegate_views.peek().is_none() || delegate_views.any(|view| view.reachable)
    }

    /// Resets the failure count of a zone that answered; returns this node's new view if it changed.
    pub fn record_answer(&mut self, zone: &ZoneId, observer: NodeId) -> Option<ZoneRecord> {
        self.probes.remove(zone);
        self.update_view(zone, observer, true)
    }

    /// Counts a timed-out probe; returns this node's new view if it changed.
    pub fn record_failure(
        &mut self,
        zone: &ZoneId,
        observer: NodeId,
        now: Timestamp,
        failure_threshold: u32,
    ) -> Option<ZoneRecord> {
        let probes = self.probes.entry(zone.clone()).or_default();
        probes.failures += 1;
        probes.first_failure.get_or_insert(now);
        if probes.failures < failure_threshold {
            return None;
        }
        self.update_view(zone, observer, false)
    }

    /// Resets all failure counts after a pause of this process.
    pub fn forget_failures(&mut self) {
        self.probes.clear();
    }

    fn update_view(&mut self, zone: &ZoneId, observer: NodeId, reachable: bool) -> Option<ZoneRecord> {
        let known = self.views_by_zone.get(zone).and_then(|views| views.get(&observer));
        let unchanged = known.map_or(reachable, |record| record.reachable == reachable);
        if unchanged {
            return None;
        }
        self.version += 1;
        let record = ZoneRecord { observer, zone: zone.clone(), version: self.version, reachable };
        self.accept(record.clone());
        Some(record)
    }
}
