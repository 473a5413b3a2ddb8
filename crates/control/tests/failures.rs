//! Failed, stopped, paused and replaced nodes.

mod network;

use std::sync::Arc;
use std::time::Duration;

use network::fixtures::{address, addresses, configuration, service, site};
use network::Network;
use quillhatch_control::io::{MemberChange, MemberStatus};
use quillhatch_control::{ControlInput, ControlMechanisms};
use quillhatch_types::{Configuration, NodeAddress, SlotState};
use test_case::test_case;

/// Whether every slot of the site is open at a running node.
fn all_slots_open(network: &Network, name: &str) -> bool {
    let table = network.table(name);
    table.slots.iter().all(|assignment| match &assignment.state {
        SlotState::Owned { owner } => network
            .nodes
            .get(&owner.address)
            .is_some_and(|node| node.id == *owner && node.owner.owns(network.now, assignment.slot)),
        _ => false,
    })
}

#[test_case(true; "the leader")]
#[test_case(false; "another gate")]
fn the_slots_of_a_failed_gate_are_open_elsewhere_within_three_seconds(crash_leader: bool) {
    let mut longest = Duration::ZERO;
    for seed in 200..220 {
        let mut network = Network::settled(seed, ControlMechanisms::default());
        let leader = network.leader("old");
        let mut gates = addresses("old").into_iter().take(3);
        let victim: NodeAddress = gates.rfind(|address| (*address == leader) == crash_leader).unwrap();
        network.crash(victim);
        let failed = network.now;
        let open = network.run_until(Duration::from_secs(3), |network| all_slots_open(network, "old"));
        assert!(open, "seed {seed}: a slot has no owner after three seconds");
        assert_eq!(network.overlapping_owners, 0);
        longest = longest.max(network.now.since(failed));
    }
    println!("longest time until every slot was open again: {longest:?}");
}

#[test]
fn every_node_is_replaced_one_by_one_and_nothing_runs_twice() {
    let mut network = Network::settled(30, ControlMechanisms::default());
    for place in network::fixtures::places() {
        network.feed(place.address, ControlInput::Stop { grace: Duration::from_secs(10) });
        let exits =
            network.run_until(Duration::from_secs(10), |network| network.nodes[&place.address].exit_at.is_some());
        assert!(exits);
        network.crash(place.address);
        network.start(&place);
        let started = network.now;
        let ready =
            network.run_until(Duration::from_secs(2), |network| network.nodes[&place.address].ready_at.is_some());
        assert!(ready, "{} was not ready {:?} after its start", place.address, network.now.since(started));
        network.run(Duration::from_secs(5));
    }
    assert!(network.run_until(Duration::from_secs(5), |network| network.is_settled() && all_slots_open(network, "old")));
    assert_eq!(network.doubled_keys(), 0);
    assert_eq!(network.overlapping_owners, 0);
    assert_eq!(network.table("old").voters.len(), 3);
}

#[test]
fn a_planned_stop_hands_the_slots_on_before_the_exit() {
    let mut network = Network::settled(31, ControlMechanisms::default());
    let leader = network.leader("old");
    network.feed(leader, ControlInput::Stop { grace: Duration::from_secs(30) });
    assert!(!network.nodes[&leader].gate_open, "the gate refuses from the moment of the stop");
    let begun = network.now;
    assert!(network.run_until(Duration::from_secs(10), |network| network.nodes[&leader].exit_at.is_some()));
    assert!(network.now.since(begun) < Duration::from_secs(4));
    assert!(all_slots_open(&network, "old"), "the slots were handed on first");
}

#[test]
fn a_node_that_is_replaced_for_good_stays_until_its_group_has_let_it_go() {
    let mut network = Network::settled(33, ControlMechanisms::default());
    let leader = network.leader("old");
    let gone = addresses("old").into_iter().take(3).find(|gate| *gate != leader).expect("a follower");
    // Other nodes take part in the group late, as they do when messages are lost.
    let others = addresses("old").into_iter().filter(|address| *address != leader);
    network.cut([leader], others.filter(|address| *address != gone).collect::<Vec<_>>());
    network.platform = Arc::new(without_target(gone));
    network.read_platform(gone);
    network.read_platform(leader);
    network.feed(gone, ControlInput::Stop { grace: Duration::from_secs(30) });
    network.run(Duration::from_secs(2));
    assert_eq!(network.nodes[&gone].exit_at, None, "the group has no majority without its vote");
    network.cuts.clear();
    assert!(network.run_until(Duration::from_secs(20), |network| network.nodes[&gone].exit_at.is_some()));
    assert!(network.table("old").voters.iter().all(|voter| voter.address != gone));
}

