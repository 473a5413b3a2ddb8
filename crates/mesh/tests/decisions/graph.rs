//! Which calls belong to which.

use std::sync::Arc;

use crate::milliseconds;
use quillhatch_mesh::demand::CallGraph;
use quillhatch_mesh::parents::{CallerShares, Lineage, Origin, Parents};
use quillhatch_types::Timestamp;

#[test]
fn the_routes_that_call_are_told_from_those_that_do_not() {
    let names: [Arc<str>; 3] = ["parent", "leaf", "called"].map(Arc::from);
    let [parent, leaf, called] = &names;
    let mut graph = CallGraph::new(Timestamp::ZERO);
    let mut now = 0;
    for round in 0_u64..200 {
        // Leaves run all the time; a parent runs in two of three rounds and calls once.
        graph.started(leaf, milliseconds(now));
        let is_parents_round = round % 3 != 0;
        if is_parents_round {
            graph.started(parent, milliseconds(now + 10));
            graph.called(called, None, milliseconds(now + 20));
            graph.ended(parent, milliseconds(now + 30));
        }
        graph.ended(leaf, milliseconds(now + 60));
        now += 70;
    }
    assert_eq!(graph.called_by("parent").collect::<Vec<_>>(), [called]);
    assert_eq!(graph.called_by("leaf").count(), 0);
}

#[test]
fn a_call_with_the_deadline_of_a_running_one_is_made_for_it() {
    let names: [Arc<str>; 3] = ["parent", "called", "other"].map(Arc::from);
    let [parent, called, other] = &names;
    let lineage = |position| Lineage { priority: 0, position, is_repeat: false };
    let mut parents = Parents::default();
    let first = parents.started(milliseconds(1_000), parent.clone(), lineage(1));
    parents.started(milliseconds(1_020), parent.clone(), lineage(2));
    assert_eq!(parents.origin(called, milliseconds(1_001)), Origin::Parent(parent.clone(), lineage(1)));
    assert_eq!(parents.origin(called, milliseconds(1_019)), Origin::Parent(parent.clone(), lineage(2)));
    assert_eq!(parents.origin(other, milliseconds(5_000)), Origin::Caller);
    parents.ended(first);
    assert_eq!(parents.origin(other, milliseconds(1_001)), Origin::Caller);
}

#[test]
fn a_route_that_targets_call_is_known_also_where_its_own_deadline_is_shorter() {
    let (parent, called): (Arc<str>, Arc<str>) = (Arc::from("parent"), Arc::from("called"));
    let mut parents = Parents::default();
    parents.started(milliseconds(1_000), parent, Lineage { priority: 0, position: 1, is_repeat: false });
    assert_eq!(parents.origin(&called, milliseconds(700)), Origin::Caller);
    for _ in 0..40 {
        parents.origin(&called, milliseconds(1_000));
    }
    assert_eq!(parents.origin(&called, milliseconds(700)), Origin::Target);
}

#[test]
fn a_route_that_only_the_machines_of_one_service_use_is_called_by_targets() {
    let (inner, outer): (Arc<str>, Arc<str>) = (Arc::from("inner"), Arc::from("outer"));
    let mut shares = CallerShares::default();
    for number in 0..1_000 {
        shares.count(&inner, "alpha");
        shares.count(&outer, ["alpha", "beta", "gamma"][number % 3]);
    }
    assert!(shares.is_called_by_targets("inner", 3));
    assert!(!shares.is_called_by_targets("outer", 3));
    assert!(!shares.is_called_by_targets("inner", 1), "with one service there is nothing to tell them apart");
    let mut parents = Parents::default();
    parents.told(&inner, true);
    assert_eq!(parents.origin(&inner, milliseconds(700)), Origin::Target);
    parents.told(&inner, false);
    assert_eq!(parents.origin(&inner, milliseconds(700)), Origin::Caller);
}
