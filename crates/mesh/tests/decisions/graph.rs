//! Which calls belong to which.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::call_graph::CallGraph;
use quillhatch_mesh::callers::{CallerKind, RouteCallerCounts};
use quillhatch_mesh::parents::{CallOrigin, InheritedContext, ParentTracker, ALL_ADMITTED_PERMILLE};
use quillhatch_types::Timestamp;
use test_case::test_case;

#[test]
fn the_routes_that_call_are_told_from_those_that_do_not() {
    let names: [Arc<str>; 3] = ["parent", "leaf", "called"].map(Arc::from);
    let [parent, leaf, called] = &names;
    let mut graph = CallGraph::new(Timestamp::ZERO);
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(called, CallerKind::TargetsOnly);
    let mut now = 0;
    for round in 0_u64..200 {
        // Leaves run all the time; a parent runs in two of three rounds and calls once.
        graph.call_started(leaf, milliseconds(now));
        let running_leaf = parents.call_started(milliseconds(now) + PARENT_TIME, leaf.clone(), lineage(0, 0));
        let is_parents_round = round % 3 != 0;
        if is_parents_round {
            graph.call_started(parent, milliseconds(now + 10));
            let running_parent =
                parents.call_started(milliseconds(now + 10) + PARENT_TIME, parent.clone(), lineage(0, 0));
            let rate = |parent: &Arc<str>| graph.call_rate(parent, called);
            let origin = parents.origin(called, CALLED_TIME, milliseconds(now + 20), rate);
            let CallOrigin::UnknownParent(Some(likely)) = origin else { panic!("{origin:?}") };
            let likely = likely.parent_routes.iter().map(|(route, likelihood)| (route, *likelihood));
            graph.record_call(called, likely, milliseconds(now + 20));
            graph.call_ended(parent, milliseconds(now + 30));
            parents.call_ended(running_parent);
        }
        graph.call_ended(leaf, milliseconds(now + 60));
        parents.call_ended(running_leaf);
        now += 70;
    }
    assert_eq!(graph.callees("parent").collect::<Vec<_>>(), [called]);
    assert_eq!(graph.callees("leaf").count(), 0);
}

const PARENT_TIME: Duration = Duration::from_secs(5);
const CALLED_TIME: Duration = Duration::from_millis(700);

fn lineage(priority: u8, position: u8) -> InheritedContext {
    InheritedContext { priority, position, is_retry: false, admitted_permille: ALL_ADMITTED_PERMILLE }
}

/// Two routes, the second of which only targets call, with at most [`CALLED_TIME`].
fn parents_of_called() -> (Arc<str>, Arc<str>, ParentTracker) {
    let (parent, called): (Arc<str>, Arc<str>) = (Arc::from("parent"), Arc::from("called"));
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(&called, CallerKind::TargetsOnly);
    parents.origin(&called, CALLED_TIME, Timestamp::ZERO, |_| 1.0);
    (parent, called, parents)
}

#[test]
fn a_call_with_the_deadline_of_a_running_one_is_made_for_it() {
    let (parent, called, mut parents) = parents_of_called();
    let first = parents.call_started(milliseconds(1_000), parent.clone(), lineage(0, 1));
    parents.call_started(milliseconds(1_020), parent.clone(), lineage(0, 2));
    let mut origin = |time| parents.origin(&called, Duration::from_millis(time), milliseconds(500), |_| 1.0);
    assert_eq!(origin(501), CallOrigin::KnownParent(parent.clone(), lineage(0, 1)));
    assert_eq!(origin(519), CallOrigin::KnownParent(parent.clone(), lineage(0, 2)));
    assert_eq!(origin(600), CallOrigin::UnknownParent(None), "no running call has so much time left");
    parents.call_ended(first);
    let after = parents.origin(&called, Duration::from_millis(501), milliseconds(500), |_| 1.0);
    assert!(matches!(after, CallOrigin::UnknownParent(Some(likely)) if likely.priority == 0));
}

