//! The mechanisms of a sidecar that can be switched off.
//!
//! All are on, unless the command line names some to switch off. That is for measurements of the effect of each
//! mechanism, and for operators who suspect one of them; the start line of the log names the mechanisms that are off.

use derive_more::{Display, Error};

/// A mechanism that can be switched off on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Calls are refused where they enter when a service that they need is out of capacity.
    EntryAdmission,
    /// Demand includes the calls that don't arrive because earlier ones were refused.
    MissingCallEstimate,
    /// Calls that wait at a gate are served by priority.
    GatePriority,
    /// During a shortage all gates serve the calls of the same roots first.
    SharedRootOrder,
    /// Calls made by targets inherit the priority of the call that entered the graph.
    InheritedPriority,
    /// Calls wait at a gate only for a part of their time limit.
    QueueTimeout,
    /// Slower targets get fewer calls.
    LatencyBalancing,
    /// Busier targets get fewer calls.
    LoadBalancing,
    /// Targets with bad responses get fewer calls.
    HealthBalancing,
    /// Targets in the local zone are preferred.
    ZoneBalancing,
    /// Targets that have just started get fewer calls.
    SlowStart,
    /// Calls made by targets are sent to another target if the first one is slow.
    SlowAttemptRetry,
    /// Calls are sent to a second target after a failed attempt.
    Retries,
    /// Nodes that don't respond are probed for liveness.
    LivenessProbes,
    /// Changes in the store are collected for a moment before they are read.
    BatchedReads,
    /// Few nodes read the store and the others follow them; without it each node reads for itself.
    SharedReads,
    /// Targets whose registrations are missing are retained where that may be the store's fault.
    RetainedTargets,
    /// Nodes share the limits of tenants by demand; without it each admits an equal part.
    SharedLimits,
    /// Nodes accept proof from other nodes that their configuration is recent; without it each reads the store.
    PeerFreshness,
    /// Requests that crash targets are refused.
    Quarantine,
}

/// The error for a name that no mechanism has.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown mechanism {name:?}; the mechanisms are {}", Mechanism::names())]
pub struct UnknownMechanism {
    /// The unknown name.
    pub name: String,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 20] = [
        Mechanism::EntryAdmission,
        Mechanism::MissingCallEstimate,
        Mechanism::GatePriority,
        Mechanism::SharedRootOrder,
        Mechanism::InheritedPriority,
        Mechanism::QueueTimeout,
        Mechanism::LatencyBalancing,
        Mechanism::LoadBalancing,
        Mechanism::HealthBalancing,
        Mechanism::ZoneBalancing,
        Mechanism::SlowStart,
        Mechanism::SlowAttemptRetry,
        Mechanism::Retries,
        Mechanism::LivenessProbes,
        Mechanism::BatchedReads,
        Mechanism::SharedReads,
        Mechanism::RetainedTargets,
        Mechanism::SharedLimits,
        Mechanism::PeerFreshness,
        Mechanism::Quarantine,
    ];

    /// Returns the name on the command line and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::EntryAdmission => "entry-cut",
            Mechanism::MissingCallEstimate => "missed-calls",
            Mechanism::GatePriority => "gate-order",
            Mechanism::SharedRootOrder => "same-roots",
            Mechanism::InheritedPriority => "inherited-rank",
            Mechanism::QueueTimeout => "patience",
            Mechanism::LatencyBalancing => "speed-balance",
            Mechanism::LoadBalancing => "load-balance",
            Mechanism::HealthBalancing => "health-balance",
            Mechanism::ZoneBalancing => "zone-balance",
            Mechanism::SlowStart => "cold-start",
            Mechanism::SlowAttemptRetry => "slow-attempts",
            Mechanism::Retries => "repeats",
            Mechanism::LivenessProbes => "presence-probes",
            Mechanism::BatchedReads => "gathered-changes",
            Mechanism::SharedReads => "shared-reads",
            Mechanism::RetainedTargets => "kept-targets",
            Mechanism::SharedLimits => "shared-limits",
            Mechanism::PeerFreshness => "heard-freshness",
            Mechanism::Quarantine => "quarantine",
        }
    }

    /// Returns the names of all mechanisms, for messages.
    pub fn names() -> String {
        Self::ALL.map(Mechanism::name).join(", ")
    }

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// The mechanisms that are switched on or off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: u32,
}

impl Mechanisms {
    /// All mechanisms except those that `text` names, separated by commas.
    ///
    /// # Errors
    ///
    /// Returns an error for the first name that no mechanism has.
    pub fn without(text: &str) -> Result<Self, UnknownMechanism> {
        let mut disabled = 0;
        for name in text.split(',').map(str::trim) {
            let found = Mechanism::ALL.into_iter().find(|mechanism| mechanism.name() == name);
            let mechanism = found.ok_or_else(|| UnknownMechanism { name: name.to_owned() })?;
            disabled |= mechanism.bit();
        }
        Ok(Mechanisms { disabled })
    }

    /// Returns whether a mechanism is switched on.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & mechanism.bit() == 0
    }

    /// Returns the names of the mechanisms that are switched off, separated by commas.
    pub fn disabled_names(self) -> String {
        let disabled = Mechanism::ALL.into_iter().filter(|mechanism| !self.is_enabled(*mechanism));
        disabled.map(Mechanism::name).collect::<Vec<_>>().join(",")
    }
}
