//! What may happen in a model and how often.

use std::time::Duration;

use quillhatch_group::{FormRequirements, GroupMechanisms, GroupSettings};
use quillhatch_types::{Epoch, Formation, Generation, NodeAddress};

/// The number of nodes in every model.
pub(super) const NODES: usize = 3;

/// Where a model starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// No node has memory.
    Blank,
    /// Node 0 has just founded a group with the consent of node 1; nothing was replicated yet.
    Founded,
    /// All nodes are members of a group led by node 0.
    Formed,
}

/// Bounds of one model.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// Where it starts.
    pub start: Start,
    /// No node campaigns at or above this term.
    pub last_term: u64,
    /// How often a leader gets a command.
    pub proposals: u8,
    /// How often a node loses its memory.
    pub restarts: u8,
    /// How often a leader takes a restarted node in.
    pub joins: u8,
    /// How often a node asks its peers and may start a forming.
    pub surveys: u8,
    /// Longest trace.
    pub depth: usize,
}

const NOTHING: Scenario =
    Scenario { start: Start::Formed, last_term: 1, proposals: 0, restarts: 0, joins: 0, surveys: 0, depth: 0 };

pub(super) fn agreement() -> Scenario {
    Scenario { last_term: 3, proposals: 1, depth: 9, ..NOTHING }
}

pub(super) fn restart() -> Scenario {
    Scenario { last_term: 2, proposals: 1, restarts: 1, joins: 1, depth: 11, ..NOTHING }
}

pub(super) fn two_formings() -> Scenario {
    Scenario { start: Start::Founded, proposals: 2, surveys: 1, depth: 24, ..NOTHING }
}

pub(super) fn forming() -> Scenario {
    Scenario { start: Start::Blank, proposals: 1, restarts: 1, surveys: 2, depth: 9, ..NOTHING }
}

/// Settings without time. A member may be free for another forming whenever it does not lead.
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

/// All nodes are the electorate of a service that is said to be new.
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
