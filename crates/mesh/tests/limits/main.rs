//! The limit of a tenant in a simulated fleet on a virtual clock: it holds whatever fails, and the tenant can use it
//! fully at whichever nodes its calls arrive.

mod fleet;

use fleet::{Fault, Fleet, SharingMode};
use quillhatch_mesh::tenants::RateLimit;
use rand::Rng;
use rand_pcg::Pcg64;
use test_case::test_case;

fn limit(rate: f64) -> RateLimit {
    RateLimit { rate, burst: rate }
}

/// Selects one of the first `count` nodes.
fn first_nodes(count: usize) -> impl Fn(&mut Pcg64, usize) -> usize + Copy {
    move |random, nodes| random.gen_range(0..count.min(nodes))
}

/// Selects any node.
fn all_nodes(random: &mut Pcg64, nodes: usize) -> usize {
    random.gen_range(0..nodes)
}

#[test_case(12, 1; "a small fleet, one node")]
#[test_case(82, 1; "one node")]
#[test_case(82, 3; "three nodes")]
#[test_case(82, 82; "all nodes")]
#[test_case(300, 300; "a large fleet, all nodes")]
fn a_tenant_below_its_limit_is_not_refused(nodes: usize, receivers: usize) {
    for rate in [5.0, 300.0] {
        let mut fleet = Fleet::new(SharingMode::Coordinator, nodes, limit(rate), 1);
        fleet.run(3000, rate * 0.5, first_nodes(receivers));
        fleet.run(20_000, rate * 0.9, first_nodes(receivers));
        let wrong = fleet.wrongly_refused.iter().filter(|at| **at > 3000).count() as f64;
        let admitted = fleet.admitted.len() as f64;
        assert!(wrong / admitted < 0.001, "{wrong} refused, {admitted} admitted at {rate} calls per second");
    }
}

#[test_case(1; "one node")]
#[test_case(3; "three nodes")]
#[test_case(82; "all nodes")]
fn a_tenant_beyond_its_limit_gets_its_whole_rate(receivers: usize) {
    for rate in [20.0, 300.0] {
        let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit(rate), 2);
        fleet.run(5000, rate * 0.6, first_nodes(receivers));
        fleet.run(12_000, rate * 4.7, first_nodes(receivers));
        let used = fleet.admitted_rate(9000, 17_000) / rate;
        assert!((0.93..1.15).contains(&used), "{used} of {rate} calls per second");
        assert!(fleet.worst_window(limit(rate), 0) <= 1.0, "{}", fleet.worst_window(limit(rate), 0));
    }
}

#[test]
fn calls_that_move_to_other_nodes_every_second_stay_within_the_limit_and_use_it() {
    let limit = limit(200.0);
    let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit, 3);
    for round in 0..20_usize {
        fleet.run(1000, 900.0, move |random, nodes| (round * 17 + random.gen_range(0..8)) % nodes);
    }
    let used = fleet.admitted_rate(3000, 20_000) / limit.rate;
    assert!((0.9..1.15).contains(&used), "{used}");
    assert!(fleet.worst_window(limit, 0) <= 1.0, "{}", fleet.worst_window(limit, 0));
}

#[test]
fn a_limit_lowered_far_below_the_demand_holds_after_one_window() {
    let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit(400.0), 4);
    fleet.run(6000, 300.0, all_nodes);
    fleet.set_limit(limit(30.0));
    fleet.run(15_000, 300.0, all_nodes);
    assert!(fleet.worst_window(limit(30.0), 11_000) <= 1.0, "{}", fleet.worst_window(limit(30.0), 11_000));
    let used = fleet.admitted_rate(12_000, 21_000) / 30.0;
    assert!((0.85..1.15).contains(&used), "{used}");
}

#[test_case(Fault::Restart(50); "it is restarted")]
#[test_case(Fault::Restart(20_000); "it stops")]
#[test_case(Fault::Partition(1); "it is partitioned")]
fn a_limit_holds_and_is_used_when_the_coordinator_fails(fault: Fault) {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit, seed);
        fleet.run(6000, 900.0, all_nodes);
        let coordinator = fleet.coordinator();
        fleet.inject(coordinator, fault);
        fleet.run(12_000, 900.0, all_nodes);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
        let used = fleet.admitted_rate(8000, 18_000) / limit.rate;
        assert!((0.85..1.15).contains(&used), "{used}");
    }
}

