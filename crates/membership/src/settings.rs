//! Timings and bounds of failure detection.

use std::time::Duration;

/// Mechanisms that can be switched off, to show what each is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipMechanisms {
    /// Ask others to probe a silent member before it is suspected.
    pub indirect_probes: bool,
    /// Let a suspected member refute.
    pub refutation: bool,
    /// Accuse nobody after a pause of this process itself.
    pub pause_guard: bool,
}

impl Default for MembershipMechanisms {
    fn default() -> Self {
        MembershipMechanisms { indirect_probes: true, refutation: true, pause_guard: true }
    }
}

/// How much longer than the accuser the other nodes wait for a refutation.
pub const HEARSAY_FACTOR: u32 = 5;

/// Timings and bounds of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The time between two probes by one node.
    pub probe_interval: Duration,
    /// The time after which a direct probe counts as unanswered.
    pub acknowledge_timeout: Duration,
    /// The time that a suspected member has to refute towards the node that accused it.
    ///
    /// Nodes that heard of the accusation leave the decision to the accuser and take it themselves only after
    /// [`HEARSAY_FACTOR`] times as long, in case the accuser failed too.
    pub suspicion_timeout: Duration,
    /// The members asked to probe in this node's place.
    pub indirect_probes: usize,
    /// The delegates of each zone.
    pub delegates_per_zone: usize,
    /// Unanswered probes of another zone, to different members where there are, before it counts as unreachable.
    pub zone_failures: u32,
    /// The time between two comparisons of the whole view with a random member.
    pub sync_interval: Duration,
    /// The time for which failed members are remembered.
    pub tombstone_retention: Duration,
    /// The largest number of records in one message.
    pub records_per_message: usize,
    /// The largest number of members held.
    pub maximum_members: usize,
    /// The mechanisms in force.
    pub mechanisms: MembershipMechanisms,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_interval: Duration::from_millis(500),
            acknowledge_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(700),
            indirect_probes: 3,
            delegates_per_zone: 2,
            zone_failures: 3,
            sync_interval: Duration::from_secs(60),
            tombstone_retention: Duration::from_secs(600),
            records_per_message: 10,
            maximum_members: 40_000,
            mechanisms: MembershipMechanisms::default(),
        }
    }
}
