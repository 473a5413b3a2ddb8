//! From which nodes a service's group at a site is formed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quillhatch_types::hash::digest;
use quillhatch_types::{Configuration, NodeAddress, ServiceName, SiteName, ZoneName};

/// The largest electorate.
pub const LARGEST_ELECTORATE: usize = 5;

/// The smallest electorate that outlives the loss of a node.
pub const SMALLEST_ELECTORATE: usize = 3;

/// The addresses that the group of `service` at `site` is formed from, the same on every node with this configuration.
///
/// They are the service's own targets, spread over the zones, topped up by rank from the site's other targets if there
/// are fewer than [`SMALLEST_ELECTORATE`]. Their number is odd: an even one outlives no more losses than one less.
pub fn electorate(configuration: &Configuration, service: &ServiceName, site: &SiteName) -> Vec<NodeAddress> {
    let own = ranked_targets(configuration, service, site, |name| name == service);
    let own_count = own.len();
    let mut chosen = spread_over_zones(own, LARGEST_ELECTORATE);
    if own_count == 0 {
        return Vec::new();
    }
    if chosen.len() < SMALLEST_ELECTORATE {
        let neighbours = ranked_targets(configuration, service, site, |name| name != service);
        let known: BTreeSet<NodeAddress> = chosen.iter().copied().collect();
        let others = neighbours.into_iter().filter(|(address, _)| !known.contains(address)).collect();
        chosen.extend(spread_over_zones(others, SMALLEST_ELECTORATE - chosen.len()));
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
    wanted: impl Fn(&ServiceName) -> bool,
) -> Vec<(NodeAddress, ZoneName)> {
    let services = configuration.services.values().filter(|candidate| wanted(&candidate.name));
    let targets = services.flat_map(|candidate| candidate.targets_at(site));
    let zones: BTreeMap<NodeAddress, ZoneName> = targets.map(|target| (target.node, target.zone.clone())).collect();
    let mut ranked: Vec<(NodeAddress, ZoneName)> = zones.into_iter().collect();
    ranked.sort_by_cached_key(|(address, _)| rank(service, *address));
    ranked
}

/// Takes one address of each zone in turn, each zone's in the given order.
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
