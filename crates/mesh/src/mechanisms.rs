//! Which of a sidecar's mechanisms are switched on.
//!
//! All are, unless the command line names some that are not. That is for measurements of what each is worth, and for operators who
//! suspect one of them; the start line of the log names what is off.

use derive_more::{Display, Error};

/// A mechanism that can be switched off by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Calls are refused where they enter when a service that they need is short of slots.
    EntryAdmission,
    /// Calls that don't come since others were refused are made up for in the demand.
    MissingCallEstimate,
    /// Calls that wait at a gate are served in the order of importance.
    GatePriority,
    /// In a shortage all gates serve the calls of the same roots first.
    SharedRootOrder,
    /// Calls of targets inherit the importance of the call that entered.
    InheritedPriority,
    /// Calls wait at a gate no longer than they can bear.
    QueueTimeout,
    /// Slower targets get fewer calls.
    LatencyBalancing,
    /// Busier targets get fewer calls.
    LoadBalancing,
    /// Targets whose answers are bad get fewer calls.
    HealthBalancing,
    /// Targets of the own zone are preferred.
    ZoneBalancing,
    /// Targets that have just started get fewer calls.
    SlowStart,
    /// Calls of targets leave a slow target for another one.
    SlowAttemptRetry,
    /// Calls are sent to a second target after an attempt that failed.
    Retries,
    /// Nodes that are silent are asked whether they are there.
    LivenessProbes,
    /// Changes in the store are gathered before they are read.
    BatchedReads,
    /// Few nodes read the store and the others follow them; without it each node reads for itself.
    SharedReads,
    /// Targets whose registrations are missing are kept where that may be the store's fault.
    RetainedTargets,
    /// Nodes share the limits of tenants by demand; without it each lets in its equal part.
    SharedLimits,
    /// Nodes take the word of others for how recent their configuration is; without it each asks the store.
    PeerFreshness,
    /// Requests that crash targets are refused.
    Quarantine,
}

/// A name that no mechanism has.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("there is no mechanism {name:?}; there are {}", Mechanism::names())]
pub struct UnknownMechanism {
    /// The name that was given.
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

    /// Its name on the command line and in logs.
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

    /// The names of all mechanisms, for messages.
    pub fn names() -> String {
        Self::ALL.map(Mechanism::name).join(", ")
    }

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// The mechanisms that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: u32,
}

impl Mechanisms {
    /// All mechanisms but those that `text` names, separated by commas.
    ///
    /// # Errors
    ///
    /// Returns the first name that no mechanism has.
    pub fn without(text: &str) -> Result<Self, UnknownMechanism> {
        let mut off = 0;
        for name in text.split(',').map(str::trim) {
            let found = Mechanism::ALL.into_iter().find(|mechanism| mechanism.name() == name);
            let mechanism = found.ok_or_else(|| UnknownMechanism { name: name.to_owned() })?;
            off |= mechanism.bit();
        }
        Ok(Mechanisms { off })
    }

    /// Whether a mechanism is on.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }

    /// The names of those that are off, separated by commas.
    pub fn disabled_names(self) -> String {
        let off = Mechanism::ALL.into_iter().filter(|mechanism| !self.is_enabled(*mechanism));
        off.map(Mechanism::name).collect::<Vec<_>>().join(",")
    }
}
