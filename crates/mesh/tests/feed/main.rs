//! Changes in the store reach the whole fleet in time whatever fails, and need no more calls to the store in a large
//! fleet than in a small one.

mod exploration;
mod fleet;
mod node;
mod queries;
mod reads;
mod restores;
mod standby;
mod store;

use std::time::Duration;

use fleet::{Fleet, BOUNDS, SHORT_BOUNDS};
use node::{NodeFault, StoreAccess};
use test_case::test_case;

/// The part of the bound that is reserved for a node's own work, including its running calls.
const RESERVE: Duration = Duration::from_millis(500);

fn time_limit() -> Duration {
    BOUNDS.shortest() - RESERVE
}

/// Makes `count` changes, one every 200 ms; returns the number of calls to the store in that time.
fn calls_for_changes(nodes: usize, zones: usize, count: u64) -> usize {
    let mut fleet = Fleet::new(nodes, zones, 1);
    for number in 0..count {
        fleet.set_draining(number as usize % nodes, number % 2 == 0, number + 2);
        fleet.run(200);
    }
    fleet.run_until_up_to_date(time_limit());
    fleet.store.calls
}

#[test]
fn a_large_fleet_needs_no_more_store_calls_for_changes_than_a_small_one() {
    let small = calls_for_changes(30, 5, 100);
    let large = calls_for_changes(300, 5, 100);
    assert!(large as f64 <= 1.5 * small as f64, "{small} calls of 30 nodes, {large} of 300");
    assert!(small < 100, "{small} calls");
}

#[test_case(10, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
#[test_case(1000, 1; "one zone")]
fn a_change_reaches_all_nodes_within_half_of_the_bound(nodes: usize, zones: usize) {
    let mut fleet = Fleet::new(nodes, zones, 2);
    for number in 0..5 {
        fleet.set_draining(number, true, 2);
        let took = fleet.run_until_up_to_date(time_limit());
        assert!(took <= BOUNDS.shortest() / 2, "{took:?}");
        fleet.run(333);
    }
}

#[test]
fn no_node_answers_more_queries_than_those_of_its_few_children() {
    let mut fleet = Fleet::new(1000, 5, 3);
    for node in &mut fleet.nodes {
        (node.answered_queries, node.sent_changes) = (0, 0);
    }
    for number in 0..10 {
        fleet.set_draining(number, true, 2);
        fleet.run(1_000);
    }
    let busiest = fleet.nodes.iter().map(|node| node.answered_queries).max().expect("nodes");
    let max_sent = fleet.nodes.iter().map(|node| node.sent_changes).max().expect("nodes");
    assert!(busiest < 10 * 20 * 3, "{busiest} responses in 10 s");
    assert!(max_sent <= 10 * 20 * 2, "{max_sent} changes sent for 10");
}

/// Injects a fault into some nodes.
fn inject(fleet: &mut Fleet, nodes: &[usize], fault: NodeFault, access: StoreAccess) {
    for number in nodes {
        fleet.nodes[*number].fault = fault;
        fleet.nodes[*number].store_access = access;
    }
}

#[test_case(NodeFault::Crashed, StoreAccess::Available, 1; "killed")]
#[test_case(NodeFault::Crashed, StoreAccess::Available, 2; "two killed")]
#[test_case(NodeFault::Crashed, StoreAccess::Available, 3; "all killed")]
#[test_case(NodeFault::Unresponsive, StoreAccess::Available, 1; "frozen")]
#[test_case(NodeFault::Unresponsive, StoreAccess::Available, 2; "two frozen")]
#[test_case(NodeFault::FalseStatus, StoreAccess::Available, 1; "one with a false status")]
#[test_case(NodeFault::None, StoreAccess::Refused, 2; "refused by the store")]
#[test_case(NodeFault::None, StoreAccess::Refused, 3; "all refused by the store")]
#[test_case(NodeFault::None, StoreAccess::Unresponsive, 2; "watches that hang")]
#[test_case(NodeFault::None, StoreAccess::Unresponsive, 3; "all watches that hang")]
fn a_change_reaches_all_nodes_in_time_when_readers_fail(fault: NodeFault, access: StoreAccess, count: usize) {
    for (nodes, zones) in [(10, 3), (100, 5), (1000, 5), (60, 1)] {
        for phase in [0, 170, 450, 900, 1_700] {
            let mut fleet = Fleet::new(nodes, zones, 4);
            fleet.run(phase);
            let readers = fleet.readers();
            inject(&mut fleet, &readers[..count], fault, access);
            let draining_node = (0..nodes).find(|number| !readers.contains(number)).expect("another node");
            fleet.set_draining(draining_node, true, 2);
            let took = fleet.run_until_up_to_date(time_limit());
            assert!(took <= time_limit(), "{nodes} nodes, {phase}: {took:?}");
        }
    }
}

