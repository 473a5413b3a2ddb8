//! The scenarios of the group models: their initial states and how often each action may happen.

use std::time::Duration;

use quillhatch_group::{FormRequirements, GroupMechanisms, GroupSettings};
use quillhatch_types::{Epoch, Formation, Generation, NodeAddress};

/// The number of nodes in every model.
pub(super) const NODES: usize = 3;

/// The initial state of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// No node has any state.
    Blank,
    /// Node 0 has just founded a group with the consent of node 1; nothing is replicated yet.
    Founded,
    /// All nodes are members of a group led by node 0.
    Formed,
}

/// The initial state and the bounds of one model.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// The initial state.
    pub start: Start,
    /// Nodes campaign only in terms below this one.
    pub campaign_term_limit: u64,
    /// How often a leader receives a command.
    pub proposals: u8,
    /// How often a node loses its memory.
    pub restarts: u8,
    /// How often a leader adds a restarted node to the voters.
    pub joins: u8,
    /// How often a node queries its peers and may then form a group.
    pub surveys: u8,
    /// The maximum length of a trace.
    pub depth: usize,
}

const BASE: Scenario = Scenario {
    start: Start::Formed,
    campaign_term_limit: 1,
    proposals: 0,
    restarts: 0,
    joins: 0,
    surveys: 0,
    depth: 0,
};

pub(super) fn agreement() -> Scenario {
    Scenario { campaign_term_limit: 3, proposals: 1, depth: 9, ..BASE }
}

pub(super) fn restart() -> Scenario {
    Scenario { campaign_term_limit: 2, proposals: 1, restarts: 1, joins: 1, depth: 11, ..BASE }
}

pub(super) fn two_formings() -> Scenario {
    Scenario { start: Start::Founded, proposals: 2, surveys: 1, depth: 24, ..BASE }
}

pub(super) fn forming() -> Scenario {
    Scenario { start: Start::Blank, proposals: 1, restarts: 1, surveys: 2, depth: 9, ..BASE }
}

/// Returns settings in which all durations are zero. A member that does not lead may therefore abandon its group for
/// another one at any time.
pub(super) fn settings(mechanisms: GroupMechanisms) -> GroupSettings {
    GroupSettings {
        heartbeat: Duration::ZERO,
        election_timeout_minimum: Duration::ZERO,
        election_timeout_maximum: Duration::ZERO,
        lease: Duration::ZERO,
        formation_wait: Duration::ZERO,
        formation_retry: Duration::ZERO,
        abandon_after: Duration::ZERO,
        mechanisms,
        ..GroupSettings::default()
    }
}

/// Returns the requirements for forming the group of a service that is configured as new, with all nodes as electorate.
pub(super) fn requirements() -> FormRequirements {
    FormRequirements {
        electorate: (0..NODES).map(address).collect(),
        formation: Formation::New,
        minimum_generation: Generation(0),
        minimum_epoch: Epoch(0),
    }
}

pub(super) fn address(node: usize) -> NodeAddress {
    NodeAddress(std::net::SocketAddr::from(([10, 0, 0, node as u8 + 1], 7000)))
}
