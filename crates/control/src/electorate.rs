//! Selects the nodes that form a service's group at a site.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quillhatch_types::hash::digest;
use quillhatch_types::{Configuration, NodeAddress, ServiceName, SiteName, ZoneName};

/// The maximum size of an electorate.
pub const MAX_ELECTORATE_SIZE: usize = 5;

/// The minimum size of an electorate that tolerates the loss of a node.
pub const MIN_ELECTORATE_SIZE: usize = 3;

/// The addresses that form the group of `service` at `site`. Every node with the same configuration computes the same
/// result.
///
/// They are the service's own targets, spread over the zones. If there are fewer than [`MIN_ELECTORATE_SIZE`], the
/// site's other targets are added by rank. The size is odd, because one more member would not tolerate more losses.
pub fn electorate(configuration: &Configuration, service: &ServiceName, site: &SiteName) -> Vec<NodeAddress> {
    let own = ranked_targets(configuration, service, site, |name| name == service);
    let own_count = own.len();
    let mut chosen = spread_over_zones(own, MAX_ELECTORATE_SIZE);
    if own_count == 0 {
        return Vec::new();
    }
    if chosen.len() < MIN_ELECTORATE_SIZE {
        let other_targets = ranked_targets(configuration, service, site, |name| name != service);
        let own_addresses: BTreeSet<NodeAddress> = chosen.iter().copied().collect();
        let others = other_targets.into_iter().filter(|(address, _)| !own_addresses.contains(address)).collect();
        chosen.extend(spread_over_zones(others, MIN_ELECTORATE_SIZE - chosen.len()));
    }
    if chosen.len() % 2 == 0 {
        chosen.pop();
    }
    chosen
}

fn rank(service: &ServiceName, address: NodeAddress) -> u128 {
    digest(format!("{service}\n{address}").as_bytes()).0
}

fn ranked_targets(
    configuration: &Configuration,
    service: &ServiceName,
    site: &SiteName,
    matches: impl Fn(&ServiceName) -> bool,
) -> Vec<(NodeAddress, ZoneName)> {
    let services = configuration.services.values().filter(|candidate| matches(&candidate.name));
    let targets = services.flat_map(|candidate| candidate.targets_at(site));
    let zones: BTreeMap<NodeAddress, ZoneName> = targets.map(|target| (target.node, target.zone.clone())).collect();
    let mut ranked: Vec<(NodeAddress, ZoneName)> = zones.into_iter().collect();
    ranked.sort_by_cached_key(|(address, _)| rank(service, *address));
    ranked
}

/// Selects up to `count` addresses round-robin over the zones, in the given order within each zone.
fn spread_over_zones(ranked: Vec<(NodeAddress, ZoneName)>, count: usize) -> Vec<NodeAddress> {
    let mut zones: Vec<(ZoneName, VecDeque<NodeAddress>)> = Vec::new();
    for (address, zone) in ranked {
        match zones.iter_mut().find(|(name, _)| *name == zone) {
            Some((_, addresses)) => addresses.push_back(address),
            None => zones.push((zone, VecDeque::from([address]))),
        }
    }
    let mut chosen = Vec::new();
    while chosen.len() < count && zones.iter().any(|(_, addresses)| !addresses.is_empty()) {
        let round = zones.iter_mut().filter_map(|(_, addresses)| addresses.pop_front());
        chosen.extend(round);
    }
    chosen.truncate(count);
    chosen
}
