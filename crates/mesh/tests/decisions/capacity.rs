//! Demand, capacity, and the cut that follows.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission_level::{AdmissionLevel, MIN_ADMITTED_SHARE};
use quillhatch_mesh::capacity::CapacityMeter;
use quillhatch_mesh::gate::Load;
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_types::Timestamp;
use test_case::test_case;

const PRIORITIES: u32 = 3;
const FULL: Load = Load { running: 20, limit: 20, waiting: 0 };
/// How long a call holds its slot.
const HELD: Duration = Duration::from_millis(20);

/// Calls that arrive at a rate, of those of a priority that were let in with a share.
struct Stream<'a> {
    route: &'a Arc<str>,
    priority: u8,
    each_second: u32,
    share: f64,
}

/// A meter at which the streams arrive for two seconds, 100 steps a second.
fn meter_of(streams: &[Stream<'_>]) -> CapacityMeter {
    let mut meter = CapacityMeter::new(Mechanisms::default(), Timestamp::ZERO);
    for stream in streams {
        meter.record_slot_time(stream.route, HELD, Timestamp::ZERO);
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
        // All slots are in use all the while.
        meter.shortage(FULL, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    meter
}

fn cut(meter: &mut CapacityMeter, load: Load) -> f64 {
    cut_of(meter, "read", load, 2_000)
}

/// The cut of a route at a moment, in priorities.
fn cut_of(meter: &mut CapacityMeter, route: &str, load: Load, now: u64) -> f64 {
    let shortage = meter.shortage(load, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(now));
    shortage.map_or(AdmissionLevel::FULL, |shortage| shortage.admission_level(route)).priority_share()
        * f64::from(PRIORITIES)
}

/// Work of the greatest importance takes 12 of 20 slots, the rest asks for 16.
#[test_case(1.0; "nothing was refused yet")]
#[test_case(0.4; "as much was refused as must be")]
#[test_case(0.1; "too much was refused")]
fn the_cut_follows_from_demand_whatever_cut_was_in_force(share: f64) {
    let route: Arc<str> = Arc::from("read");
    let first = Stream { route: &route, priority: 0, each_second: 600, share: 1.0 };
    let last = Stream { route: &route, priority: 2, each_second: 800, share };
    let cut = cut(&mut meter_of(&[first, last]), FULL);
    assert!((2.4..2.6).contains(&cut), "the greatest whole, of the rest a half: {cut}");
}

#[test]
fn nothing_is_cut_while_all_of_it_fits() {
    let route: Arc<str> = Arc::from("read");
    let mut meter = meter_of(&[Stream { route: &route, priority: 2, each_second: 800, share: 1.0 }]);
    assert!((cut(&mut meter, FULL) - f64::from(PRIORITIES)).abs() < f64::EPSILON);
    let behind = Load { waiting: 200, ..FULL };
    assert!(cut(&mut meter, behind) < 2.8, "what waits is to be worked off as well");
}

#[test]
fn nothing_is_cut_while_slots_are_free_whatever_demand_seems_to_be() {
    let route: Arc<str> = Arc::from("read");
    let mut meter = meter_of(&[Stream { route: &route, priority: 2, each_second: 2_000, share: 1.0 }]);
    assert!(cut(&mut meter, FULL) < 2.6);
    let half = Load { running: 10, limit: 20, waiting: 0 };
    for step in 200..300 {
        meter.call_arrived(&route, 2, 0.05, milliseconds(step * 10));
        meter.shortage(half, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    assert!(meter.shortage(half, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(3_000)).is_none());
}

/// A cut that leaves a tenth of the slots unused rises, though demand still seems to be as great.
#[test]
fn a_cut_that_leaves_slots_unused_rises() {
    let route: Arc<str> = Arc::from("read");
    let stream = || Stream { route: &route, priority: 2, each_second: 2_000, share: 1.0 };
    let before = cut(&mut meter_of(&[stream()]), FULL);
    let mut meter = meter_of(&[stream()]);
    let unused = Load { running: 18, limit: 20, waiting: 0 };
    let mut due = 0.0;
    for step in 200..500 {
        due += 20.0;
        while due >= 1.0 {
            meter.call_arrived(&route, 2, 1.0, milliseconds(step * 10));
            due -= 1.0;
        }
        meter.shortage(unused, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(step * 10));
    }
    let after = cut_of(&mut meter, "read", unused, 5_000);
    assert!(after > before + 0.1, "{before} to {after}");
}

#[test]
fn the_most_important_are_shared_out_if_they_alone_are_too_many() {
    let route: Arc<str> = Arc::from("read");
    let first = Stream { route: &route, priority: 0, each_second: 2_000, share: 1.0 };
    let last = Stream { route: &route, priority: 2, each_second: 800, share: MIN_ADMITTED_SHARE };
    let cut = cut(&mut meter_of(&[first, last]), FULL);
    assert!((0.4..0.6).contains(&cut), "{cut}");
}

/// Roots of which every second fails with its first refused call leave out the calls that they would have made after it.
#[test]
fn calls_that_do_not_come_since_others_were_refused_are_made_up_for() {
    let route: Arc<str> = Arc::from("read");
    let stream = || Stream { route: &route, priority: 2, each_second: 800, share: 1.0 };
    let mut meter = meter_of(&[stream()]);
    for number in 0..400 {
        meter.inner_call_arrived(2);
        if number % 2 == 0 {
            meter.inner_call_refused(2);
        }
    }
    let cut = cut(&mut meter, FULL);
    assert!((2.4..2.8).contains(&cut), "twice what arrives is asked for: {cut}");
}

/// Calls that another service's cut keeps away leave their slots to others.
#[test]
fn what_another_cut_keeps_away_counts_only_with_the_share_that_comes() {
    let routes: [Arc<str>; 2] = ["parent of a scarce one", "other"].map(Arc::from);
    let parent = Stream { route: &routes[0], priority: 2, each_second: 2_000, share: MIN_ADMITTED_SHARE };
    let other = Stream { route: &routes[1], priority: 2, each_second: 700, share: 1.0 };
    let mut meter = meter_of(&[parent, other]);
    let cut_of = |route: &str| {
        if route == &*routes[0] {
            AdmissionLevel::from_priority_share(0.5)
        } else {
            AdmissionLevel::FULL
        }
    };
    assert!(meter.shortage(FULL, PRIORITIES, cut_of, milliseconds(2_000)).is_none());
    assert!(meter.shortage(FULL, PRIORITIES, |_| AdmissionLevel::FULL, milliseconds(2_000)).is_some());
}

/// Short calls that take a fifth of the slots' time, and long ones that ask for all of it.
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
        meter.shortage(FULL, PRIORITIES, |_| AdmissionLevel::FULL, now);
    }
    let cut = |meter: &mut CapacityMeter, route| cut_of(meter, route, FULL, 2_000);
    assert!(cut(&mut meter, "short") > 2.99);
    let long = cut(&mut meter, "long");
    assert!((2.7..2.95).contains(&long), "{long}");
}
