//! Tests that the timing settings are applied to the protocol options.

use std::net::SocketAddr;

use quillhatch_types::{DeploymentName, Incarnation, NodeAddress, SiteName, ZoneName};

use super::*;

fn default_options() -> NodeOptions {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("address");
    let node = NodeId { address: NodeAddress(address), incarnation: Incarnation(1) };
    let (site, zone) = (SiteName::new("old").expect("name"), ZoneName::new("one").expect("name"));
    NodeOptions::new(node, site, zone, DeploymentName::new("test").expect("name"), None)
}

/// The settings, membership and group crates each define these defaults. A settings file that omits them must get the values
/// that the simulation and the models ran with.
#[test]
fn default_timings_equal_the_protocol_defaults() {
    let defaults = default_options();
    let mut applied_options = defaults.clone();
    apply_timings(&ControlTimings::default(), &mut applied_options);
    assert_eq!(applied_options.membership, defaults.membership);
    assert_eq!(applied_options.group, defaults.group);
    applied_options.group.validate().expect("consistent timings");
}

#[test]
fn every_timing_setting_is_applied() {
    let timings = ControlTimings {
        probe_interval: std::time::Duration::from_millis(1),
        acknowledge_timeout: std::time::Duration::from_millis(2),
        suspicion_timeout: std::time::Duration::from_millis(3),
        heartbeat_interval: std::time::Duration::from_millis(4),
        lease: std::time::Duration::from_millis(5),
        election_timeout_minimum: std::time::Duration::from_millis(6),
        election_timeout_maximum: std::time::Duration::from_millis(7),
    };
    let mut options = default_options();
    apply_timings(&timings, &mut options);
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
    assert_eq!(applied.map(|timing| timing.as_millis()), [1, 2, 3, 4, 5, 6, 7]);
}