#[test_case(NodeFault::None, StoreAccess::Unresponsive; "watches that hang")]
#[test_case(NodeFault::None, StoreAccess::Refused; "refused by the store")]
#[test_case(NodeFault::Crashed, StoreAccess::Available; "killed")]
#[test_case(NodeFault::Unresponsive, StoreAccess::Available; "frozen")]
fn a_change_reaches_all_nodes_within_a_short_bound_when_all_readers_fail(fault: NodeFault, access: StoreAccess) {
    let bound = SHORT_BOUNDS.shortest();
    for (nodes, zones) in [(12, 3), (15, 3), (100, 5)] {
        for phase in (0..2_000).step_by(100) {
            let mut fleet = Fleet::with_bounds(nodes, zones, 12, SHORT_BOUNDS);
            fleet.set_draining(0, false, 2);
            fleet.run(phase);
            let readers = fleet.readers();
            inject(&mut fleet, &readers, fault, access);
            let draining_node = (0..nodes).find(|number| !readers.contains(number)).expect("another node");
            fleet.set_draining(draining_node, true, 3);
            let took = fleet.run_until_up_to_date(bound * 2);
            assert!(took <= bound, "{took:?} of {bound:?}: {nodes} nodes, {phase} ms after another change");
        }
    }
}

/// How long a node that the store serves takes to learn a change that comes `gap_ms` after another one. `delay_ms` later
/// the store stops responding to all readers and standbys and to others, seven tenths of the nodes in all.
fn learns_second_change_within(nodes: usize, gap_ms: u64, delay_ms: u64, seed: u64) -> Duration {
    let mut fleet = Fleet::with_bounds(nodes, 3, seed, SHORT_BOUNDS);
    fleet.run(seed * 70 % 1_000);
    fleet.set_draining(0, true, 2);
    fleet.run(gap_ms);
    fleet.set_draining(0, false, 3);
    let written = fleet.now;
    fleet.run(delay_ms);
    let mut turned_away: Vec<usize> = (0..nodes).collect();
    turned_away.sort_by_key(|number| {
        let role = &fleet.nodes[*number].role;
        (!role.is_reader && !role.is_standby, (*number as u64 * 7 + seed * 5) % nodes as u64)
    });
    turned_away.truncate(nodes * 7 / 10);
    inject(&mut fleet, &turned_away, NodeFault::None, StoreAccess::Unresponsive);
    let is_served = |number: &usize| !turned_away.contains(number);
    let served: Vec<usize> = (0..nodes).filter(is_served).collect();
    while served.iter().any(|number| fleet.nodes[*number].position() != fleet.store.position) {
        fleet.tick();
        assert!(fleet.now.since(written) < SHORT_BOUNDS.shortest() * 3, "seed {seed}");
    }
    fleet.now.since(written)
}

/// Checks [`learns_second_change_within`] for all combinations of fleet sizes, gaps and delays.
fn check_second_changes(sizes: &[usize], gaps_ms: &[u64], delays_ms: &[u64], seeds: u64) {
    let bound = SHORT_BOUNDS.shortest();
    let (mut late, mut worst, mut count) = (0, Duration::ZERO, 0);
    for nodes in sizes {
        for gap_ms in gaps_ms {
            for delay_ms in delays_ms {
                for seed in 0..seeds {
                    let took = learns_second_change_within(*nodes, *gap_ms, *delay_ms, seed);
                    (late, worst, count) = (late + usize::from(took > bound), worst.max(took), count + 1);
                }
            }
        }
    }
    assert_eq!(late, 0, "of {count} schedules are late, the latest by {:?}", worst.saturating_sub(bound));
}

#[test]
fn a_change_soon_after_another_reaches_served_nodes_in_time_when_all_watchers_are_turned_away() {
    check_second_changes(&[12, 14, 30], &[150, 400], &[0, 100, 250, 500], 12);
}

#[test]
fn a_change_reaches_served_nodes_in_time_when_most_nodes_lose_the_store_with_it() {
    check_second_changes(&[21, 30, 60], &[50, 150], &[0, 100], 80);
}

#[test_case(NodeFault::Crashed; "killed")]
#[test_case(NodeFault::Unresponsive; "frozen")]
#[test_case(NodeFault::FalseStatus; "false status")]
fn a_change_reaches_all_nodes_in_time_when_parents_fail(fault: NodeFault) {
    for phase in [0, 300, 700, 950] {
        let mut fleet = Fleet::new(1000, 5, 5);
        fleet.run(phase);
        let readers = fleet.readers();
        let mut parents: Vec<usize> = (0..1000).map(|number| fleet.candidates(number)[0]).collect();
        parents.sort_unstable();
        parents.dedup();
        parents.retain(|parent| !readers.contains(parent));
        let failing: Vec<usize> = parents.iter().step_by(3).copied().collect();
        inject(&mut fleet, &failing, fault, StoreAccess::Available);
        fleet.set_draining(readers[0], true, 2);
        fleet.run_until_up_to_date(time_limit());
    }
}

