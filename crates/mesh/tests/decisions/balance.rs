//! The choice of a target by the load balancer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{milliseconds, target};
use quillhatch_mesh::balance::{Exclusions, LoadBalancer, ZonePreference};
use quillhatch_mesh::gate::GateLoad;
use quillhatch_types::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The local zone with the minimum cost of another zone.
const LOCAL_ZONE: ZonePreference<'_> = ZonePreference { local_zone: "here", cross_zone_cost: 0.15 };

#[test]
fn the_local_zone_is_preferred_until_its_target_is_busy_or_slow() {
    let mut random = Pcg64::seed_from_u64(2);
    let targets = [target("local", "here"), target("remote", "there")];
    let mut balancer = LoadBalancer::default();
    let mut chosen = |balancer: &LoadBalancer, now| {
        let choose = |_| {
            balancer
                .choose(&targets, Exclusions::default(), LOCAL_ZONE, now, &mut random)
                .expect("a target")
                .target
                .id
                .to_string()
        };
        let picks: Vec<String> = (0..100).map(choose).collect();
        picks.iter().filter(|id| *id == "local").count()
    };
    assert_eq!(chosen(&balancer, Timestamp::ZERO), 100);
    let local: Arc<str> = Arc::from("local");
    balancer.record_load(&local, GateLoad { running: 10, limit: 10, waiting: 3 }, 1.0, Timestamp::ZERO);
    assert_eq!(chosen(&balancer, milliseconds(10)), 0, "busy");
    assert_eq!(chosen(&balancer, milliseconds(2_000)), 100, "an old report has no effect");
    let read: Arc<str> = Arc::from("read");
    for step in 0..200 {
        let now = milliseconds(2_000 + step * 5);
        balancer.record_response_time(&local, &read, Duration::from_millis(200), now);
        balancer.record_response_time(&Arc::from("remote"), &read, Duration::from_millis(50), now);
    }
    assert_eq!(chosen(&balancer, milliseconds(3_000)), 0, "slow");
}

#[test]
fn a_failed_target_is_avoided_for_a_moment_unless_there_is_no_other() {
    let mut random = Pcg64::seed_from_u64(3);
    let targets = [target("one", "here"), target("two", "here")];
    let mut balancer = LoadBalancer::default();
    balancer.record_refusal(&Arc::from("one"), Timestamp::ZERO);
    let mut choose = |tried: &[Arc<str>], now| {
        balancer
            .choose(&targets, Exclusions { tried, ..Exclusions::default() }, LOCAL_ZONE, now, &mut random)
            .map(|choice| choice.target.id.to_string())
    };
    for _ in 0..20 {
        assert_eq!(choose(&[], milliseconds(100)).as_deref(), Some("two"));
    }
    assert_eq!(choose(&[Arc::from("two")], milliseconds(100)).as_deref(), Some("one"));
    assert!((0..50).any(|_| choose(&[], milliseconds(600)).as_deref() == Some("one")));
    assert_eq!(choose(&[Arc::from("one"), Arc::from("two")], milliseconds(600)), None);
}

#[test]
fn all_targets_of_a_large_service_are_used() {
    let mut random = Pcg64::seed_from_u64(4);
    let targets: Vec<_> = (0..500).map(|number| target(&format!("t{number}"), "here")).collect();
    let balancer = LoadBalancer::default();
    let mut chosen: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..20_000 {
        let target = balancer
            .choose(&targets, Exclusions::default(), LOCAL_ZONE, Timestamp::ZERO, &mut random)
            .expect("a target")
            .target;
        *chosen.entry(target.id.clone()).or_default() += 1;
    }
    assert_eq!(chosen.len(), 500);
    assert!(chosen.values().all(|count| *count < 120), "40 each on average");
    assert!(balancer.choose(&[], Exclusions::default(), LOCAL_ZONE, Timestamp::ZERO, &mut random).is_none());
}

#[test]
fn a_target_whose_calls_all_time_out_is_used_less() {
    // A target that worked twelve times as long responded with 504 to each call, and still received its full share of
    // calls.
    let mut random = Pcg64::seed_from_u64(5);
    let targets = [target("slow", "here"), target("good", "here")];
    let mut balancer = LoadBalancer::default();
    let read: Arc<str> = Arc::from("read");
    for step in 0..5 {
        balancer.record_response_time(&Arc::from("good"), &read, Duration::from_millis(100), milliseconds(step * 100));
        balancer.record_unfinished(&Arc::from("slow"), &read, Duration::from_millis(1_000), milliseconds(step * 100));
    }
    let mut picks = 0;
    for _ in 0..100 {
        let chosen = balancer
            .choose(&targets, Exclusions::default(), LOCAL_ZONE, milliseconds(600), &mut random)
            .expect("a target")
            .target;
        picks += usize::from(*chosen.id == *"slow");
    }
    assert_eq!(picks, 0);
    assert!(
        balancer.liveness_probe_delay(&read) < Duration::from_millis(500),
        "the mean response time of the route is unchanged"
    );
}

