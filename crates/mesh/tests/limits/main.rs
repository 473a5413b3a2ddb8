//! The limit of a tenant over a whole fleet on a virtual clock: it is kept whatever fails, and used whole wherever the calls arrive.

mod fleet;

use fleet::{Fault, Fleet, Way};
use quillhatch_mesh::tenants::RateLimit;
use rand::Rng;
use rand_pcg::Pcg64;
use test_case::test_case;

fn limit(rate: f64) -> RateLimit {
    RateLimit { rate, burst: rate }
}

/// Places calls at the first `few` nodes.
fn at_first(few: usize) -> impl Fn(&mut Pcg64, usize) -> usize + Copy {
    move |random, nodes| random.gen_range(0..few.min(nodes))
}

fn everywhere(random: &mut Pcg64, nodes: usize) -> usize {
    random.gen_range(0..nodes)
}

#[test_case(12, 1; "a small fleet, one node")]
#[test_case(82, 1; "one node")]
#[test_case(82, 3; "three nodes")]
#[test_case(82, 82; "all nodes")]
#[test_case(300, 300; "a large fleet, all nodes")]
fn below_its_limit_a_tenant_is_not_refused(nodes: usize, few: usize) {
    for rate in [5.0, 300.0] {
        let mut fleet = Fleet::new(Way::Coordinator, nodes, limit(rate), 1);
        fleet.play(3000, rate * 0.5, at_first(few));
        fleet.play(20_000, rate * 0.9, at_first(few));
        let wrong = fleet.wrongly_refused.iter().filter(|at| **at > 3000).count() as f64;
        let all = fleet.admitted.len() as f64;
        assert!(wrong / all < 0.001, "{wrong} of {all} at {rate} a second");
    }
}

#[test_case(1; "one node")]
#[test_case(3; "three nodes")]
#[test_case(82; "all nodes")]
fn beyond_its_limit_a_tenant_gets_its_whole_rate(few: usize) {
    for rate in [20.0, 300.0] {
        let mut fleet = Fleet::new(Way::Coordinator, 82, limit(rate), 2);
        fleet.play(5000, rate * 0.6, at_first(few));
        fleet.play(12_000, rate * 4.7, at_first(few));
        let got = fleet.admitted_rate(9000, 17_000) / rate;
        assert!((0.93..1.15).contains(&got), "{got} of {rate} a second");
        assert!(fleet.worst_window(limit(rate), 0) <= 1.0, "{}", fleet.worst_window(limit(rate), 0));
    }
}

#[test]
fn calls_that_move_to_other_nodes_within_a_second_keep_rate_and_bound() {
    let limit = limit(200.0);
    let mut fleet = Fleet::new(Way::Coordinator, 82, limit, 3);
    for round in 0..20_usize {
        fleet.play(1000, 900.0, move |random, nodes| (round * 17 + random.gen_range(0..8)) % nodes);
    }
    let got = fleet.admitted_rate(3000, 20_000) / limit.rate;
    assert!((0.9..1.15).contains(&got), "{got}");
    assert!(fleet.worst_window(limit, 0) <= 1.0, "{}", fleet.worst_window(limit, 0));
}

#[test]
fn a_limit_that_is_lowered_far_below_what_is_sent_holds_within_a_window() {
    let mut fleet = Fleet::new(Way::Coordinator, 82, limit(400.0), 4);
    fleet.play(6000, 300.0, everywhere);
    fleet.set_limit(limit(30.0));
    fleet.play(15_000, 300.0, everywhere);
    assert!(fleet.worst_window(limit(30.0), 11_000) <= 1.0, "{}", fleet.worst_window(limit(30.0), 11_000));
    let got = fleet.admitted_rate(12_000, 21_000) / 30.0;
    assert!((0.85..1.15).contains(&got), "{got}");
}

#[test_case(Fault::Restart(50); "it starts again")]
#[test_case(Fault::Restart(20_000); "it is gone")]
#[test_case(Fault::Partition(1); "it is cut off")]
fn without_its_coordinator_a_limit_holds_and_is_used(fault: Fault) {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(Way::Coordinator, 82, limit, seed);
        fleet.play(6000, 900.0, everywhere);
        let coordinator = fleet.coordinator();
        fleet.strike(coordinator, fault);
        fleet.play(12_000, 900.0, everywhere);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
        let got = fleet.admitted_rate(8000, 18_000) / limit.rate;
        assert!((0.85..1.15).contains(&got), "{got}");
    }
}

