//! Timeouts and limits of failure detection.

use std::time::Duration;

/// Mechanisms that can be disabled, to show the effect of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipMechanisms {
    /// Ask other members to probe a member that did not answer before it is suspected.
    pub indirect_probes: bool,
    /// Let a suspected member refute the suspicion.
    pub refutation: bool,
    /// Suspect or fail no member because of a pause of this process itself.
    pub pause_guard: bool,
}

impl Default for MembershipMechanisms {
    fn default() -> Self {
        MembershipMechanisms { indirect_probes: true, refutation: true, pause_guard: true }
    }
}

/// Factor on [`MembershipSettings::suspicion_timeout`] for nodes that received a suspicion from another node.
pub const INDIRECT_SUSPICION_FACTOR: u32 = 5;

/// Timeouts and limits of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The time between two probes of members in the local zone by one node.
    pub probe_interval: Duration,
    /// The timeout of a direct probe.
    pub acknowledge_timeout: Duration,
    /// The time after which the node whose probe timed out declares the suspected member failed, unless it refutes.
    ///
    /// Nodes that received the suspicion leave the decision to that node. They declare the member failed themselves only
    /// after [`INDIRECT_SUSPICION_FACTOR`] times as long, in case that node failed too.
    pub suspicion_timeout: Duration,
    /// The number of members asked to probe on behalf of this node.
    pub indirect_probes: usize,
    /// The number of delegates of each zone.
    pub delegates_per_zone: usize,
    /// The number of consecutive timed-out probes of another zone after which it counts as unreachable. The probes go to
    /// randomly chosen members of the zone.
    pub zone_failures: u32,
    /// The time between two full synchronizations with a random member of the local zone.
    pub sync_interval: Duration,
    /// The time for which records of failed members and of those that left are retained.
    pub tombstone_retention: Duration,
    /// The maximum number of member records, and of zone records, gossiped in one message.
    pub records_per_message: usize,
    /// The maximum number of members in the table.
    pub max_members: usize,
    /// The enabled mechanisms.
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
            max_members: 40_000,
            mechanisms: MembershipMechanisms::default(),
        }
    }
}
