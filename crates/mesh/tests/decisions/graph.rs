//! The calls between routes, the origin of a target's calls, and the callers of a route.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::call_graph::CallGraph;
use quillhatch_mesh::callers::{CallerKind, RouteCallerCounts};
use quillhatch_mesh::parents::{CallOrigin, InheritedContext, ParentTracker, ALL_ADMITTED_PERMILLE};
use quillhatch_types::Timestamp;
use test_case::test_case;

#[test]
fn routes_that_call_are_distinguished_from_those_that_do_not() {
    let names: [Arc<str>; 3] = ["parent", "leaf", "callee"].map(Arc::from);
    let [parent, leaf, callee] = &names;
    let mut graph = CallGraph::new(Timestamp::ZERO);
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(callee, CallerKind::TargetsOnly);
    let mut now = 0;
    for round in 0_u64..200 {
        // Leaves run all the time; a parent runs in two of three rounds and calls once.
        graph.call_started(leaf, milliseconds(now));
        let running_leaf = parents.call_started(milliseconds(now) + PARENT_TIME, leaf.clone(), context(0, 0));
        let is_parents_round = round % 3 != 0;
        if is_parents_round {
            graph.call_started(parent, milliseconds(now + 10));
            let running_parent =
                parents.call_started(milliseconds(now + 10) + PARENT_TIME, parent.clone(), context(0, 0));
            let rate = |parent: &Arc<str>| graph.call_rate(parent, callee);
            let origin = parents.origin(callee, CALLEE_TIME, milliseconds(now + 20), rate);
            let CallOrigin::UnknownParent(Some(estimate)) = origin else { panic!("{origin:?}") };
            let likelihoods = estimate.parent_routes.iter().map(|(route, likelihood)| (route, *likelihood));
            graph.record_call(callee, likelihoods, milliseconds(now + 20));
            graph.call_ended(parent, milliseconds(now + 30));
            parents.call_ended(running_parent);
        }
        graph.call_ended(leaf, milliseconds(now + 60));
        parents.call_ended(running_leaf);
        now += 70;
    }
    assert_eq!(graph.callees("parent").collect::<Vec<_>>(), [callee]);
    assert_eq!(graph.callees("leaf").count(), 0);
}

const PARENT_TIME: Duration = Duration::from_secs(5);
const CALLEE_TIME: Duration = Duration::from_millis(700);

fn context(priority: u8, position: u8) -> InheritedContext {
    InheritedContext { priority, position, is_retry: false, admitted_permille: ALL_ADMITTED_PERMILLE }
}

/// Two routes; only targets call the second one, with [`CALLEE_TIME`] left at most.
fn tracker_with_callee() -> (Arc<str>, Arc<str>, ParentTracker) {
    let (parent, callee): (Arc<str>, Arc<str>) = (Arc::from("parent"), Arc::from("callee"));
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(&callee, CallerKind::TargetsOnly);
    parents.origin(&callee, CALLEE_TIME, Timestamp::ZERO, |_| 1.0);
    (parent, callee, parents)
}

#[test]
fn a_call_is_matched_with_the_running_call_of_the_same_deadline() {
    let (parent, callee, mut parents) = tracker_with_callee();
    let first = parents.call_started(milliseconds(1_000), parent.clone(), context(0, 1));
    parents.call_started(milliseconds(1_020), parent.clone(), context(0, 2));
    let mut origin = |time| parents.origin(&callee, Duration::from_millis(time), milliseconds(500), |_| 1.0);
    assert_eq!(origin(501), CallOrigin::KnownParent(parent.clone(), context(0, 1)));
    assert_eq!(origin(519), CallOrigin::KnownParent(parent.clone(), context(0, 2)));
    assert_eq!(origin(600), CallOrigin::UnknownParent(None), "no running call has so much time left");
    parents.call_ended(first);
    let after = parents.origin(&callee, Duration::from_millis(501), milliseconds(500), |_| 1.0);
    assert!(matches!(after, CallOrigin::UnknownParent(Some(estimate)) if estimate.priority == 0));
}

