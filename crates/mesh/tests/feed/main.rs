//! Changes of the store reach a whole fleet in time whatever fails, and cost no more calls in a large one.

mod exploration;
mod fleet;
mod node;
mod store;

use std::time::Duration;

use fleet::{Fleet, BOUNDS, SHORT_BOUNDS};
use node::{Access, Ailment};
use test_case::test_case;

/// What remains of the bound for the node's own work, its calls under way included.
const RESERVE: Duration = Duration::from_millis(500);

fn in_time() -> Duration {
    BOUNDS.shortest() - RESERVE
}

/// `count` changes, one each 200 ms; returns the calls of the store meanwhile.
fn calls_for_changes(nodes: usize, zones: usize, count: u64) -> usize {
    let mut fleet = Fleet::new(nodes, zones, 1);
    for number in 0..count {
        fleet.drain(number as usize % nodes, number % 2 == 0, number + 2);
        fleet.play(200);
    }
    fleet.catch_up(in_time());
    fleet.store.calls
}

#[test]
fn a_hundred_changes_cost_a_large_fleet_no_more_calls_than_a_small_one() {
    let small = calls_for_changes(30, 5, 100);
    let large = calls_for_changes(300, 5, 100);
    assert!(large as f64 <= 1.5 * small as f64, "{small} calls of 30 nodes, {large} of 300");
    assert!(small < 100, "{small} calls");
}

#[test_case(10, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
#[test_case(1000, 1; "one zone")]
fn a_change_reaches_all_within_half_of_its_bound(nodes: usize, zones: usize) {
    let mut fleet = Fleet::new(nodes, zones, 2);
    for number in 0..5 {
        fleet.drain(number, true, 2);
        let took = fleet.catch_up(in_time());
        assert!(took <= BOUNDS.shortest() / 2, "{took:?}");
        fleet.play(333);
    }
}

#[test]
fn no_node_tells_more_than_its_few_neighbours_ask() {
    let mut fleet = Fleet::new(1000, 5, 3);
    for node in &mut fleet.nodes {
        (node.answered, node.changes_told) = (0, 0);
    }
    for number in 0..10 {
        fleet.drain(number, true, 2);
        fleet.play(1_000);
    }
    let busiest = fleet.nodes.iter().map(|node| node.answered).max().expect("nodes");
    let most_told = fleet.nodes.iter().map(|node| node.changes_told).max().expect("nodes");
    assert!(busiest < 10 * 20 * 3, "{busiest} answers in 10 s");
    assert!(most_told <= 10 * 20 * 2, "{most_told} changes told for 10");
}

/// Strikes the first readers, or the parents of others.
fn strike(fleet: &mut Fleet, struck: &[usize], ailment: Ailment, access: Access) {
    for number in struck {
        fleet.nodes[*number].ailment = ailment;
        fleet.nodes[*number].access = access;
    }
}

#[test_case(Ailment::Dead, Access::Served, 1; "killed")]
#[test_case(Ailment::Dead, Access::Served, 2; "two killed")]
#[test_case(Ailment::Dead, Access::Served, 3; "all killed")]
#[test_case(Ailment::Silent, Access::Served, 1; "frozen")]
#[test_case(Ailment::Silent, Access::Served, 2; "two frozen")]
#[test_case(Ailment::Lies, Access::Served, 1; "one that says that it is well and is not")]
#[test_case(Ailment::None, Access::Refused, 2; "turned away")]
#[test_case(Ailment::None, Access::Refused, 3; "all turned away")]
#[test_case(Ailment::None, Access::Silent, 2; "watches that hang")]
#[test_case(Ailment::None, Access::Silent, 3; "all watches that hang")]
fn a_change_reaches_all_in_time_though_readers_fail(ailment: Ailment, access: Access, count: usize) {
    for (nodes, zones) in [(10, 3), (100, 5), (1000, 5), (60, 1)] {
        for phase in [0, 170, 450, 900, 1_700] {
            let mut fleet = Fleet::new(nodes, zones, 4);
            fleet.play(phase);
            let readers = fleet.readers();
            strike(&mut fleet, &readers[..count], ailment, access);
            let leaving = (0..nodes).find(|number| !readers.contains(number)).expect("another node");
            fleet.drain(leaving, true, 2);
            let took = fleet.catch_up(in_time());
            assert!(took <= in_time(), "{nodes} nodes, {phase}: {took:?}");
        }
    }
}

#[test_case(Ailment::None, Access::Silent; "watches that hang")]
#[test_case(Ailment::None, Access::Refused; "turned away")]
#[test_case(Ailment::Dead, Access::Served; "killed")]
#[test_case(Ailment::Silent, Access::Served; "frozen")]
fn a_change_reaches_all_within_a_short_bound_though_all_readers_fail(ailment: Ailment, access: Access) {
    let bound = SHORT_BOUNDS.shortest();
    for (nodes, zones) in [(12, 3), (15, 3), (100, 5)] {
        for phase in (0..2_000).step_by(100) {
            let mut fleet = Fleet::with_bounds(nodes, zones, 12, SHORT_BOUNDS);
            fleet.drain(0, false, 2);
            fleet.play(phase);
            let readers = fleet.readers();
            strike(&mut fleet, &readers, ailment, access);
            let leaving = (0..nodes).find(|number| !readers.contains(number)).expect("another node");
            fleet.drain(leaving, true, 3);
            let took = fleet.catch_up(bound * 2);
            assert!(took <= bound, "{took:?} of {bound:?}: {nodes} nodes, {phase} ms after another change");
        }
    }
}

