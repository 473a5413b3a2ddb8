//! Which calls belong to which.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::callers::{CalledBy, CallerShares};
use quillhatch_mesh::demand::CallGraph;
use quillhatch_mesh::parents::{Lineage, Origin, Parents, ALL_ADMITTED};
use quillhatch_types::Timestamp;
use test_case::test_case;

#[test]
fn the_routes_that_call_are_told_from_those_that_do_not() {
    let names: [Arc<str>; 3] = ["parent", "leaf", "called"].map(Arc::from);
    let [parent, leaf, called] = &names;
    let mut graph = CallGraph::new(Timestamp::ZERO);
    let mut parents = Parents::default();
    parents.report(called, CalledBy::Targets);
    let mut now = 0;
    for round in 0_u64..200 {
        // Leaves run all the time; a parent runs in two of three rounds and calls once.
        graph.started(leaf, milliseconds(now));
        let running_leaf = parents.started(milliseconds(now) + PARENT_TIME, leaf.clone(), lineage(0, 0));
        let is_parents_round = round % 3 != 0;
        if is_parents_round {
            graph.started(parent, milliseconds(now + 10));
            let running_parent = parents.started(milliseconds(now + 10) + PARENT_TIME, parent.clone(), lineage(0, 0));
            let rate = |parent: &Arc<str>| graph.rate(parent, called);
            let origin = parents.origin(called, CALLED_TIME, milliseconds(now + 20), rate);
            let Origin::Target(Some(likely)) = origin else { panic!("{origin:?}") };
            let likely = likely.routes.iter().map(|(route, likelihood)| (route, *likelihood));
            graph.called(called, likely, milliseconds(now + 20));
            graph.ended(parent, milliseconds(now + 30));
            parents.ended(running_parent);
        }
        graph.ended(leaf, milliseconds(now + 60));
        parents.ended(running_leaf);
        now += 70;
    }
    assert_eq!(graph.called_by("parent").collect::<Vec<_>>(), [called]);
    assert_eq!(graph.called_by("leaf").count(), 0);
}

const PARENT_TIME: Duration = Duration::from_secs(5);
const CALLED_TIME: Duration = Duration::from_millis(700);

fn lineage(priority: u8, position: u8) -> Lineage {
    Lineage { priority, position, is_repeat: false, admitted_permille: ALL_ADMITTED }
}

/// Two routes, the second of which only targets call, with at most [`CALLED_TIME`].
fn parents_of_called() -> (Arc<str>, Arc<str>, Parents) {
    let (parent, called): (Arc<str>, Arc<str>) = (Arc::from("parent"), Arc::from("called"));
    let mut parents = Parents::default();
    parents.report(&called, CalledBy::Targets);
    parents.origin(&called, CALLED_TIME, Timestamp::ZERO, |_| 1.0);
    (parent, called, parents)
}

#[test]
fn a_call_with_the_deadline_of_a_running_one_is_made_for_it() {
    let (parent, called, mut parents) = parents_of_called();
    let first = parents.started(milliseconds(1_000), parent.clone(), lineage(0, 1));
    parents.started(milliseconds(1_020), parent.clone(), lineage(0, 2));
    let mut origin = |time| parents.origin(&called, Duration::from_millis(time), milliseconds(500), |_| 1.0);
    assert_eq!(origin(501), Origin::Parent(parent.clone(), lineage(0, 1)));
    assert_eq!(origin(519), Origin::Parent(parent.clone(), lineage(0, 2)));
    assert_eq!(origin(600), Origin::Target(None), "no running call has so much time left");
    parents.ended(first);
    let after = parents.origin(&called, Duration::from_millis(501), milliseconds(500), |_| 1.0);
    assert!(matches!(after, Origin::Target(Some(likely)) if likely.priority == 0));
}