#[test]
fn both_sides_of_a_partition_together_stay_within_the_limit() {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit, seed);
        fleet.run(6000, 900.0, all_nodes);
        for node in 0..41 {
            fleet.inject(node, Fault::Partition(1));
        }
        fleet.run(10_000, 900.0, all_nodes);
        for node in 0..41 {
            fleet.inject(node, Fault::Partition(0));
        }
        fleet.run(8000, 900.0, all_nodes);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
    }
}

#[test]
fn nodes_that_can_not_reach_each_other_together_stay_within_the_limit() {
    let limit = limit(200.0);
    let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit, 5);
    fleet.run(6000, 900.0, all_nodes);
    for node in 0..82 {
        fleet.inject(node, Fault::Partition(node as u8));
    }
    fleet.run(12_000, 900.0, all_nodes);
    let worst = fleet.worst_window(limit, 0);
    assert!(worst <= 1.0, "{worst}");
}

#[test]
fn a_restart_of_all_nodes_at_once_keeps_the_limit() {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(SharingMode::Coordinator, 82, limit, seed);
        fleet.run(6000, 900.0, all_nodes);
        for node in 0..82 {
            fleet.inject(node, Fault::Restart(100));
        }
        fleet.run(10_000, 900.0, all_nodes);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
    }
}

#[test_case(82, 40.0)]
#[test_case(150, 40.0)]
#[test_case(150, 400.0; "far beyond")]
#[test_case(300, 400.0)]
#[test_case(985, 400.0; "the whole fleet")]
fn a_restart_of_a_whole_large_fleet_at_once_keeps_a_small_limit(nodes: usize, rate: f64) {
    for seed in 0..10 {
        let limit = limit(8.0);
        let mut fleet = Fleet::new(SharingMode::Coordinator, nodes, limit, seed);
        fleet.run(6000, rate, all_nodes);
        for node in 0..nodes {
            fleet.inject(node, Fault::Restart(100));
        }
        fleet.run(10_000, rate, all_nodes);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst} of the bound, seed {seed}");
    }
}

#[test_case(12, 400.0)]
#[test_case(82, 400.0)]
#[test_case(150, 400.0)]
#[test_case(300, 400.0)]
#[test_case(985, 400.0; "the whole fleet")]
fn calls_that_stop_and_resume_at_all_nodes_at_once_keep_a_small_limit(nodes: usize, rate: f64) {
    for pause in [800, 2_000, 6_000] {
        for seed in 0..10 {
            let limit = limit(8.0);
            let mut fleet = Fleet::new(SharingMode::Coordinator, nodes, limit, seed);
            fleet.run(6000, rate, all_nodes);
            fleet.run(pause, 0.0, all_nodes);
            fleet.run(8000, rate, all_nodes);
            let worst = fleet.worst_window(limit, 0);
            assert!(worst <= 1.0, "{worst} of the bound, seed {seed}");
        }
    }
}

/// Compares the two modes: the worst window, wrong refusals below the limit, and datagrams per second.
#[test_case(12, 1)]
#[test_case(12, 3)]
#[test_case(12, 12)]
#[test_case(82, 1)]
#[test_case(82, 3)]
#[test_case(82, 82)]
#[test_case(300, 1)]
#[test_case(300, 3)]
#[test_case(300, 300)]
fn a_coordinator_causes_fewer_wrong_refusals_than_equal_parts(nodes: usize, receivers: usize) {
    const SEEDS: u64 = 10;
    let [coordinated, equal] = [SharingMode::Coordinator, SharingMode::EqualParts].map(|mode| {
        let (mut refused, mut datagrams, mut worst) = (0, 0, 0.0_f64);
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(mode, nodes, limit(60.0), seed);
            fleet.run(3000, 30.0, first_nodes(receivers));
            fleet.run(15_000, 50.0, first_nodes(receivers));
            refused += fleet.wrongly_refused.iter().filter(|at| **at > 3000).count();
            fleet.run(8000, 280.0, first_nodes(receivers));
            worst = worst.max(fleet.worst_window(limit(60.0), 0));
            datagrams += fleet.datagrams;
        }
        let refused = refused as f64 / (SEEDS as f64 * 15.0 * 50.0);
        let per_second = datagrams as u64 / (SEEDS * 26);
        println!(
            "{nodes} nodes, calls at {receivers}, {mode:?}: worst window {worst:.2} of the bound, {:.2}% refused below the limit, {per_second} datagrams per second",
            refused * 100.0
        );
        assert!(worst <= 1.0, "{mode:?}: {worst}");
        refused
    });
    assert!(coordinated < 0.001 && coordinated < equal, "{coordinated} {equal}");
}
