//! End-to-end tests of nodes on a virtual clock: calls, the failure of a gate, a move between sites, and a stop.

mod fleet;

use std::time::Duration;

use fleet::{address, example_configuration, CallOutcome, Fleet};
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest};
use quillhatch_node::NodeInput;
use quillhatch_types::{ServiceName, SiteName};

const SECOND: Duration = Duration::from_secs(1);

fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 8);
    fleet
}

fn call_with_key(fleet: &mut Fleet, number: u32) -> quillhatch_types::CallId {
    fleet.call("giving", "pledges", Some(&format!("pledge-{number}")))
}

#[test]
fn a_started_fleet_serves_every_class() {
    let mut fleet = started_fleet();
    let lookup = fleet.call("directory", "lookups", None);
    let keyed = call_with_key(&mut fleet, 1);
    fleet.run(SECOND);
    assert_eq!(fleet.outcomes.get(&lookup), Some(&CallOutcome::Completed));
    assert_eq!(fleet.outcomes.get(&keyed), Some(&CallOutcome::Completed));
    assert_eq!(fleet.keys_executed_twice(), 0);
}

#[test]
fn a_retry_with_a_finished_key_does_not_execute_again() {
    let mut fleet = started_fleet();
    call_with_key(&mut fleet, 1);
    fleet.run(SECOND);
    call_with_key(&mut fleet, 1);
    fleet.run(SECOND);
    assert_eq!(fleet.executions.len(), 1);
    assert_eq!(fleet.keys_executed_twice(), 0);
    let statistics = fleet.nodes.values().flat_map(|(_, node)| node.statistics());
    let open: f64 =
        statistics.filter(|statistic| statistic.name == "claims_open").map(|statistic| statistic.value).sum();
    assert_eq!(open, 0.0, "no claim is pending after an answered retry");
}

#[test]
fn another_gate_owns_the_slots_of_a_failed_one_within_three_seconds() {
    let mut fleet = started_fleet();
    for number in 0..60 {
        call_with_key(&mut fleet, number);
    }
    fleet.run(SECOND);
    let owner = fleet.executions.values().next().unwrap()[0];
    fleet.kill(owner);
    fleet.run(SECOND * 3);
    let calls: Vec<_> = (100..160).map(|number| call_with_key(&mut fleet, number)).collect();
    fleet.run(SECOND);
    let completed = calls.iter().filter(|call| fleet.outcomes.get(call) == Some(&CallOutcome::Completed)).count();
    assert_eq!(completed, calls.len());
    assert_eq!(fleet.keys_executed_twice(), 0);
}

#[test]
fn a_confirmed_move_shifts_calls_to_the_other_site() {
    let mut fleet = started_fleet();
    let giving = fleet.configuration.services[&ServiceName::new("giving").unwrap()].clone();
    let old = SiteName::new("old").unwrap();
    let node = giving.targets_at(&old).next().unwrap().node;
    let new = SiteName::new("new").unwrap();
    let intent = Intent::MoveShare { service: giving.name.clone(), from: old, to: new.clone(), percent: 50 };
    let OperatorReply::Planned { plan } = fleet.ask(node, OperatorRequest::Plan { intent }) else {
        panic!("no plan");
    };
    let reply = fleet.ask(node, OperatorRequest::Confirm { plan: plan.id.clone() });
    assert!(matches!(reply, OperatorReply::Confirmed { .. }), "{reply:?}");
    for number in 0..300 {
        call_with_key(&mut fleet, number);
        fleet.run(SECOND / 10);
    }
    let at_new = |node: &quillhatch_types::NodeAddress| giving.targets_at(&new).any(|target| target.node == *node);
    let calls: Vec<_> = (300..400).map(|number| call_with_key(&mut fleet, number)).collect();
    fleet.run(SECOND);
    let refused: Vec<_> =
        calls.iter().filter(|call| fleet.outcomes.get(call) != Some(&CallOutcome::Completed)).collect();
    let outcomes: Vec<_> = refused.iter().map(|call| fleet.outcomes.get(call)).collect();
    assert!(refused.is_empty(), "calls after the move were refused: {outcomes:?}");
    let moved = fleet.executions.values().filter(|nodes| nodes.iter().any(at_new)).count();
    assert!(moved > 30, "{moved} calls ran at the new site");
    assert_eq!(fleet.keys_executed_twice(), 0);
    assert!(fleet.nodes.contains_key(&address(fleet::EDGE)));
}

#[test]
fn the_only_gate_of_a_group_stops_in_bounded_time() {
    let mut configuration = example_configuration();
    for service in configuration.services.values_mut() {
        let first = service.targets[0].clone();
        service.targets = vec![first];
    }
    let only = configuration.services.values().next().unwrap().targets[0].node;
    let mut fleet = Fleet::with(configuration);
    fleet.run(SECOND * 8);
    fleet.step(only, NodeInput::Stop { grace: SECOND * 3 });
    fleet.run(SECOND * 5);
    assert_eq!(fleet.exited, [only]);
}