#[test]
fn a_target_that_joins_a_large_service_gets_calls_from_other_machines_within_seconds() {
    // 95 edges send 2.5 calls a second each to a service of 34 targets in five zones: less than one in ten seconds to
    // each target.
    const EDGES: u64 = 95;
    const CALLS_OF_AN_EDGE: u64 = 10;
    let zone = |number: u64| format!("zone-{}", number % 5);
    let mut targets: Vec<_> = (0..34).map(|number| target(&format!("t{number}"), &zone(number))).collect();
    let read: Arc<str> = Arc::from("read");
    let mut random = Pcg64::seed_from_u64(6);
    let mut balancers = vec![LoadBalancer::default(); EDGES as usize];
    let mut calls_of = |targets: &[Arc<_>], balancers: &mut [LoadBalancer], from: u64| {
        let mut edges_calling_joined = 0;
        for (edge, balancer) in balancers.iter_mut().enumerate() {
            let mut has_called = false;
            for call in 0..CALLS_OF_AN_EDGE {
                let now = milliseconds(from + call * 400);
                let chosen = balancer
                    .choose(
                        targets,
                        Exclusions::default(),
                        ZonePreference { local_zone: &zone(edge as u64), ..LOCAL_ZONE },
                        now,
                        &mut random,
                    )
                    .expect("a target")
                    .target;
                balancer.record_response_time(&chosen.id, &read, Duration::from_millis(200), now);
                has_called |= *chosen.id == *"joined";
            }
            edges_calling_joined += usize::from(has_called);
        }
        edges_calling_joined
    };
    for round in 0..5 {
        calls_of(&targets, &mut balancers, round * 4_000);
    }
    targets.push(target("joined", "zone-0"));
    let edges = calls_of(&targets, &mut balancers, 20_000);
    assert!(edges >= 10, "{edges} machines in four seconds");
}

/// A call of 20 ms with a latency objective of 300 ms stays with a target of its zone that is three times as slow as a
/// remote one, until the local target is busy; with an objective of 60 ms it does not stay.
#[test]
fn a_call_stays_in_its_zone_if_its_latency_objective_allows() {
    let mut random = Pcg64::seed_from_u64(7);
    let targets = [target("local", "here"), target("remote", "there")];
    let (local, remote): (Arc<str>, Arc<str>) = (Arc::from("local"), Arc::from("remote"));
    let read: Arc<str> = Arc::from("read");
    let mut balancer = LoadBalancer::default();
    for step in 0..200 {
        balancer.record_response_time(&local, &read, Duration::from_millis(30), milliseconds(step * 5));
        balancer.record_response_time(&remote, &read, Duration::from_millis(10), milliseconds(step * 5));
    }
    let now = milliseconds(1_000);
    let mut stays = |balancer: &LoadBalancer, objective| {
        let preference = balancer.zone_preference("here", "read", Duration::from_millis(objective));
        let choose = |_| {
            balancer
                .choose(&targets, Exclusions::default(), preference, now, &mut random)
                .expect("a target")
                .target
                .id
                .clone()
        };
        (0..100).map(choose).filter(|id| *id == local).count()
    };
    assert_eq!(stays(&balancer, 300), 100);
    assert_eq!(stays(&balancer, 60), 0);
    balancer.record_load(&local, GateLoad { running: 10, limit: 10, waiting: 1 }, 1.0, now);
    assert_eq!(stays(&balancer, 300), 0, "busy");
}

#[test]
fn a_target_with_bad_responses_only_gets_calls_that_the_others_cannot_serve() {
    let mut random = Pcg64::seed_from_u64(8);
    let targets = [target("bad", "here"), target("good", "here")];
    let (bad, good): (Arc<str>, Arc<str>) = (Arc::from("bad"), Arc::from("good"));
    let idle = GateLoad { running: 1, limit: 10, waiting: 0 };
    let mut balancer = LoadBalancer::default();
    let read: Arc<str> = Arc::from("read");
    for _ in 0..100 {
        balancer.record_response_time(&bad, &read, Duration::from_millis(10), Timestamp::ZERO);
        balancer.record_response_time(&good, &read, Duration::from_millis(15), Timestamp::ZERO);
    }
    let mut chosen = |balancer: &LoadBalancer, now| {
        let choose = |_| {
            balancer
                .choose(&targets, Exclusions::default(), LOCAL_ZONE, now, &mut random)
                .expect("a target")
                .target
                .id
                .clone()
        };
        (0..100).map(choose).filter(|id| *id == bad).count()
    };
    balancer.record_load(&bad, idle, 0.6, Timestamp::ZERO);
    balancer.record_load(&good, idle, 1.0, Timestamp::ZERO);
    assert_eq!(chosen(&balancer, milliseconds(10)), 0);
    balancer.record_load(&good, GateLoad { running: 10, limit: 10, waiting: 8 }, 1.0, milliseconds(10));
    assert_eq!(chosen(&balancer, milliseconds(20)), 100, "the good target is overloaded");
    assert!(chosen(&balancer, milliseconds(9_000)) > 50, "the bad target is tried again");
}