#[test_case(NodeFault::Crashed; "killed")]
#[test_case(NodeFault::Unresponsive; "frozen")]
fn an_isolated_node_reads_the_store_itself(fault: NodeFault) {
    let mut fleet = Fleet::new(300, 5, 8);
    let isolated = (0..300).max_by_key(|number| fleet.nodes[*number].role.nodes_ahead).expect("nodes");
    let candidates = fleet.candidates(isolated);
    inject(&mut fleet, &candidates, fault, StoreAccess::Available);
    fleet.run(4_000);
    fleet.set_draining(isolated, true, 2);
    fleet.run_until_up_to_date(time_limit());
}

#[test_case(12, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
fn an_outage_causes_few_calls_and_all_nodes_recover_soon(nodes: usize, zones: usize) {
    let mut fleet = Fleet::new(nodes, zones, 6);
    fleet.set_down(true);
    fleet.run(8_000);
    let calls = fleet.store.calls;
    assert!(calls <= 3 * 8 + 60 * zones, "{calls} calls of {nodes} nodes in 8 s");
    assert!(fleet.nodes.iter().all(|node| node.loss.is_partitioned(fleet.now)), "all nodes know of the outage");
    fleet.set_draining(0, true, 2);
    fleet.set_down(false);
    let took = fleet.run_until_up_to_date(BOUNDS.recovery);
    assert!(took <= BOUNDS.recovery, "{took:?}");
    fleet.run(3_000);
    assert!(fleet.nodes.iter().all(|node| node.loss.since().is_none()), "all nodes know that it is over");
}

#[test_case(12, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
fn after_an_outage_no_node_still_counts_a_failed_call_of_its_own(nodes: usize, zones: usize) {
    for outage in [900, 2_300, 4_100, 8_000] {
        let mut fleet = Fleet::new(nodes, zones, 9);
        fleet.set_down(true);
        fleet.run(outage);
        let failed = fleet.nodes.iter().filter(|node| node.own_call_failed).count();
        let calls = fleet.store.calls;
        fleet.set_down(false);
        fleet.run(BOUNDS.recovery.as_millis() as u64);
        let still_failed = fleet.nodes.iter().filter(|node| node.own_call_failed).count();
        assert_eq!(still_failed, 0, "of {failed} after {outage} ms");
        let new_calls = fleet.store.calls - calls;
        let watch_calls = 3 * 6 + 10;
        assert!(new_calls <= failed + watch_calls, "{new_calls} calls to verify {failed} failed ones");
    }
}

#[test]
fn machines_that_the_store_refuses_for_long_rarely_call_it() {
    let mut fleet = Fleet::new(300, 5, 10);
    let readers = fleet.readers();
    inject(&mut fleet, &readers, NodeFault::None, StoreAccess::Refused);
    fleet.run(4_000);
    let refused: Vec<usize> = (0..300).filter(|number| fleet.nodes[*number].own_call_failed).collect();
    let (before, max_pause) = (fleet.store.calls, BOUNDS.recovery / 2);
    fleet.run(20_000);
    let calls = fleet.store.calls - before;
    let max_calls_each = Duration::from_secs(20).div_duration_f64(max_pause / 2) as usize;
    let watch_calls = 3 * 20;
    assert!(calls <= max_calls_each * refused.len() + watch_calls, "{calls} calls of {} refused nodes", refused.len());
}

#[test]
fn all_nodes_follow_a_store_that_is_restored_from_a_backup_and_none_loses_a_drain() {
    let mut fleet = Fleet::new(100, 5, 7);
    for number in 0..5 {
        fleet.set_draining(number, true, 2);
    }
    fleet.run_until_up_to_date(time_limit());
    fleet.set_down(true);
    fleet.run(1_500);
    fleet.restore(5);
    fleet.set_down(false);
    fleet.run_until_up_to_date(BOUNDS.recovery);
    assert!(fleet.nodes.iter().all(|node| node.position().era == 1));
    // The restored store assigns the same revisions again.
    fleet.set_draining(50, true, 2);
    fleet.run_until_up_to_date(time_limit());
    for node in &fleet.nodes {
        let update = node.replica.update_since(Default::default(), fleet.now).expect("a full update");
        let draining = update.changes.iter().filter(|revised| match &revised.change {
            quillhatch_mesh::replica::Change::Target(_, registration) => registration.draining,
            _ => false,
        });
        assert_eq!(draining.count(), 6, "targets that were draining before the store was restored still drain");
    }
}
