//! What the edge knows of one target of a service.

use std::time::Duration;

use quillhatch_types::{Feedback, GateStatus, NodeId, SiteName, Timestamp, ZoneName};

use super::balance::BalanceSettings;
use super::ejection::OutlierState;
use super::level::TargetLevel;

/// The latency assumed of a target that has not answered yet, in microseconds; low, so that it gets tried.
const LATENCY_FLOOR_MICROSECONDS: f64 = 100.0;

/// A gate's own count of its calls, and what this edge had in flight when it heard it.
#[derive(Clone, Copy, Debug)]
struct GateLoad {
    calls: u32,
    limit: u32,
    in_flight: u32,
    heard_at: Timestamp,
}

/// One target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The node; incarnation zero if only the configuration names it.
    pub(crate) node: NodeId,
    /// The site whose table or configuration lists it.
    pub(crate) site: SiteName,
    /// Its zone.
    pub(crate) zone: ZoneName,
    /// Whether the table says that it takes calls.
    pub(crate) status: GateStatus,
    /// Connections that the back end accepts.
    pub(crate) connections: u32,
    /// Attempts in flight from this edge, relayed bodies included.
    pub(crate) in_flight: u32,
    /// Whether membership suspects it.
    pub(crate) suspected: bool,
    /// The admission level it reported.
    pub(crate) level: TargetLevel,
    /// Its recent failures.
    pub(crate) outlier: OutlierState,
    /// Until when it is left out because it said that it takes no calls.
    pub(crate) closed_until: Timestamp,
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
            closed_until: Timestamp::ZERO,
            latency_microseconds: 0.0,
            sampled_at: Timestamp::ZERO,
            load: None,
        }
    }

    /// Whether a table or the configuration lets it take calls.
    pub(crate) fn is_serving(&self) -> bool {
        self.status == GateStatus::Serving
    }

    /// Whether nothing speaks against it but its load.
    pub(crate) fn is_preferred(&self, now: Timestamp, ejection: bool) -> bool {
        let ejected = ejection && self.outlier.is_ejected(now);
        self.is_serving() && !self.suspected && !ejected && now >= self.closed_until
    }

    /// Whether another attempt may be in flight.
    pub(crate) fn has_connection(&self) -> bool {
        self.in_flight < self.connections.max(1)
    }

    /// Takes over what was learnt of the same address; another run of the node starts with a clean record.
    pub(crate) fn inherit(&mut self, old: &Target) {
        self.in_flight = old.in_flight;
        let same_run = self.node == old.node || old.node.incarnation.0 == 0 || self.node.incarnation.0 == 0;
        if !same_run {
            return;
        }
        self.level = old.level;
        self.outlier = old.outlier;
        self.closed_until = old.closed_until;
        self.latency_microseconds = old.latency_microseconds;
        self.sampled_at = old.sampled_at;
        self.load = old.load;
    }

    /// An answer took `latency`: a slower one counts at once, a faster one by and by (peak EWMA).
    pub(crate) fn sample(&mut self, latency: Duration, now: Timestamp, settings: &BalanceSettings) {
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

    /// No answer came for `waited`: the latency is at least that, but a quick failure does not make a target look fast.
    pub(crate) fn sample_without_answer(&mut self, waited: Duration, now: Timestamp) {
        let waited = waited.as_micros() as f64;
        if waited >= self.latency_microseconds {
            self.latency_microseconds = waited;
            self.sampled_at = now;
        }
    }

    /// An answer carried news of the gate.
    pub(crate) fn hear(&mut self, feedback: &Feedback, now: Timestamp) {
        self.level.hear(feedback.level, now);
        self.load = Some(GateLoad {
            calls: feedback.running.saturating_add(feedback.waiting),
            limit: feedback.limit.max(1),
            in_flight: self.in_flight,
            heard_at: now,
        });
    }

    /// How loaded the target is; one is full.
    ///
    /// The gate's own count is carried on with what this edge sent since; without recent news only this edge's calls count.
    pub(crate) fn utilization(&self, now: Timestamp, settings: &BalanceSettings) -> f64 {
        let own = f64::from(self.in_flight) / f64::from(self.connections.max(1));
        match self.load {
            Some(load) if now.since(load.heard_at) < settings.feedback_lifetime => {
                let since = f64::from(self.in_flight) - f64::from(load.in_flight);
                let calls = (f64::from(load.calls) + since).max(0.0);
                own.max(calls / f64::from(load.limit))
            }
            _ => own,
        }
    }

    /// What another call would have to bear here: the lower the better.
    pub(crate) fn cost(&self, now: Timestamp, settings: &BalanceSettings) -> f64 {
        let idle = now.since(self.sampled_at).as_micros() as f64;
        let memory = settings.latency_decay.as_micros().max(1) as f64;
        let latency = self.latency_microseconds * memory / (memory + idle);
        let queue = f64::from(self.in_flight) + 1.0;
        latency.max(LATENCY_FLOOR_MICROSECONDS) * queue * (1.0 + self.utilization(now, settings))
    }
}
