//! The choice of a target for a repeatable call.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{Feedback, GateStatus, NodeId, RefusalReason};

use super::harness::{arrival, at, feedback, name, node, owned_by, refused, table, Harness, ANSWERED, OLD};
use crate::edge::target::Target;
use crate::edge::{AttemptResult, BalanceSettings, CallArrival, EdgeInput, EdgeSettings};

/// Sends calls one after another, each answered after `latency` milliseconds, and counts them per target.
fn spread(
    harness: &mut Harness,
    calls: u64,
    latency: impl Fn(NodeId) -> u64,
    reported: impl Fn(NodeId) -> Feedback,
) -> BTreeMap<NodeId, u64> {
    let mut counts = BTreeMap::new();
    let mut open = BTreeMap::new();
    for call in 0..calls {
        let now = call + 1;
        let due: Vec<_> = open.range(..=(now, u64::MAX)).map(|(key, value)| (*key, *value)).collect();
        for (key, (target, attempt)) in due {
            open.remove(&key);
            let feedback = Some(reported(target));
            harness.step(at(now), EdgeInput::AttemptAnswered { attempt, result: ANSWERED, feedback });
            harness.step(at(now), EdgeInput::BodyEnded { attempt, incomplete: None });
        }
        harness.arrive(now, arrival(u128::from(call), "lookup"));
        let (target, context) = harness.sent_one();
        *counts.entry(target).or_default() += 1;
        open.insert((now + latency(target), call), (target, context.attempt_id()));
    }
    counts
}

#[test]
fn the_local_zone_is_preferred_until_it_is_loaded() {
    let mut harness = Harness::new(|_, _| {});
    let idle = spread(&mut harness, 300, |_| 3, |_| feedback());
    assert_eq!(idle.get(&node(0)), Some(&300));

    let mut harness = Harness::new(|_, _| {});
    let loaded = |target: NodeId| Feedback { running: if target == node(0) { 10 } else { 2 }, ..feedback() };
    let spilled = spread(&mut harness, 300, |_| 3, loaded);
    assert!(spilled.get(&node(0)).is_none_or(|count| *count < 150), "{spilled:?}");
    assert!(spilled[&node(1)] > 50 && spilled[&node(2)] > 50, "{spilled:?}");
}

#[test]
fn a_slow_target_gets_fewer_calls() {
    let share = |change: fn(&mut EdgeSettings)| {
        let mut harness = Harness::new(|settings, _| {
            settings.mechanisms.zone_preference = false;
            change(settings);
        });
        let slow = |target: NodeId| if target == node(1) { 80 } else { 4 };
        spread(&mut harness, 600, slow, |_| feedback())[&node(1)]
    };
    let balanced = share(|_| {});
    let random = share(|settings| settings.mechanisms.balancing = false);
    assert!(balanced < 60, "{balanced} of 600 calls at the slow target");
    assert!(random > 150, "{random} of 600 calls without balancing");
}

/// Makes connections to the `dead` nodes fail and counts the attempts sent to them.
fn attempts_at_dead(harness: &mut Harness, dead: &[NodeId], calls: u64) -> usize {
    let mut attempts = 0;
    for call in 0..calls {
        harness.arrive(call, arrival(u128::from(call), "lookup"));
        while let [(target, context)] = &harness.sent()[..] {
            let is_dead = dead.contains(target);
            attempts += usize::from(is_dead);
            let result = if is_dead { AttemptResult::ConnectFailed } else { ANSWERED };
            harness.answer(call, context.attempt_id(), result);
        }
    }
    attempts
}

#[test]
fn a_dead_target_is_ejected_and_later_reinstated() {
    let attempts = |ejection: bool| {
        let mut harness = Harness::new(|settings, _| {
            settings.mechanisms.ejection = ejection;
            settings.mechanisms.balancing = false;
        });
        let attempts = attempts_at_dead(&mut harness, &[node(1)], 400);
        let ejected = harness.edge.targets(at(400)).iter().filter(|target| target.ejected).count();
        assert_eq!(ejected, usize::from(ejection));
        assert!(harness.edge.targets(at(8_000)).iter().all(|target| !target.ejected));
        attempts
    };
    assert!(attempts(true) <= 6);
    assert!(attempts(false) > 50);
}