/// Parents of the greatest importance that have less time than a target gives its calls at most, among many others that have more.
#[test]
fn a_call_with_its_routes_own_time_inherits_from_parents_that_have_as_much() {
    let (parent, called, mut parents) = parents_of_called();
    let short: Arc<str> = Arc::from("short");
    for number in 0_u8..40 {
        parents.call_started(milliseconds(600 + u64::from(number)), short.clone(), lineage(0, number));
    }
    for number in 0_u8..10 {
        parents.call_started(milliseconds(4_000 + u64::from(number)), parent.clone(), lineage(2, number));
    }
    let own = parents.origin(&called, CALLED_TIME, milliseconds(100), |_| 1.0);
    let CallOrigin::UnknownParent(Some(likely)) = own else { panic!("{own:?}") };
    assert_eq!(likely.priority, 2);
    assert_eq!(likely.parent_routes, [(parent, 1.0)], "the others have less time left than the call");
    let matched = parents.origin(&called, Duration::from_millis(515), milliseconds(100), |_| 1.0);
    assert!(
        matches!(matched, CallOrigin::KnownParent(route, InheritedContext { priority: 0, .. }) if *route == *short)
    );
}

#[test]
fn a_call_inherits_from_the_routes_that_call_it() {
    let (parent, called, mut parents) = parents_of_called();
    let leaf: Arc<str> = Arc::from("leaf");
    for number in 0_u8..30 {
        parents.call_started(milliseconds(4_000), leaf.clone(), lineage(0, number));
    }
    let repeated = InheritedContext { is_retry: true, ..lineage(2, 1) };
    parents.call_started(milliseconds(4_000), parent.clone(), lineage(2, 1));
    parents.call_started(milliseconds(4_000), parent.clone(), repeated);
    let rate = |route: &Arc<str>| if *route == parent { 10.0 } else { 0.05 };
    let CallOrigin::UnknownParent(Some(likely)) = parents.origin(&called, CALLED_TIME, milliseconds(100), rate) else {
        panic!("it was made by the target")
    };
    assert_eq!(likely.priority, 2);
    assert!((likely.retry_share - 0.5).abs() < 0.05, "{}", likely.retry_share);
}

/// Calls of a route that enters at all machines have the time of running calls of the same route all the while.
#[test]
fn calls_of_callers_are_not_taken_for_calls_of_the_target() {
    let route: Arc<str> = Arc::from("entered");
    let other: Arc<str> = Arc::from("other");
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(&route, CallerKind::IncludesCallers);
    parents.record_caller_kind(&other, CallerKind::IncludesCallers);
    for number in 0_u8..200 {
        let now = milliseconds(u64::from(number));
        parents.call_started(now + PARENT_TIME, route.clone(), lineage(2, number));
        parents.call_started(now + PARENT_TIME, other.clone(), lineage(2, number));
        assert_eq!(parents.origin(&route, PARENT_TIME, now, |_| 1.0), CallOrigin::Caller);
        assert_eq!(parents.origin(&other, PARENT_TIME, now, |_| 1.0), CallOrigin::Caller);
    }
}

/// The verdict on a route after some calls, which come from the services with the given weights in turn, among services of equal size.
fn verdict(callers: &[usize], services: usize, calls: usize) -> CallerKind {
    let names: Vec<Arc<str>> = (0..services).map(|number| Arc::from(format!("service-{number}"))).collect();
    let route: Arc<str> = Arc::from("route");
    let mut shares = RouteCallerCounts::default();
    for number in 0..calls {
        // A few calls come from everywhere.
        let caller = if number % 101 == 100 { number % services } else { callers[number % callers.len()] };
        shares.count_call(&route, &names[caller]);
    }
    shares.caller_kind("route", || names.iter().map(|name| (name, 1.0 / services as f64)))
}

#[test_case(&[0], 3, 1_000 => CallerKind::TargetsOnly; "targets of one service")]
#[test_case(&[0, 1], 3, 1_000 => CallerKind::TargetsOnly; "targets of two services")]
#[test_case(&[0], 3, 16 => CallerKind::TargetsOnly; "soon")]
#[test_case(&[0, 1, 2], 3, 1_000 => CallerKind::IncludesCallers; "all")]
#[test_case(&[0], 3, 6 => CallerKind::Unknown; "too few calls")]
#[test_case(&[0], 1, 1_000 => CallerKind::IncludesCallers; "one service leaves nothing to tell them apart by")]
#[test_case(&[0, 1, 2], 200, 300 => CallerKind::Unknown; "many services of which each is expected to call once")]
fn a_route_that_some_services_machines_never_use_is_called_by_targets(
    callers: &[usize],
    services: usize,
    calls: usize,
) -> CallerKind {
    verdict(callers, services, calls)
}
