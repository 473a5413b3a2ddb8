//! Tests of the way from settings to options.

use std::net::SocketAddr;

use quillhatch_types::{DeploymentName, Incarnation, NodeAddress, SiteName, ZoneName};

use super::*;

fn default_options() -> NodeOptions {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("address");
    let node = NodeId { address: NodeAddress(address), incarnation: Incarnation(1) };
    let (site, zone) = (SiteName::new("old").expect("name"), ZoneName::new("one").expect("name"));
    NodeOptions::new(node, site, zone, DeploymentName::new("test").expect("name"), None)
}

/// Three crates state these times: a file without them must mean what the simulation and the models ran with.
#[test]
fn the_default_settings_are_the_defaults_of_the_protocols() {
    let before = default_options();
    let mut after = before.clone();
    apply(&ControlTimings::default(), &mut after);
    assert_eq!(after.membership, before.membership);
    assert_eq!(after.group, before.group);
    after.group.validate().expect("the times fit each other");
}

#[test]
fn every_time_of_the_settings_reaches_its_protocol() {
    let times = ControlTimings {
        probe_interval: std::time::Duration::from_millis(1),
        acknowledge_timeout: std::time::Duration::from_millis(2),
        suspicion_timeout: std::time::Duration::from_millis(3),
        heartbeat_interval: std::time::Duration::from_millis(4),
        lease: std::time::Duration::from_millis(5),
        election_timeout_minimum: std::time::Duration::from_millis(6),
        election_timeout_maximum: std::time::Duration::from_millis(7),
    };
    let mut options = default_options();
    apply(&times, &mut options);
    let (membership, group) = (&options.membership, &options.group);
    let applied = [
        membership.probe_interval,
        membership.acknowledge_timeout,
        membership.suspicion_timeout,
        group.heartbeat,
        group.lease,
        group.election_timeout_minimum,
        group.election_timeout_maximum,
    ];
    assert_eq!(applied.map(|time| time.as_millis()), [1, 2, 3, 4, 5, 6, 7]);
}
