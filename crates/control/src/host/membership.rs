//! What the host is told from outside the group: members, machines, and what a forming must respect.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_group::FormRequirements;
use quillhatch_types::{Configuration, Epoch, Generation, NodeAddress, NodeId};

use crate::host::ServiceHost;
use crate::io::{MachineStatus, MemberStatus};

impl ServiceHost {
    /// Whether the configuration last respected wants `address` in the group.
    pub fn wants(&self, address: NodeAddress) -> bool {
        self.electorate.contains(&address)
    }

    /// Whether the group counts this node as a voter.
    pub fn is_voter(&self) -> bool {
        !self.is_outsider() && self.group.voters().voters.contains(&self.me())
    }

    /// Other nodes than this one are wanted now.
    pub fn set_electorate(&mut self, electorate: Vec<NodeAddress>) {
        self.electorate = electorate;
    }

    pub fn on_member(&mut self, node: NodeId, status: MemberStatus) {
        self.gates.report(node, status);
    }

    pub fn set_machines(&mut self, machines: &Arc<BTreeMap<NodeAddress, MachineStatus>>) {
        self.gates.set_machines(machines);
    }

    /// From which nodes the group may be formed, above everything that this node remembers of an earlier one.
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
