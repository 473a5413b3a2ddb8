//! Status changes that nodes report under failures, message loss, pauses and partitions.

mod network;

use std::time::Duration;

use network::{address, zone, Network};
use quillhatch_membership::{
    MemberStatus, MembershipInput, MembershipMechanisms, MembershipMessage, MembershipSettings, ZoneId,
};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

fn six_zones() -> Vec<ZoneId> {
    let names = ["a", "b", "c"];
    ["old", "new"].iter().flat_map(|site| names.iter().map(|name| zone(site, name))).collect()
}

fn settled(mechanisms: MembershipMechanisms) -> Network {
    let settings = MembershipSettings { mechanisms, ..MembershipSettings::default() };
    let mut network = Network::new(&six_zones(), 4, settings, 1);
    network.run(SECOND * 10);
    network
}

#[test]
fn all_members_find_each_other_from_two_seeds() {
    let network = settled(MembershipMechanisms::default());
    for (address, node) in &network.nodes {
        assert_eq!(node.reachable().count(), 23, "as {address} sees it");
    }
}

#[test]
fn a_failed_member_is_reported_by_all_others_within_the_time_limit() {
    let mut network = settled(MembershipMechanisms::default());
    let killed_at = network.now;
    network.stop(address(7));
    network.run(SECOND * 10);
    let first = network.reports_of(MemberStatus::Failed, killed_at).map(|report| report.at).min().unwrap();
    assert!(first.since(killed_at) < Duration::from_millis(2_500), "found after {:?}", first.since(killed_at));
    assert_eq!(network.reports_of(MemberStatus::Failed, killed_at).count(), 23);
}

#[test]
fn a_restarted_node_replaces_its_older_incarnation() {
    let mut network = settled(MembershipMechanisms::default());
    let restarted_at = network.now;
    network.start(address(7), zone("old", "b"), 1_007);
    network.run(SECOND * 5);
    let failed =
        network.reports_of(MemberStatus::Failed, restarted_at).filter(|report| report.subject.incarnation.0 == 7);
    assert_eq!(failed.count(), 24, "reported by the 23 others and by the new incarnation itself");
    for node in network.nodes.values() {
        let incarnations: Vec<u64> = node
            .reachable()
            .filter(|info| info.node.address == address(7))
            .map(|info| info.node.incarnation.0)
            .collect();
        assert!(incarnations == [1_007] || node.own().node.address == address(7));
    }
}

/// Breaks the link between two running members and returns the number of failures reported.
fn false_failures_with_one_broken_link(mechanisms: MembershipMechanisms) -> usize {
    let mut network = settled(mechanisms);
    let since = network.now;
    network.broken_links.insert((address(5), address(6)));
    network.run(SECOND * 20);
    network.reports_of(MemberStatus::Failed, since).count()
}

#[test]
fn a_broken_link_between_two_members_fails_no_member() {
    assert_eq!(false_failures_with_one_broken_link(MembershipMechanisms::default()), 0);
}

#[test]
fn without_indirect_probes_and_refutation_a_broken_link_fails_a_member() {
    let off = MembershipMechanisms { indirect_probes: false, refutation: false, ..MembershipMechanisms::default() };
    assert!(false_failures_with_one_broken_link(off) > 0);
}

/// Pauses a node while it suspects a member, which resumes and refutes during the pause. Returns how often the node
/// declares the member failed.
fn failures_declared_after_a_pause(mechanisms: MembershipMechanisms) -> usize {
    let mut network = settled(mechanisms);
    let (node, member) = (address(9), address(10));
    network.paused.insert(member);
    let suspects = |network: &Network| {
        network.reports.iter().any(|report| report.observer == node && report.status == MemberStatus::Suspected)
    };
    while !suspects(&network) {
        network.run(Duration::from_millis(10));
    }
    let since = network.now;
    network.paused.insert(node);
    network.paused.remove(&member);
    network.run(SECOND * 8);
    network.paused.remove(&node);
    network.run(SECOND * 5);
    let failures = network.reports_of(MemberStatus::Failed, since);
    failures.filter(|report| report.observer == node && report.subject.address == member).count()
}

