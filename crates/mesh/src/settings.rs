//! The settings with which a sidecar starts: its addresses, its zone and service, and the bounds that it must meet.

use std::net::SocketAddr;
use std::time::Duration;

use crate::limits::LimitBounds;
use crate::mechanisms::Mechanisms;

/// Settings of one sidecar process.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// The name of the node, for logs.
    pub node: String,
    /// The zone of the machine.
    pub zone: String,
    /// The service of the local target, which runs on the same machine as this node.
    pub service: String,
    /// Where the local target listens.
    pub local_target: SocketAddr,
    /// Where callers on this machine, including the local target, send their calls.
    pub outbound: SocketAddr,
    /// Where other nodes send calls for the local target; the port is the same on every machine.
    pub inbound: SocketAddr,
    /// Where the platform checks whether this node is ready for calls.
    pub ready: SocketAddr,
    /// Where metrics are served and under which path; `None` if they are not.
    pub metrics: Option<(SocketAddr, String)>,
    /// Where nodes exchange usage reports on the limits of tenants, by UDP; the port is the same on every machine.
    pub limits: Option<SocketAddr>,
    /// Where the gates of a service exchange reports on requests that crash targets, by UDP; the port is the same on
    /// every machine.
    pub quarantine: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The bounds that the operators promise to their users.
    pub bounds: Bounds,
    /// The enabled mechanisms; set on the command line, not in the settings file.
    pub mechanisms: Mechanisms,
}

/// The bounds that the operators promise to their users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum time from the request to stop to the exit of the process.
    pub stop_grace: Duration,
    /// The maximum time after which a target that has registered as draining gets no new calls.
    pub drain: Duration,
    /// The maximum time from the writing of a configuration until it is in force.
    pub apply: Duration,
    /// The maximum time after which a machine that was partitioned from the store, and can reach it again, meets all
    /// bounds.
    pub recovery: Duration,
    /// The maximum number of retries, as a fraction of the calls of a service.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The maximum time after which no node accepts a key that a newly written configuration no longer contains. `None`
    /// if nodes that can't read the store may continue to accept keys.
    pub revocation: Option<Duration>,
    /// By how much the limits of tenants may be exceeded.
    pub limits: LimitBounds,
    /// The interval at which a target writes its registration.
    pub heartbeat: Duration,
}

/// How long changes are batched, as a fraction of the shortest bound: the time from a change to the next call to the
/// store.
const BATCH_WINDOW_FRACTION: f64 = 0.3;
/// The time reserved for a change to reach all nodes, even if a node on its way is lost, as a fraction of the shortest
/// bound.
const PROPAGATION_FRACTION: f64 = 0.45;
/// The time reserved in addition for a response of the store and the node's own work.
const CHANGE_RESERVE: Duration = Duration::from_millis(500);

impl Bounds {
    /// The shortest bound: the shorter one of the times within which a change in the store must take effect.
    pub fn shortest(&self) -> Duration {
        self.drain.min(self.apply)
    }

    /// How long further changes are batched after a change, before the store is called again.
    pub fn batch_window(&self) -> Duration {
        self.shortest().mul_f64(BATCH_WINDOW_FRACTION)
    }

    /// The grace period of targets whose registrations disappeared together with many others, without a known outage of
    /// the store.
    ///
    /// The targets may really have stopped, so it ends within the bound on drains, even at nodes that learn of the
    /// change late.
    pub fn max_grace(&self) -> Duration {
        self.drain.saturating_sub(self.shortest().mul_f64(PROPAGATION_FRACTION) + CHANGE_RESERVE)
    }
}
