//! Tests that electorates have an odd size, prefer the service's own targets and are spread over the zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quillhatch_types::{
    Configuration, DeploymentName, Epoch, Formation, NodeAddress, Revision, ServiceConfiguration, ServiceName,
    SiteName, TargetConfiguration, ZoneName,
};
use test_case::test_case;

use crate::electorate::electorate;

fn site() -> SiteName {
    SiteName::new("here").unwrap()
}

fn service(name: &str, network: u8, targets: u8) -> ServiceConfiguration {
    let target = |number: u8| TargetConfiguration {
        node: NodeAddress(([10, 0, network, number], 1).into()),
        site: site(),
        zone: ZoneName::new(["a", "b", "c"][usize::from(number % 3)]).unwrap(),
        slots: 1,
        connections: 1,
    };
    ServiceConfiguration {
        name: ServiceName::new(name).unwrap(),
        hosts: vec![],
        slot_count: 8,
        claim_retention: Duration::from_secs(1),
        claim_capacity: 1,
        replay_limit_bytes: 1,
        refused_before_running: vec![],
        minimum_time: Duration::ZERO,
        queue_timeout: Duration::ZERO,
        site_shares: BTreeMap::new(),
        minimum_epoch: Epoch(0),
        classes: vec![],
        targets: (0..targets).map(target).collect(),
    }
}

fn configuration(own: u8, others: u8) -> Configuration {
    let services = [service("own", 1, own), service("other", 2, others)];
    Configuration {
        deployment: DeploymentName::new("test").unwrap(),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![],
        services: services.into_iter().map(|service| (service.name.clone(), service)).collect(),
    }
}

#[test_case(0, 5 => (0, 0); "no target at the site")]
#[test_case(1, 0 => (1, 1); "a single target")]
#[test_case(2, 0 => (1, 1); "two tolerate no more losses than one")]
#[test_case(1, 5 => (1, 3); "one and targets of another service")]
#[test_case(2, 5 => (2, 3); "two and a target of another service")]
#[test_case(3, 5 => (3, 3); "three")]
#[test_case(4, 5 => (3, 3); "four")]
#[test_case(9, 5 => (5, 5); "many")]
fn the_electorate_has_an_odd_size_and_prefers_own_targets(own: u8, others: u8) -> (usize, usize) {
    let configuration = configuration(own, others);
    let members = electorate(&configuration, &ServiceName::new("own").unwrap(), &site());
    let own_targets: BTreeSet<NodeAddress> =
        configuration.services[&ServiceName::new("own").unwrap()].targets.iter().map(|target| target.node).collect();
    (members.iter().filter(|member| own_targets.contains(member)).count(), members.len())
}

#[test]
fn members_are_spread_over_the_zones() {
    let configuration = configuration(9, 0);
    let members = electorate(&configuration, &ServiceName::new("own").unwrap(), &site());
    let targets = &configuration.services[&ServiceName::new("own").unwrap()].targets;
    let zone = |member: &NodeAddress| targets.iter().find(|target| target.node == *member).unwrap().zone.clone();
    let mut counts: BTreeMap<ZoneName, usize> = BTreeMap::new();
    members.iter().for_each(|member| *counts.entry(zone(member)).or_default() += 1);
    assert!(counts.len() == 3 && counts.values().all(|count| *count <= 2), "{counts:?}");
}