#[test]
fn a_node_that_was_paused_fails_no_member() {
    assert_eq!(failures_declared_after_a_pause(MembershipMechanisms::default()), 0);
}

#[test]
fn without_the_pause_guard_a_paused_node_fails_a_member() {
    let off = MembershipMechanisms { pause_guard: false, ..MembershipMechanisms::default() };
    assert!(failures_declared_after_a_pause(off) > 0);
}

#[test]
fn a_paused_member_becomes_reachable_again() {
    let mut network = settled(MembershipMechanisms::default());
    network.paused.insert(address(9));
    network.run(SECOND * 8);
    network.paused.remove(&address(9));
    network.run(SECOND * 10);
    for node in network.nodes.values() {
        assert_eq!(node.reachable().count(), 23);
    }
}

#[test_case(&[("old", "a")]; "one zone")]
#[test_case(&[("old", "a"), ("old", "b"), ("old", "c")]; "a whole site")]
fn a_partition_is_reported_and_heals(partitioned: &[(&str, &str)]) {
    let mut network = settled(MembershipMechanisms::default());
    let partitioned: Vec<ZoneId> = partitioned.iter().map(|(site, name)| zone(site, name)).collect();
    let is_partitioned = |candidate: &ZoneId| partitioned.contains(candidate);
    for left in six_zones().into_iter().filter(|candidate| is_partitioned(candidate)) {
        for right in six_zones().into_iter().filter(|candidate| !is_partitioned(candidate)) {
            network.partitioned_zones.insert((left.clone(), right));
        }
    }
    network.run(SECOND * 12);
    for node in network.nodes.values() {
        let same_side = six_zones()
            .iter()
            .filter(|candidate| is_partitioned(candidate) == is_partitioned(&node.own().zone))
            .count()
            * 4;
        assert_eq!(node.reachable().count(), same_side - 1, "as {} sees it", node.own().node);
    }
    network.partitioned_zones.clear();
    network.run(SECOND * 12);
    for node in network.nodes.values() {
        assert_eq!(node.reachable().count(), 23, "as {} sees it", node.own().node);
    }
}

#[test]
fn a_member_that_leaves_is_reported_without_a_failure() {
    let mut network = settled(MembershipMechanisms::default());
    let since = network.now;
    network.step(address(3), MembershipInput::Leave);
    assert_eq!(network.nodes[&address(3)].next_wake(), None, "a node that left has no timers");
    network.stop(address(3));
    network.run(SECOND * 8);
    assert_eq!(network.reports_of(MemberStatus::Left, since).count(), 23);
    assert_eq!(network.reports_of(MemberStatus::Failed, since).count(), 0);
}

#[test]
fn lost_messages_cause_no_failure() {
    let mut network = settled(MembershipMechanisms::default());
    let since = network.now;
    network.loss = 0.05;
    network.run(SECOND * 60);
    assert_eq!(network.reports_of(MemberStatus::Failed, since).count(), 0);
}

/// Bytes sent per node and second in an idle fleet, excluding frame and transport overhead.
fn idle_bytes_per_node(per_zone: u16) -> usize {
    let mut network = Network::new(&six_zones(), per_zone, MembershipSettings::default(), 1);
    network.run(SECOND * 60);
    network.sent_bytes.clear();
    network.run(SECOND * 10);
    network.sent_bytes.values().sum::<usize>() / network.nodes.len() / 10
}

#[test]
fn bytes_sent_per_node_do_not_grow_with_the_fleet() {
    let (small, large) = (idle_bytes_per_node(4), idle_bytes_per_node(12));
    assert!(large <= small * 3 / 2, "{small} bytes per second with 24 nodes, {large} with 72");
    assert!(large < 1_500, "{large} bytes per second");
}

#[test]
fn malformed_messages_are_refused() {
    for bytes in [&b""[..], &[8, 9][..], &[1, 90, 0, 0, 0, 0, 0][..], &[255; 40][..]] {
        assert!(MembershipMessage::decode(bytes).is_err());
    }
}
