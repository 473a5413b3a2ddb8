//! Settings of a control node.

use std::time::Duration;

use quillhatch_group::GroupSettings;
use quillhatch_types::{DeploymentName, NodeId, SiteName, ZoneName};

use crate::mechanisms::ControlMechanisms;

/// Intervals and timeouts of the control part. All nodes of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTiming {
    /// The maximum interval between two [`ControlInput::Tick`](crate::ControlInput::Tick)s from the driver.
    pub tick: Duration,
    /// The interval between a gate's heartbeats to the leader of its group.
    pub gate_heartbeat: Duration,
    /// The time without a heartbeat after which the leader considers a gate failed.
    pub gate_timeout: Duration,
    /// How much longer than the leader's own lease a gate's lease may last.
    ///
    /// A new leader waits for this long before it reassigns the slots of a failed owner.
    pub gate_lease_extension: Duration,
    /// The interval at which an unanswered message to another site or node is resent.
    pub resend: Duration,
    /// The maximum age of another site's readiness report that a plan step may rely on.
    pub readiness_age: Duration,
    /// How long refusals of protected calls are observed after a step of a move before the next step.
    pub settle: Duration,
    /// How long a move waits while the new site refuses protected calls before the move is undone.
    pub hold: Duration,
    /// How long the founding of a group waits for the other sites' tables if the service may have been in use before.
    pub founding_timeout: Duration,
    /// How long an operator's request is retried before the reply reports that no leader was found.
    pub request_timeout: Duration,
    /// The interval at which a node compares its configuration revision with that of a random peer.
    pub gossip: Duration,
    /// The time after the last request for a table at which the node stops refreshing it.
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
            founding_timeout: Duration::from_secs(10),
            request_timeout: Duration::from_secs(5),
            gossip: Duration::from_secs(1),
            table_idle: Duration::from_secs(60),
        }
    }
}

/// The settings that a control node is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// The address and incarnation of the node.
    pub node: NodeId,
    /// The site of the node.
    pub site: SiteName,
    /// The zone of the node.
    pub zone: ZoneName,
    /// The deployment; configurations of another are refused.
    pub deployment: DeploymentName,
    /// Intervals and timeouts of the control part.
    pub timing: ControlTiming,
    /// The settings of the groups that the node hosts.
    pub group: GroupSettings,
    /// The enabled mechanisms.
    pub mechanisms: ControlMechanisms,
}
