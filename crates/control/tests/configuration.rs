//! The configuration in force: it spreads within seconds, and nobody takes it back in time.

mod network;

use std::sync::Arc;
use std::time::Duration;

use network::fixtures::{address, configuration, places};
use network::Network;
use quillhatch_control::io::{ControlEvent, PlatformReading};
use quillhatch_control::{ControlInput, ControlMechanisms};
use quillhatch_types::{DeploymentName, Revision};

fn revisions(network: &Network) -> Vec<u64> {
    network.nodes.values().map(|node| node.control.revision().0).collect()
}

fn offer(network: &mut Network, number: u8, revision: u64) {
    let reading = PlatformReading { configuration: Some(Arc::new(configuration(revision))), machines: vec![] };
    network.feed(address(number), ControlInput::Platform(reading));
}

#[test]
fn a_revision_read_by_one_node_is_in_force_everywhere_within_five_seconds() {
    for seed in 40..50 {
        let mut network = Network::settled(seed, ControlMechanisms::default());
        network.loss = 0.05;
        offer(&mut network, 14, 2);
        let everywhere = |network: &Network| revisions(network).iter().all(|revision| *revision == 2);
        assert!(network.run_until(Duration::from_secs(5), everywhere), "{:?}", revisions(&network));
    }
}

/// The lowest revision that any node went back to after revision 3 was in force everywhere.
fn lowest_after_stale_readings(mechanisms: ControlMechanisms) -> u64 {
    let mut network = Network::settled(50, mechanisms);
    offer(&mut network, 11, 3);
    network.run(Duration::from_secs(8));
    offer(&mut network, 12, 2);
    let lowest = revisions(&network).into_iter().min().unwrap();
    network.run(Duration::from_secs(1));
    lowest.min(revisions(&network).into_iter().min().unwrap())
}

#[test]
fn a_stale_platform_takes_no_running_node_back_in_time() {
    assert_eq!(lowest_after_stale_readings(ControlMechanisms::default()), 3);
    let mechanisms = ControlMechanisms { configuration_monotonic: false, ..ControlMechanisms::default() };
    assert!(lowest_after_stale_readings(mechanisms) < 3, "the mechanism makes no difference");
}

/// The revision with which a replaced node became ready although its platform was stale.
fn revision_when_ready(mechanisms: ControlMechanisms) -> u64 {
    let mut network = Network::settled(51, mechanisms);
    network.platform = Arc::new(configuration(3));
    network.run(Duration::from_secs(8));
    let place = network.crash(address(12));
    network.platform = Arc::new(configuration(1));
    network.start(&place);
    network.run_until(Duration::from_secs(3), |network| network.node(12).ready_at.is_some());
    assert!(network.node(12).ready_at.is_some());
    network.node(12).control.revision().0
}

#[test]
fn a_starting_node_with_a_stale_platform_asks_its_peers_before_it_is_ready() {
    assert_eq!(revision_when_ready(ControlMechanisms::default()), 3);
    let mechanisms = ControlMechanisms { readiness_asks_peers: false, ..ControlMechanisms::default() };
    assert_eq!(revision_when_ready(mechanisms), 1);
}

#[test]
fn a_starting_node_without_contact_does_not_become_ready() {
    let mut network = Network::settled(52, ControlMechanisms::default());
    let place = network.crash(address(12));
    let others: Vec<_> =
        places().into_iter().map(|place| place.address).filter(|other| *other != address(12)).collect();
    network.cut([address(12)], others);
    network.start(&place);
    network.run(Duration::from_secs(10));
    assert_eq!(network.node(12).ready_at, None);
}

#[test]
fn a_configuration_of_another_deployment_is_refused() {
    let mut network = Network::settled(53, ControlMechanisms::default());
    let mut foreign = configuration(9);
    foreign.deployment = DeploymentName::new("another").unwrap();
    let reading = PlatformReading { configuration: Some(Arc::new(foreign)), machines: vec![] };
    network.feed(address(11), ControlInput::Platform(reading));
    assert_eq!(network.node(11).control.revision(), Revision(1));
    let refused = |event: &ControlEvent| matches!(event, ControlEvent::ForeignConfiguration { .. });
    assert!(network.node(11).events.iter().any(refused));
}

#[test]
fn control_traffic_stays_small_when_nothing_changes() {
    let mut network = Network::settled(54, ControlMechanisms::default());
    network.run(Duration::from_secs(5));
    let before = network.bytes_sent;
    network.run(Duration::from_secs(20));
    let per_node_and_second = (network.bytes_sent - before) / 20 / network.nodes.len() as u64;
    println!("payload bytes sent per node and second: {per_node_and_second}");
    assert!(per_node_and_second < 3 * 1024);
}

#[test]
fn a_configuration_larger_than_a_frame_reaches_a_starting_node() {
    let mut network = Network::settled(55, ControlMechanisms::default());
    let mut large = configuration(2);
    let giving = large.services[&network::fixtures::service()].clone();
    for number in 0..400 {
        let name = quillhatch_types::ServiceName::new(&format!("service-{number}")).unwrap();
        let targets = vec![];
        large.services.insert(name.clone(), quillhatch_types::ServiceConfiguration { name, targets, ..giving.clone() });
    }
    network.platform = Arc::new(large.clone());
    network.run(Duration::from_secs(8));
    let place = network.crash(address(12));
    network.platform = Arc::new(configuration(1));
    network.start(&place);
    assert!(network.run_until(Duration::from_secs(2), |network| network.node(12).ready_at.is_some()));
    assert_eq!(network.node(12).configuration.as_deref(), Some(&large));
    assert!(network.largest_payload <= quillhatch_messages::MAX_PAYLOAD_BYTES);
}