/// Parents of the greatest importance that have less time than a target gives its calls at most, among many others that have more.
#[test]
fn a_call_with_its_routes_own_time_inherits_from_parents_that_have_as_much() {
    let (parent, called, mut parents) = parents_of_called();
    let short: Arc<str> = Arc::from("short");
    for number in 0_u8..40 {
        parents.started(milliseconds(600 + u64::from(number)), short.clone(), lineage(0, number));
    }
    for number in 0_u8..10 {
        parents.started(milliseconds(4_000 + u64::from(number)), parent.clone(), lineage(2, number));
    }
    let own = parents.origin(&called, CALLED_TIME, milliseconds(100), |_| 1.0);
    let Origin::Target(Some(likely)) = own else { panic!("{own:?}") };
    assert_eq!(likely.priority, 2);
    assert_eq!(likely.routes, [(parent, 1.0)], "the others have less time left than the call");
    let matched = parents.origin(&called, Duration::from_millis(515), milliseconds(100), |_| 1.0);
    assert!(matches!(matched, Origin::Parent(route, Lineage { priority: 0, .. }) if *route == *short));
}

#[test]
fn a_call_inherits_from_the_routes_that_call_it() {
    let (parent, called, mut parents) = parents_of_called();
    let leaf: Arc<str> = Arc::from("leaf");
    for number in 0_u8..30 {
        parents.started(milliseconds(4_000), leaf.clone(), lineage(0, number));
    }
    let repeated = Lineage { is_repeat: true, ..lineage(2, 1) };
    parents.started(milliseconds(4_000), parent.clone(), lineage(2, 1));
    parents.started(milliseconds(4_000), parent.clone(), repeated);
    let rate = |route: &Arc<str>| if *route == parent { 10.0 } else { 0.05 };
    let Origin::Target(Some(likely)) = parents.origin(&called, CALLED_TIME, milliseconds(100), rate) else {
        panic!("it was made by the target")
    };
    assert_eq!(likely.priority, 2);
    assert!((likely.repeated_share - 0.5).abs() < 0.05, "{}", likely.repeated_share);
}

/// Calls of a route that enters at all machines have the time of running calls of the same route all the while.
#[test]
fn calls_of_callers_are_not_taken_for_calls_of_the_target() {
    let route: Arc<str> = Arc::from("entered");
    let other: Arc<str> = Arc::from("other");
    let mut parents = Parents::default();
    parents.report(&route, CalledBy::Callers);
    parents.report(&other, CalledBy::Callers);
    for number in 0_u8..200 {
        let now = milliseconds(u64::from(number));
        parents.started(now + PARENT_TIME, route.clone(), lineage(2, number));
        parents.started(now + PARENT_TIME, other.clone(), lineage(2, number));
        assert_eq!(parents.origin(&route, PARENT_TIME, now, |_| 1.0), Origin::Caller);
        assert_eq!(parents.origin(&other, PARENT_TIME, now, |_| 1.0), Origin::Caller);
    }
}

/// The verdict on a route after some calls, which come from the services with the given weights in turn, among services of equal size.
fn verdict(callers: &[usize], services: usize, calls: usize) -> CalledBy {
    let names: Vec<Arc<str>> = (0..services).map(|number| Arc::from(format!("service-{number}"))).collect();
    let route: Arc<str> = Arc::from("route");
    let mut shares = CallerShares::default();
    for number in 0..calls {
        // A few calls come from everywhere.
        let caller = if number % 101 == 100 { number % services } else { callers[number % callers.len()] };
        shares.count(&route, &names[caller]);
    }
    shares.called_by("route", || names.iter().map(|name| (name, 1.0 / services as f64)))
}

#[test_case(&[0], 3, 1_000 => CalledBy::Targets; "targets of one service")]
#[test_case(&[0, 1], 3, 1_000 => CalledBy::Targets; "targets of two services")]
#[test_case(&[0], 3, 16 => CalledBy::Targets; "soon")]
#[test_case(&[0, 1, 2], 3, 1_000 => CalledBy::Callers; "all")]
#[test_case(&[0], 3, 6 => CalledBy::Unknown; "too few calls")]
#[test_case(&[0], 1, 1_000 => CalledBy::Callers; "one service leaves nothing to tell them apart by")]
#[test_case(&[0, 1, 2], 200, 300 => CalledBy::Unknown; "many services of which each is expected to call once")]
fn a_route_that_some_services_machines_never_use_is_called_by_targets(
    callers: &[usize],
    services: usize,
    calls: usize,
) -> CalledBy {
    verdict(callers, services, calls)
}