/// Many parents of the highest priority have less time left than the maximum that a target gives its calls; some
/// others, of a lower priority, have more.
#[test]
fn a_call_with_the_maximum_time_inherits_from_parents_with_enough_time_left() {
    let (parent, callee, mut parents) = tracker_with_callee();
    let short: Arc<str> = Arc::from("short");
    for number in 0_u8..40 {
        parents.call_started(milliseconds(600 + u64::from(number)), short.clone(), context(0, number));
    }
    for number in 0_u8..10 {
        parents.call_started(milliseconds(4_000 + u64::from(number)), parent.clone(), context(2, number));
    }
    let max_time_origin = parents.origin(&callee, CALLEE_TIME, milliseconds(100), |_| 1.0);
    let CallOrigin::UnknownParent(Some(estimate)) = max_time_origin else { panic!("{max_time_origin:?}") };
    assert_eq!(estimate.priority, 2);
    assert_eq!(estimate.parent_routes, [(parent, 1.0)], "the others have less time left than the call");
    let matched = parents.origin(&callee, Duration::from_millis(515), milliseconds(100), |_| 1.0);
    assert!(
        matches!(matched, CallOrigin::KnownParent(route, InheritedContext { priority: 0, .. }) if *route == *short)
    );
}

#[test]
fn a_call_inherits_from_the_routes_that_call_it() {
    let (parent, callee, mut parents) = tracker_with_callee();
    let leaf: Arc<str> = Arc::from("leaf");
    for number in 0_u8..30 {
        parents.call_started(milliseconds(4_000), leaf.clone(), context(0, number));
    }
    let retried = InheritedContext { is_retry: true, ..context(2, 1) };
    parents.call_started(milliseconds(4_000), parent.clone(), context(2, 1));
    parents.call_started(milliseconds(4_000), parent.clone(), retried);
    let rate = |route: &Arc<str>| if *route == parent { 10.0 } else { 0.05 };
    let CallOrigin::UnknownParent(Some(estimate)) = parents.origin(&callee, CALLEE_TIME, milliseconds(100), rate)
    else {
        panic!("not attributed to the target")
    };
    assert_eq!(estimate.priority, 2);
    assert!((estimate.retry_share - 0.5).abs() < 0.05, "{}", estimate.retry_share);
}

/// Calls of a route that enters at all machines always have the same time left as running calls of that route.
#[test]
fn calls_of_callers_are_not_attributed_to_the_target() {
    let route: Arc<str> = Arc::from("entered");
    let other: Arc<str> = Arc::from("other");
    let mut parents = ParentTracker::default();
    parents.record_caller_kind(&route, CallerKind::IncludesCallers);
    parents.record_caller_kind(&other, CallerKind::IncludesCallers);
    for number in 0_u8..200 {
        let now = milliseconds(u64::from(number));
        parents.call_started(now + PARENT_TIME, route.clone(), context(2, number));
        parents.call_started(now + PARENT_TIME, other.clone(), context(2, number));
        assert_eq!(parents.origin(&route, PARENT_TIME, now, |_| 1.0), CallOrigin::Caller);
        assert_eq!(parents.origin(&other, PARENT_TIME, now, |_| 1.0), CallOrigin::Caller);
    }
}

/// Classifies a route after some calls, which come from the given services in turn, among services of equal size.
fn classify(callers: &[usize], services: usize, calls: usize) -> CallerKind {
    let names: Vec<Arc<str>> = (0..services).map(|number| Arc::from(format!("service-{number}"))).collect();
    let route: Arc<str> = Arc::from("route");
    let mut counts = RouteCallerCounts::default();
    for number in 0..calls {
        // A few calls come from everywhere.
        let caller = if number % 101 == 100 { number % services } else { callers[number % callers.len()] };
        counts.count_call(&route, &names[caller]);
    }
    counts.caller_kind("route", || names.iter().map(|name| (name, 1.0 / services as f64)))
}

#[test_case(&[0], 3, 1_000 => CallerKind::TargetsOnly; "targets of one service")]
#[test_case(&[0, 1], 3, 1_000 => CallerKind::TargetsOnly; "targets of two services")]
#[test_case(&[0], 3, 16 => CallerKind::TargetsOnly; "few calls are enough")]
#[test_case(&[0, 1, 2], 3, 1_000 => CallerKind::IncludesCallers; "all services")]
#[test_case(&[0], 3, 6 => CallerKind::Unknown; "too few calls")]
#[test_case(&[0], 1, 1_000 => CallerKind::IncludesCallers; "a single service can't be classified otherwise")]
#[test_case(&[0, 1, 2], 200, 300 => CallerKind::Unknown; "many services, each expected to call about once")]
fn a_route_that_is_never_called_from_some_services_machines_is_called_by_targets(
    callers: &[usize],
    services: usize,
    calls: usize,
) -> CallerKind {
    classify(callers, services, calls)
}
