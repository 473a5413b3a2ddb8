//! What a sidecar is told when it starts: addresses, its place, and the bounds that it must keep.

use std::net::SocketAddr;
use std::time::Duration;

use crate::limits::LimitBounds;
use crate::mechanisms::Mechanisms;

/// Settings of one sidecar process.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// The name of the node, for logs.
    pub node: String,
    /// The zone in which the machine stands.
    pub zone: String,
    /// The service of the target beside this node.
    pub service: String,
    /// Where the target beside this node listens.
    pub local_target: SocketAddr,
    /// Where callers on this machine, and the target itself, send their calls.
    pub outbound: SocketAddr,
    /// Where other nodes send calls for the target beside this node; the port is the same on every machine.
    pub inbound: SocketAddr,
    /// Where the platform asks whether this node takes calls.
    pub ready: SocketAddr,
    /// Where counters are served, if anywhere, and under which path.
    pub metrics: Option<(SocketAddr, String)>,
    /// Where nodes report how much of the tenants' limits they use, by UDP; the port is the same on every machine.
    pub limits: Option<SocketAddr>,
    /// Where the gates of a service tell each other of requests that crash targets, by UDP; the port is the same on every machine.
    pub quarantine: Option<SocketAddr>,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// The descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The bounds in force.
    pub bounds: Bounds,
    /// The mechanisms that are switched on; set on the command line, not in the settings file.
    pub mechanisms: Mechanisms,
}

/// Bounds that the operators promise to their users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest time between the request to stop and the end of the process.
    pub stop_grace: Duration,
    /// Within this time after an registration a leaving target gets no new calls.
    pub drain: Duration,
    /// Within this time after it was written a configuration is in force.
    pub apply: Duration,
    /// After this time with a path to the store, a machine that had none must keep all bounds again.
    pub recovery: Duration,
    /// Repeats may be at most this share of the calls of a service.
    pub retry_ratio: f64,
    /// The window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats that all nodes together may make beyond the share, for each service.
    pub retry_slack: f64,
    /// Within this time after a configuration without it was written, a key is believed nowhere. `None` if keys need not be refused by
    /// nodes that can't read the store.
    pub revocation: Option<Duration>,
    /// What is allowed beyond the limits of tenants.
    pub limits: LimitBounds,
    /// How often a target writes its registration.
    pub heartbeat: Duration,
}

/// The share of the least bound for which changes are gathered after one has come, before the store is asked again.
const GATHER_PART: f64 = 0.3;
/// The share of the bound on drains that is left for a change to reach all nodes, also if a node on the way to them is lost.
const SPREAD_PART: f64 = 0.45;
/// What is left of that time for an answer of the store and for the node's own work.
const CHANGE_RESERVE: Duration = Duration::from_millis(500);

impl Bounds {
    /// The shorter of the times within which a change of the store must have its effect.
    pub fn shortest(&self) -> Duration {
        self.drain.min(self.apply)
    }

    /// For how long changes are gathered after one has come.
    pub fn batch_window(&self) -> Duration {
        self.shortest().mul_f64(GATHER_PART)
    }

    /// For how long targets are kept that were gone together with many, without a known outage of the store.
    ///
    /// They may be gone for good, so this ends within the bound on drains, also for nodes that learn of it late.
    pub fn max_grace(&self) -> Duration {
        self.drain.saturating_sub(self.shortest().mul_f64(SPREAD_PART) + CHANGE_RESERVE)
    }
}