/// The second configuration, in which a target is no more.
fn without_target(gone: NodeAddress) -> Configuration {
    let mut configuration = configuration(2);
    let service = configuration.services.get_mut(&service()).expect("the service");
    service.targets.retain(|target| target.node != gone);
    configuration
}

/// A gate cut off from its leader is reported failed at once, while its lease still runs.
fn failure_reported_early(mechanisms: ControlMechanisms) -> u32 {
    let mut network = Network::settled(32, mechanisms);
    let leader = network.leader("old");
    let gates: Vec<NodeAddress> = addresses("old").into_iter().take(3).collect();
    let victim = *gates.iter().rfind(|address| **address != leader).unwrap();
    network.cut(
        [victim],
        network::fixtures::places()
            .into_iter()
            .map(|place| place.address)
            .filter(|other| *other != victim)
            .collect::<Vec<_>>(),
    );
    let node = &network.nodes[&victim];
    let (id, zone) = (node.id, node.place.zone.clone());
    let status = MemberStatus::Failed;
    network.member(MemberChange { node: id, site: site("old"), zone, service: Some(service()), status });
    network.run(Duration::from_secs(3));
    network.overlapping_owners
}

#[test]
fn slots_of_a_silent_owner_wait_for_the_end_of_its_lease() {
    assert_eq!(failure_reported_early(ControlMechanisms::default()), 0);
    let mechanisms = ControlMechanisms { takeover_waits_for_lease: false, ..ControlMechanisms::default() };
    assert!(failure_reported_early(mechanisms) > 0, "the mechanism makes no difference");
}

#[test]
fn a_machine_that_the_platform_lists_as_leaving_takes_no_call_and_comes_back() {
    let mut network = Network::settled(33, ControlMechanisms::default());
    network.leaving.insert(address(12));
    assert!(network.run_until(Duration::from_secs(4), |network| !network.node(12).gate_open));
    network.run(Duration::from_secs(2));
    assert_eq!(network.table("old").gates.len(), 2, "idle and removed");
    network.leaving.clear();
    assert!(network.run_until(Duration::from_secs(6), |network| network.node(12).gate_open));
    assert_eq!(network.doubled_keys(), 0);
}

#[test]
fn a_site_without_memory_starts_above_every_epoch_and_takes_no_slot_of_the_other() {
    let mut network = Network::settled(34, ControlMechanisms::default());
    let intent = quillhatch_control::operator::Intent::MoveShare {
        service: service(),
        from: site("old"),
        to: site("new"),
        percent: 50,
    };
    use quillhatch_control::operator::{OperatorReply, OperatorRequest};
    let reply = network.operator(address(14), OperatorRequest::Plan { intent });
    let OperatorReply::Planned { plan } = reply else { panic!("{reply}") };
    network.operator(address(14), OperatorRequest::Confirm { plan: plan.id });
    assert!(network.run_until(Duration::from_secs(30), |network| network.owned("new") == 8));
    network.run(Duration::from_secs(2));
    network.feed(address(14), ControlInput::FetchTable { service: service(), site: site("old") });
    network.run(Duration::from_secs(1));
    let before = network.table("old");
    let mut existing = network::fixtures::configuration(2);
    existing.formation = quillhatch_types::Formation::Existing;
    network.platform = std::sync::Arc::new(existing);
    let places: Vec<_> = network::fixtures::places().into_iter().filter(|place| place.is_gate()).collect();
    for place in places.into_iter().filter(|place| place.site == site("old")) {
        network.crash(place.address);
        network.start(&place);
    }
    let settled = network.run_until(Duration::from_secs(40), |network| {
        let node = network.node(11);
        node.gate_open && node.tables.get(&site("old")).is_some_and(|table| table.gates.len() == 3)
    });
    assert!(settled);
    let after = network.table("old");
    assert!(after.epoch > before.epoch && after.generation > before.generation);
    assert!(after.claims_lost, "nothing can prove which keys ran");
    assert_eq!((network.owned("old"), network.owned("new")), (8, 8));
}
