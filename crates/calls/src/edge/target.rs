//! The edge's state of one target of a service.

use std::time::Duration;

use quillhatch_types::{Feedback, GateStatus, NodeId, SiteName, Timestamp, ZoneName};

use super::balance::BalanceSettings;
use super::ejection::OutlierState;
use super::level::TargetLevel;

/// The lowest latency used in the cost, in microseconds; also that of a target that has not answered yet. It is low so
/// that new targets are tried.
const MIN_LATENCY_MICROSECONDS: f64 = 100.0;

/// The number of calls that a gate reported, and this edge's attempts in flight to it when the report arrived.
#[derive(Clone, Copy, Debug)]
struct GateLoad {
    calls: u32,
    limit: u32,
    in_flight: u32,
    received_at: Timestamp,
}

/// A target of a service.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The node; the incarnation is zero if only the configuration lists it.
    pub(crate) node: NodeId,
    /// The site whose table or configuration lists it.
    pub(crate) site: SiteName,
    /// The zone of the node.
    pub(crate) zone: ZoneName,
    /// Its status in the table: whether it accepts calls.
    pub(crate) status: GateStatus,
    /// The number of connections that the back end accepts.
    pub(crate) connections: u32,
    /// Attempts in flight from this edge, relayed bodies included.
    pub(crate) in_flight: u32,
    /// Whether membership suspects the node of having failed.
    pub(crate) suspected: bool,
    /// The admission level it reported.
    pub(crate) level: TargetLevel,
    /// Its recent failures and ejections.
    pub(crate) outlier: OutlierState,
    /// The time until which it is avoided because it reported that it accepts no calls.
    pub(crate) unavailable_until: Timestamp,
    latency_microseconds: f64,
    sampled_at: Timestamp,
    load: Option<GateLoad>,
}

impl Target {
    pub(crate) fn new(node: NodeId, site: SiteName, zone: ZoneName, status: GateStatus, connections: u32) -> Self {
        Target {
            node,
            site,
            zone,
            status,
            connections,
            in_flight: 0,
            suspected: false,
            level: TargetLevel::default(),
            outlier: OutlierState::default(),
            unavailable_until: Timestamp::ZERO,
            latency_microseconds: 0.0,
            sampled_at: Timestamp::ZERO,
            load: None,
        }
    }

    /// Whether it accepts calls according to the table or the configuration.
    pub(crate) fn is_serving(&self) -> bool {
        self.status == GateStatus::Serving
    }

    /// Whether it is serving and neither suspected, ejected nor avoided; its load does not matter.
    pub(crate) fn is_healthy(&self, now: Timestamp, ejection: bool) -> bool {
        let ejected = ejection && self.outlier.is_ejected(now);
        self.is_serving() && !self.suspected && !ejected && now >= self.unavailable_until
    }

    /// Whether fewer attempts are in flight from this edge than the back end accepts connections.
    pub(crate) fn has_free_connection(&self) -> bool {
        self.in_flight < self.connections.max(1)
    }

    /// Copies the state of the same address. For another incarnation only the attempts in flight are copied.
    pub(crate) fn inherit(&mut self, old: &Target) {
        self.in_flight = old.in_flight;
        let same_run = self.node == old.node || old.node.incarnation.0 == 0 || self.node.incarnation.0 == 0;
        if !same_run {
            return;
        }
        self.level = old.level;
        self.outlier = old.outlier;
        self.unavailable_until = old.unavailable_until;
        self.latency_microseconds = old.latency_microseconds;
        self.sampled_at = old.sampled_at;
        self.load = old.load;
    }

    /// Records the latency of an answer: a higher one replaces the average at once, a lower one moves it gradually
    /// (peak EWMA).
    pub(crate) fn record_latency(&mut self, latency: Duration, now: Timestamp, settings: &BalanceSettings) {
        let sample = latency.as_micros() as f64;
        let elapsed = now.since(self.sampled_at).as_micros() as f64;
        let window = settings.latency_window.as_micros().max(1) as f64;
        self.sampled_at = now;
        if sample >= self.latency_microseconds {
            self.latency_microseconds = sample;
            return;
        }
        let weight = elapsed / (window + elapsed);
        self.latency_microseconds += (sample - self.latency_microseconds) * weight;
    }

    /// Records that no answer arrived for `waited`, which is a lower bound of the latency. A quick failure does not
    /// make a target look fast, since lower values are ignored.
    pub(crate) fn record_unanswered(&mut self, waited: Duration, now: Timestamp) {
        let waited = waited.as_micros() as f64;
        if waited >= self.latency_microseconds {
            self.latency_microseconds = waited;
            self.sampled_at = now;
        }
    }

    /// Records the gate's feedback that came with an answer.
    pub(crate) fn record_feedback(&mut self, feedback: &Feedback, now: Timestamp) {
        self.level.update(feedback.level, now);
        self.load = Some(GateLoad {
            calls: feedback.running.saturating_add(feedback.waiting),
            limit: feedback.limit.max(1),
            in_flight: self.in_flight,
            received_at: now,
        });
    }

    /// The utilization of the target; 1.0 is full.
    ///
    /// The gate's reported number of calls is adjusted by the change in this edge's attempts in flight since the
    /// report. Without a recent report only this edge's attempts count.
    pub(crate) fn utilization(&self, now: Timestamp, settings: &BalanceSettings) -> f64 {
        let own = f64::from(self.in_flight) / f64::from(self.connections.max(1));
        match self.load {
            Some(load) if now.since(load.received_at) < settings.feedback_lifetime => {
                let since = f64::from(self.in_flight) - f64::from(load.in_flight);
                let calls = (f64::from(load.calls) + since).max(0.0);
                own.max(calls / f64::from(load.limit))
            }
            _ => own,
        }
    }

    /// The cost of sending another call to this target; lower is better.
    pub(crate) fn cost(&self, now: Timestamp, settings: &BalanceSettings) -> f64 {
        let idle = now.since(self.sampled_at).as_micros() as f64;
        let memory = settings.latency_decay.as_micros().max(1) as f64;
        let latency = self.latency_microseconds * memory / (memory + idle);
        let queue = f64::from(self.in_flight) + 1.0;
        latency.max(MIN_LATENCY_MICROSECONDS) * queue * (1.0 + self.utilization(now, settings))
    }
}
