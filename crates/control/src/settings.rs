//! Settings of a control node.

use std::time::Duration;

use quillhatch_group::GroupSettings;
use quillhatch_types::{DeploymentName, NodeId, SiteName, ZoneName};

use crate::mechanisms::ControlMechanisms;

/// Times and bounds of the control part; all nodes of a fleet must use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTiming {
    /// How often the driver should step the node at least.
    pub tick: Duration,
    /// How often a gate shows itself to the leader of its group.
    pub gate_heartbeat: Duration,
    /// How long a leader does without a gate's heartbeat before it takes the gate for failed.
    pub gate_timeout: Duration,
    /// How much longer than the leader's own lease a gate's lease may last.
    ///
    /// A new leader waits for this long before it gives a failed owner's slots away.
    pub gate_lease_extension: Duration,
    /// How often an unanswered message to another site or node is sent again.
    pub resend: Duration,
    /// How old an answer about the other site's readiness may be for a step to rest on it.
    pub readiness_age: Duration,
    /// How long protected calls are watched after a step of a move before the next one.
    pub settle: Duration,
    /// How long a move waits while the new site refuses protected calls, before it is undone.
    pub hold: Duration,
    /// How long a group founded for a service that has served before waits for the other sites' tables.
    pub founding_patience: Duration,
    /// How long a request of an operator is tried before it is answered that no leader was found.
    pub request_patience: Duration,
    /// How often a node compares its configuration revision with one random peer's.
    pub gossip: Duration,
    /// After how long a table that nobody asked for again is refreshed no more.
    pub table_idle: Duration,
}

impl Default for ControlTiming {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            gate_heartbeat: Duration::from_millis(200),
            gate_timeout: Duration::from_millis(1_200),
            gate_lease_extension: Duration::from_millis(500),
            resend: Duration::from_millis(300),
            readiness_age: Duration::from_millis(1_000),
            settle: Duration::from_millis(500),
            hold: Duration::from_secs(10),
            founding_patience: Duration::from_secs(10),
            request_patience: Duration::from_secs(5),
            gossip: Duration::from_secs(1),
            table_idle: Duration::from_secs(60),
        }
    }
}

/// Everything that a control node must be told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// This run of the node.
    pub node: NodeId,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// The deployment; configurations of another are refused.
    pub deployment: DeploymentName,
    /// Times and bounds.
    pub timing: ControlTiming,
    /// Times and bounds of the groups.
    pub group: GroupSettings,
    /// The mechanisms in force.
    pub mechanisms: ControlMechanisms,
}