#[test_case(Ailment::Dead; "killed")]
#[test_case(Ailment::Silent; "frozen")]
#[test_case(Ailment::Lies; "saying that they are well")]
fn a_change_reaches_all_in_time_though_parents_fail(ailment: Ailment) {
    for phase in [0, 300, 700, 950] {
        let mut fleet = Fleet::new(1000, 5, 5);
        fleet.play(phase);
        let readers = fleet.readers();
        let mut parents: Vec<usize> = (0..1000).map(|number| fleet.candidates(number)[0]).collect();
        parents.sort_unstable();
        parents.dedup();
        parents.retain(|parent| !readers.contains(parent));
        let struck: Vec<usize> = parents.iter().step_by(3).copied().collect();
        strike(&mut fleet, &struck, ailment, Access::Served);
        fleet.drain(readers[0], true, 2);
        fleet.catch_up(in_time());
    }
}

#[test_case(Ailment::Dead; "killed")]
#[test_case(Ailment::Silent; "silent")]
fn a_node_that_nobody_answers_reads_the_store_itself(ailment: Ailment) {
    let mut fleet = Fleet::new(300, 5, 8);
    let alone = (0..300).max_by_key(|number| fleet.nodes[*number].place.nodes_ahead).expect("nodes");
    let candidates = fleet.candidates(alone);
    strike(&mut fleet, &candidates, ailment, Access::Served);
    fleet.play(4_000);
    fleet.drain(alone, true, 2);
    fleet.catch_up(in_time());
}

#[test_case(12, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
fn an_outage_costs_few_calls_and_ends_soon(nodes: usize, zones: usize) {
    let mut fleet = Fleet::new(nodes, zones, 6);
    fleet.set_down(true);
    fleet.play(8_000);
    let calls = fleet.store.calls;
    assert!(calls <= 3 * 8 + 60 * zones, "{calls} calls of {nodes} nodes in 8 s");
    assert!(fleet.nodes.iter().all(|node| node.loss.is_partitioned(fleet.now)), "all know that the store is away");
    fleet.drain(0, true, 2);
    fleet.set_down(false);
    let took = fleet.catch_up(BOUNDS.recovery);
    assert!(took <= BOUNDS.recovery, "{took:?}");
    fleet.play(3_000);
    assert!(fleet.nodes.iter().all(|node| node.loss.since().is_none()), "all know that it is back");
}

#[test_case(12, 3)]
#[test_case(100, 5)]
#[test_case(1000, 5)]
fn after_an_outage_no_node_takes_its_own_access_for_lost(nodes: usize, zones: usize) {
    for outage in [900, 2_300, 4_100, 8_000] {
        let mut fleet = Fleet::new(nodes, zones, 9);
        fleet.set_down(true);
        fleet.play(outage);
        let failed = fleet.nodes.iter().filter(|node| node.own_call_failed).count();
        let calls = fleet.store.calls;
        fleet.set_down(false);
        fleet.play(BOUNDS.recovery.as_millis() as u64);
        let still = fleet.nodes.iter().filter(|node| node.own_call_failed).count();
        assert_eq!(still, 0, "of {failed} after {outage} ms");
        let verified = fleet.store.calls - calls;
        let watched = 3 * 6 + 10;
        assert!(verified <= failed + watched, "{verified} calls to verify {failed} failed ones");
    }
}

#[test]
fn machines_that_are_turned_away_for_long_call_the_store_seldom() {
    let mut fleet = Fleet::new(300, 5, 10);
    let readers = fleet.readers();
    strike(&mut fleet, &readers, Ailment::None, Access::Refused);
    fleet.play(4_000);
    let turned_away: Vec<usize> = (0..300).filter(|number| fleet.nodes[*number].own_call_failed).collect();
    let (before, longest_pause) = (fleet.store.calls, BOUNDS.recovery / 2);
    fleet.play(20_000);
    let calls = fleet.store.calls - before;
    let often = Duration::from_secs(20).div_duration_f64(longest_pause / 2) as usize;
    let watched = 3 * 20;
    assert!(calls <= often * turned_away.len() + watched, "{calls} calls of {} turned away", turned_away.len());
}

#[test]
fn all_follow_a_store_that_came_back_from_an_older_copy_and_none_goes_back() {
    let mut fleet = Fleet::new(100, 5, 7);
    for number in 0..5 {
        fleet.drain(number, true, 2);
    }
    fleet.catch_up(in_time());
    fleet.set_down(true);
    fleet.play(1_500);
    fleet.restore(5);
    fleet.set_down(false);
    fleet.catch_up(BOUNDS.recovery);
    assert!(fleet.nodes.iter().all(|node| node.position().era == 1));
    // Revisions are given out again.
    fleet.drain(50, true, 2);
    fleet.catch_up(in_time());
    for node in &fleet.nodes {
        let update = node.replica.update_since(Default::default(), fleet.now).expect("everything");
        let draining = update.changes.iter().filter(|revised| match &revised.change {
            quillhatch_mesh::replica::Change::Target(_, registration) => registration.draining,
            _ => false,
        });
        assert_eq!(draining.count(), 6, "what drained before the copy drains on");
    }
}