#[test]
fn cut_in_two_both_sides_together_stay_within_the_limit() {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(Way::Coordinator, 82, limit, seed);
        fleet.play(6000, 900.0, everywhere);
        for node in 0..41 {
            fleet.strike(node, Fault::Partition(1));
        }
        fleet.play(10_000, 900.0, everywhere);
        for node in 0..41 {
            fleet.strike(node, Fault::Partition(0));
        }
        fleet.play(8000, 900.0, everywhere);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
    }
}

#[test]
fn nodes_that_reach_nobody_stay_within_the_limit_together() {
    let limit = limit(200.0);
    let mut fleet = Fleet::new(Way::Coordinator, 82, limit, 5);
    fleet.play(6000, 900.0, everywhere);
    for node in 0..82 {
        fleet.strike(node, Fault::Partition(node as u8));
    }
    fleet.play(12_000, 900.0, everywhere);
    let worst = fleet.worst_window(limit, 0);
    assert!(worst <= 1.0, "{worst}");
}

#[test]
fn all_nodes_that_start_again_at_once_keep_the_limit() {
    for seed in 0..5 {
        let limit = limit(200.0);
        let mut fleet = Fleet::new(Way::Coordinator, 82, limit, seed);
        fleet.play(6000, 900.0, everywhere);
        for node in 0..82 {
            fleet.strike(node, Fault::Restart(100));
        }
        fleet.play(10_000, 900.0, everywhere);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst}");
    }
}

#[test_case(82, 40.0)]
#[test_case(150, 40.0)]
#[test_case(150, 400.0; "far beyond")]
#[test_case(300, 400.0)]
#[test_case(985, 400.0; "the whole fleet")]
fn all_nodes_of_a_large_fleet_that_start_again_at_once_keep_a_small_limit(nodes: usize, rate: f64) {
    for seed in 0..10 {
        let limit = limit(8.0);
        let mut fleet = Fleet::new(Way::Coordinator, nodes, limit, seed);
        fleet.play(6000, rate, everywhere);
        for node in 0..nodes {
            fleet.strike(node, Fault::Restart(100));
        }
        fleet.play(10_000, rate, everywhere);
        let worst = fleet.worst_window(limit, 0);
        assert!(worst <= 1.0, "{worst} of the bound, seed {seed}");
    }
}

#[test_case(12, 400.0)]
#[test_case(82, 400.0)]
#[test_case(150, 400.0)]
#[test_case(300, 400.0)]
#[test_case(985, 400.0; "the whole fleet")]
fn calls_that_stop_and_come_back_all_at_once_keep_a_small_limit(nodes: usize, rate: f64) {
    for pause in [800, 2_000, 6_000] {
        for seed in 0..10 {
            let limit = limit(8.0);
            let mut fleet = Fleet::new(Way::Coordinator, nodes, limit, seed);
            fleet.play(6000, rate, everywhere);
            fleet.play(pause, 0.0, everywhere);
            fleet.play(8000, rate, everywhere);
            let worst = fleet.worst_window(limit, 0);
            assert!(worst <= 1.0, "{worst} of the bound, seed {seed}");
        }
    }
}

/// The two ways side by side: overrun, wrong refusals below the limit, datagrams a second.
#[test_case(12, 1)]
#[test_case(12, 3)]
#[test_case(12, 12)]
#[test_case(82, 1)]
#[test_case(82, 3)]
#[test_case(82, 82)]
#[test_case(300, 1)]
#[test_case(300, 3)]
#[test_case(300, 300)]
fn a_coordinator_refuses_less_than_equal_parts(nodes: usize, few: usize) {
    const SEEDS: u64 = 10;
    let [shared, parts] = [Way::Coordinator, Way::EqualParts].map(|way| {
        let (mut refused, mut datagrams, mut worst) = (0, 0, 0.0_f64);
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(way, nodes, limit(60.0), seed);
            fleet.play(3000, 30.0, at_first(few));
            fleet.play(15_000, 50.0, at_first(few));
            refused += fleet.wrongly_refused.iter().filter(|at| **at > 3000).count();
            fleet.play(8000, 280.0, at_first(few));
            worst = worst.max(fleet.worst_window(limit(60.0), 0));
            datagrams += fleet.datagrams;
        }
        let refused = refused as f64 / (SEEDS as f64 * 15.0 * 50.0);
        let a_second = datagrams as u64 / (SEEDS * 26);
        println!(
            "{nodes} nodes, calls at {few}, {way:?}: worst window {worst:.2} of the bound, {:.2}% refused below the limit, {a_second} datagrams a second",
            refused * 100.0
        );
        assert!(worst <= 1.0, "{way:?}: {worst}");
        refused
    });
    assert!(shared < 0.001 && shared < parts, "{shared} {parts}");
}
