//! Whether other zones can be reached: delegates of each zone probe the others and tell their own zone.

use std::collections::BTreeMap;

use quillhatch_types::{NodeId, Timestamp};

use crate::member::ZoneId;
use crate::message::ZoneRecord;

/// The outcome of this node's own probes of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneProbes {
    failures: u32,
    first_failure: Option<Timestamp>,
}

/// What delegates say of each zone, and this node's own findings while it is one.
#[derive(Clone, Debug, Default)]
pub struct ZoneViews {
    opinions: BTreeMap<ZoneId, BTreeMap<NodeId, ZoneRecord>>,
    probes: BTreeMap<ZoneId, ZoneProbes>,
    version: u64,
}

impl ZoneViews {
    /// Takes a delegate's view; returns whether it is news.
    pub fn accept(&mut self, record: ZoneRecord) -> bool {
        let opinions = self.opinions.entry(record.zone.clone()).or_default();
        match opinions.get(&record.observer) {
            Some(known) if known.version >= record.version => false,
            _ => {
                opinions.insert(record.observer, record);
                true
            }
        }
    }

    /// Whether a zone can be reached, by the views of the present `delegates` of this node's zone.
    ///
    /// A zone is unreachable only if every delegate with a view says so, so that one cut-off delegate decides nothing.
    pub fn is_reachable(&self, zone: &ZoneId, delegates: &[NodeId]) -> bool {
        let Some(opinions) = self.opinions.get(zone) else { return true };
        let mut views = delegates.iter().filter_map(|delegate| opinions.get(delegate)).peekable();
        views.peek().is_none() || views.any(|view| view.reachable)
    }

    /// Counts an answer from a zone; returns this node's new view if it changed.
    pub fn record_answer(&mut self, zone: &ZoneId, observer: NodeId) -> Option<ZoneRecord> {
        self.probes.remove(zone);
        self.change_view(zone, observer, true)
    }

    /// Counts an unanswered probe; returns this node's new view if it changed.
    pub fn record_failure(
        &mut self,
        zone: &ZoneId,
        observer: NodeId,
        now: Timestamp,
        failures_needed: u32,
    ) -> Option<ZoneRecord> {
        let probes = self.probes.entry(zone.clone()).or_default();
        probes.failures += 1;
        probes.first_failure.get_or_insert(now);
        if probes.failures < failures_needed {
            return None;
        }
        self.change_view(zone, observer, false)
    }

    /// Forgets what was counted before a pause of this process.
    pub fn forget_failures(&mut self) {
        self.probes.clear();
    }

    fn change_view(&mut self, zone: &ZoneId, observer: NodeId, reachable: bool) -> Option<ZoneRecord> {
        let known = self.opinions.get(zone).and_then(|opinions| opinions.get(&observer));
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
