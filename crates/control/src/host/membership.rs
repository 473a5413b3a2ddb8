//! Inputs from outside the group: membership changes, machines and the requirements for forming a group.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_group::FormRequirements;
use quillhatch_types::{Configuration, Epoch, Generation, NodeAddress, NodeId};

use crate::host::ServiceHost;
use crate::io::{MachineStatus, MemberStatus};

impl ServiceHost {
    /// Whether the electorate of the last applied configuration contains `address`.
    pub fn is_in_electorate(&self, address: NodeAddress) -> bool {
        self.electorate.contains(&address)
    }

    /// Whether this node is a voter of the group.
    pub fn is_voter(&self) -> bool {
        !self.is_outsider() && self.group.voters().voters.contains(&self.own_node())
    }

    /// Sets an electorate that no longer contains this node.
    pub fn set_electorate(&mut self, electorate: Vec<NodeAddress>) {
        self.electorate = electorate;
    }

    pub fn on_member(&mut self, node: NodeId, status: MemberStatus) {
        self.gates.report(node, status);
    }

    pub fn set_machines(&mut self, machines: &Arc<BTreeMap<NodeAddress, MachineStatus>>) {
        self.gates.set_machines(machines);
    }

    /// The nodes that may form the group, and the generation and epoch that it must exceed because an earlier group
    /// used them.
    pub fn requirements(
        &mut self,
        configuration: &Configuration,
        electorate: Vec<NodeAddress>,
        (minimum_generation, minimum_epoch): (Generation, Epoch),
    ) -> FormRequirements {
        self.electorate = electorate.clone();
        let configured = configuration.services.get(&self.service).map(|service| service.minimum_epoch);
        FormRequirements {
            electorate,
            formation: configuration.formation,
            minimum_generation,
            minimum_epoch: minimum_epoch.max(configured.unwrap_or_default()),
        }
    }
}
