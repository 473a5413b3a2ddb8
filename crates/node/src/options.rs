//! The options of a node.

use quillhatch_control::{ControlSettings, ControlTiming};
use quillhatch_group::GroupSettings;
use quillhatch_membership::{MemberInfo, MembershipSettings, ZoneId};
use quillhatch_types::{DeploymentName, NodeAddress, NodeId, ServiceName, SiteName, ZoneName};

use crate::mechanisms::NodeMechanisms;

/// The options with which a node starts.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The address and incarnation of the node.
    pub node: NodeId,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// The deployment.
    pub deployment: DeploymentName,
    /// The service of the local back end. A node without one is only an edge.
    pub service: Option<ServiceName>,
    /// Addresses at which members may be found before the platform's list is read.
    pub seeds: Vec<NodeAddress>,
    /// Timeouts and limits of failure detection.
    pub membership: MembershipSettings,
    /// Timeouts and limits of the control part.
    pub control: ControlTiming,
    /// Timeouts and limits of the groups.
    pub group: GroupSettings,
    /// The enabled mechanisms.
    pub mechanisms: NodeMechanisms,
}

impl NodeOptions {
    /// Creates options with default timeouts, limits and mechanisms.
    pub fn new(
        node: NodeId,
        site: SiteName,
        zone: ZoneName,
        deployment: DeploymentName,
        service: Option<ServiceName>,
    ) -> Self {
        NodeOptions {
            node,
            site,
            zone,
            deployment,
            service,
            seeds: Vec::new(),
            membership: MembershipSettings::default(),
            control: ControlTiming::default(),
            group: GroupSettings::default(),
            mechanisms: NodeMechanisms::default(),
        }
    }

    pub(crate) fn member_info(&self) -> MemberInfo {
        MemberInfo {
            node: self.node,
            zone: ZoneId { site: self.site.clone(), zone: self.zone.clone() },
            service: self.service.clone(),
        }
    }

    pub(crate) fn control_settings(&self) -> ControlSettings {
        ControlSettings {
            node: self.node,
            site: self.site.clone(),
            zone: self.zone.clone(),
            deployment: self.deployment.clone(),
            timing: self.control.clone(),
            group: self.group.clone(),
            mechanisms: self.mechanisms.control,
        }
    }
}