#[test]
fn ejection_never_exceeds_its_maximum_share() {
    let mut harness = Harness::new(|_, _| {});
    let all = [node(0), node(1), node(2)];
    attempts_at_dead(&mut harness, &all, 300);
    let ejected = harness.edge.targets(at(300)).iter().filter(|target| target.ejected).count();
    assert_eq!(ejected, 1, "one of three");
    harness.arrive(301, arrival(1_000, "lookup"));
    assert_eq!(harness.sent().len(), 1, "behind a partition the remaining targets are still tried");
}

#[test]
fn suspected_and_draining_targets_are_avoided() {
    let mut harness = Harness::new(|settings, _| settings.mechanisms.zone_preference = false);
    harness.step(at(0), EdgeInput::Suspicion { node: node(0).address, suspected: true });
    let mut draining = table(OLD, 2, &owned_by(0));
    draining.gates[1].status = GateStatus::Draining;
    harness.table(0, draining);
    let only = spread(&mut harness, 50, |_| 1, |_| feedback());
    assert_eq!(only.keys().copied().collect::<Vec<_>>(), [node(2)]);

    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (target, context) = harness.sent_one();
    harness.answer(2, context.attempt_id(), refused(RefusalReason::Draining));
    harness.run_until(20);
    for call in 30..50 {
        harness.arrive(call, arrival(u128::from(call), "lookup"));
        assert_ne!(harness.sent_one().0, target);
    }
}

#[test]
fn when_all_targets_of_a_site_are_suspected_another_site_serves() {
    let mut harness = Harness::new(|_, _| {});
    for number in 0..3 {
        harness.step(at(0), EdgeInput::Suspicion { node: node(number).address, suspected: true });
    }
    harness.arrive(1, arrival(1, "lookup"));
    assert!(harness.sent_one().0.address.0.port() >= 7100);
    for number in 100..103 {
        harness.step(at(2), EdgeInput::Suspicion { node: node(number).address, suspected: true });
    }
    harness.arrive(3, arrival(2, "lookup"));
    assert_eq!(harness.sent().len(), 1, "if all targets are suspected, they are still used");
}

#[test]
fn attempts_in_flight_are_limited_to_the_connections() {
    let mut harness = Harness::new(|_, _| {});
    let mut narrow = table(OLD, 2, &owned_by(0));
    narrow.gates.iter_mut().for_each(|gate| gate.connections = 2);
    harness.table(0, narrow);
    for call in 0..10 {
        harness.arrive(1, arrival(call, "lookup"));
    }
    assert_eq!(harness.refusal().reason, RefusalReason::Overloaded);
    let views = harness.edge.targets(at(1));
    assert!(views.iter().all(|target| target.in_flight <= 2));
    assert_eq!(views.iter().map(|target| target.in_flight).sum::<u32>(), 6);
}

#[test]
fn short_caller_timeouts_do_not_eject_a_target() {
    let ejected_after = |remaining: u64| {
        let mut harness = Harness::new(|_, _| {});
        for call in 0..30 {
            let remaining = Some(Duration::from_millis(remaining));
            let start = call * 2_000;
            harness.arrive(start, CallArrival { remaining, ..arrival(u128::from(call), "lookup") });
            harness.run_until(start + 1_999);
        }
        harness.edge.statistics().ejections
    };
    assert_eq!(ejected_after(5), 0);
    assert!(ejected_after(1_900) > 0, "a target without an answer for most of the class's deadline is ejected");
}

#[test]
fn a_quick_failure_does_not_make_a_target_look_fast() {
    let settings = BalanceSettings::default();
    let mut target = Target::new(node(0), name(OLD), name("zone-0"), GateStatus::Serving, 10);
    target.record_latency(Duration::from_millis(20), at(0), &settings);
    let before = target.cost(at(100), &settings);
    target.record_unanswered(Duration::from_millis(1), at(100));
    assert!(target.cost(at(100), &settings) >= before);
    target.record_unanswered(Duration::from_millis(400), at(100));
    assert!(target.cost(at(100), &settings) > before);
}
