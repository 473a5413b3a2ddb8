//! Builds the decision code of a node from its settings.

use quillhatch_node::{Node, NodeOptions};
use quillhatch_settings::node_settings::ControlTimings;
use quillhatch_settings::NodeSettings;
use quillhatch_types::NodeId;

use super::StartError;
use crate::decisions::Decisions;

#[cfg(test)]
mod tests;

pub(super) fn build_node(node: NodeId, settings: &NodeSettings) -> Result<Box<dyn Decisions>, StartError> {
    let options = node_options(node, settings)?;
    Ok(Box::new(Node::new(options, rand::random())))
}

fn node_options(node: NodeId, settings: &NodeSettings) -> Result<NodeOptions, StartError> {
    let service = settings.backend.as_ref().map(|backend| backend.service.clone());
    let (site, zone) = (settings.site.clone(), settings.zone.clone());
    let mut options = NodeOptions::new(node, site, zone, settings.deployment.clone(), service);
    options.seeds = settings.seed_peers.clone();
    apply_timings(&settings.control, &mut options);
    options.group.validate()?;
    Ok(options)
}

fn apply_timings(timings: &ControlTimings, options: &mut NodeOptions) {
    options.membership.probe_interval = timings.probe_interval;
    options.membership.acknowledge_timeout = timings.acknowledge_timeout;
    options.membership.suspicion_timeout = timings.suspicion_timeout;
    options.group.heartbeat = timings.heartbeat_interval;
    options.group.lease = timings.lease;
    options.group.election_timeout_minimum = timings.election_timeout_minimum;
    options.group.election_timeout_maximum = timings.election_timeout_maximum;
}
