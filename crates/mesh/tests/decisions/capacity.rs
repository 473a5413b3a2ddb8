//! Demand, capacity and the admission levels derived from them.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission_level::{AdmissionLevel, MIN_ADMITTED_SHARE};
use quillhatch_mesh::capacity::CapacityMeter;
use quillhatch_mesh::gate::GateLoad;
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_types::Timestamp;
use test_case::test_case;

const PRIORITIES: u32 = 3;
const FULL_LOAD: GateLoad = GateLoad { running: 20, limit: 20, waiting: 0 };
/// The time for which a call holds its slot.
const SLOT_TIME: Duration = Duration::from_millis(20);

/// Calls that arrive at a rate; only a share of the calls of their priority was admitted.
struct Stream<'a> {
    route: &'a Arc<str>,
    priority: u8,
    each_second: u32,
    share: f64,
}

/// A meter at which the streams arrive for two seconds, in 100 steps a second.
fn meter_of(streams: &[Stream<'_>]) -> CapacityMeter {
    let mut meter = CapacityMeter::new(Mechanisms::default(), Timestamp::ZERO);
    for stream in streams {
        meter.record_slot_time(stream.route, SLOT_TIME, Timestamp::ZERO);
    }
    let mut due = vec![0.0; streams.len()];
    for step in 0..200 {
        for (stream, due) in streams.iter().zip(&mut due) {
            *due += f64::from(stream.each_second) * stream.share / 100.0;
            while *due >= 1.0 {
                meter.call_arrived(stream.route, stream.priority, stream.share, milliseconds(step * 10));
                *due -= 1.0;
            }
        }
        // All slots stay in use.
        meter.shortage(FULL_LOAD, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    meter
}

fn level(meter: &mut CapacityMeter, load: GateLoad) -> f64 {
    level_of(meter, "read", load, 2_000)
}

/// Returns the admission level of a route at a moment, as a number of priorities.
fn level_of(meter: &mut CapacityMeter, route: &str, load: GateLoad, now: u64) -> f64 {
    let shortage = meter.shortage(load, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(now));
    shortage.map_or(AdmissionLevel::FULL, |shortage| shortage.admission_level(route)).priority_share()
        * f64::from(PRIORITIES)
}

/// Calls of the highest priority take 12 of 20 slots, the others demand 16.
#[test_case(1.0; "nothing was refused yet")]
#[test_case(0.4; "the right share was refused")]
#[test_case(0.1; "too much was refused")]
fn the_level_follows_from_demand_whatever_level_was_in_force(share: f64) {
    let route: Arc<str> = Arc::from("read");
    let high = Stream { route: &route, priority: 0, each_second: 600, share: 1.0 };
    let low = Stream { route: &route, priority: 2, each_second: 800, share };
    let level = level(&mut meter_of(&[high, low]), FULL_LOAD);
    assert!((2.4..2.6).contains(&level), "all of the highest priority and half of the others: {level}");
}

#[test]
fn all_calls_are_admitted_while_demand_fits() {
    let route: Arc<str> = Arc::from("read");
    let mut meter = meter_of(&[Stream { route: &route, priority: 2, each_second: 800, share: 1.0 }]);
    assert!((level(&mut meter, FULL_LOAD) - f64::from(PRIORITIES)).abs() < f64::EPSILON);
    let with_backlog = GateLoad { waiting: 200, ..FULL_LOAD };
    assert!(level(&mut meter, with_backlog) < 2.8, "waiting calls must be served as well");
}

#[test]
fn all_calls_are_admitted_while_slots_are_free_whatever_the_estimated_demand() {
    let route: Arc<str> = Arc::from("read");
    let mut meter = meter_of(&[Stream { route: &route, priority: 2, each_second: 2_000, share: 1.0 }]);
    assert!(level(&mut meter, FULL_LOAD) < 2.6);
    let half = GateLoad { running: 10, limit: 20, waiting: 0 };
    for step in 200..300 {
        meter.call_arrived(&route, 2, 0.05, milliseconds(step * 10));
        meter.shortage(half, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    assert!(meter.shortage(half, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(3_000)).is_none());
}

/// A level that leaves a tenth of the slots unused rises, though the estimated demand stays as high.
#[test]
fn a_level_that_leaves_slots_unused_rises() {
    let route: Arc<str> = Arc::from("read");
    let stream = || Stream { route: &route, priority: 2, each_second: 2_000, share: 1.0 };
    let before = level(&mut meter_of(&[stream()]), FULL_LOAD);
    let mut meter = meter_of(&[stream()]);
    let unused = GateLoad { running: 18, limit: 20, waiting: 0 };
    let mut due = 0.0;
    for step in 200..500 {
        due += 20.0;
        while due >= 1.0 {
            meter.call_arrived(&route, 2, 1.0, milliseconds(step * 10));
            due -= 1.0;
        }
        meter.shortage(unused, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    let after = level_of(&mut meter, "read", unused, 5_000);
    assert!(after > before + 0.1, "{before} to {after}");
}

#[test]
fn the_highest_priority_is_served_in_part_if_it_alone_exceeds_capacity() {
    let route: Arc<str> = Arc::from("read");
    let high = Stream { route: &route, priority: 0, each_second: 2_000, share: 1.0 };
    let low = Stream { route: &route, priority: 2, each_second: 800, share: MIN_ADMITTED_SHARE };
    let level = level(&mut meter_of(&[high, low]), FULL_LOAD);
    assert!((0.4..0.6).contains(&level), "{level}");
}

/// Every second root fails with its first refused call, and leaves out the calls that it would have made after it.
#[test]
fn demand_includes_calls_that_are_missing_after_a_refusal() {
    let route: Arc<str> = Arc::from("read");
    let stream = || Stream { route: &route, priority: 2, each_second: 800, share: 1.0 };
    let mut meter = meter_of(&[stream()]);
    for number in 0..400 {
        meter.nested_call_arrived(2);
        if number % 2 == 0 {
            meter.nested_call_refused(2);
        }
    }
    let level = level(&mut meter, FULL_LOAD);
    assert!((2.4..2.8).contains(&level), "demand is twice what arrives: {level}");
}

/// Calls that another service's level refuses leave their slots to others.
#[test]
fn calls_refused_by_another_level_count_only_with_the_share_that_arrives() {
    let routes: [Arc<str>; 2] = ["parent of an overloaded route", "other"].map(Arc::from);
    let parent = Stream { route: &routes[0], priority: 2, each_second: 2_000, share: MIN_ADMITTED_SHARE };
    let other = Stream { route: &routes[1], priority: 2, each_second: 700, share: 1.0 };
    let mut meter = meter_of(&[parent, other]);
    let level_of = |route: &str| {
        if route == &*routes[0] {
            AdmissionLevel::from_priority_share(0.5)
        } else {
            AdmissionLevel::FULL
        }
    };
    assert!(meter.shortage(FULL_LOAD, PRIORITIES, level_of, milliseconds(2_000)).is_none());
    assert!(meter.shortage(FULL_LOAD, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(2_000)).is_some());
}

/// Short calls that take a fifth of the slots' time, and long ones that demand all of it.
#[test]
fn routes_of_one_priority_share_the_time_and_not_the_number_of_calls() {
    let routes: [Arc<str>; 2] = ["short", "long"].map(Arc::from);
    let mut meter = CapacityMeter::new(Mechanisms::default(), Timestamp::ZERO);
    meter.record_slot_time(&routes[0], Duration::from_millis(10), Timestamp::ZERO);
    meter.record_slot_time(&routes[1], Duration::from_millis(200), Timestamp::ZERO);
    for step in 0..200 {
        let now = milliseconds(step * 10);
        for _ in 0..4 {
            meter.call_arrived(&routes[0], 2, 1.0, now);
        }
        meter.call_arrived(&routes[1], 2, 1.0, now);
        meter.shortage(FULL_LOAD, PRIORITIES, |_| AdmissionLevel::FULL, now);
    }
    let level = |meter: &mut CapacityMeter, route| level_of(meter, route, FULL_LOAD, 2_000);
    assert!(level(&mut meter, "short") > 2.99);
    let long = level(&mut meter, "long");
    assert!((2.7..2.95).contains(&long), "{long}");
}
