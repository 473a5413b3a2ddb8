//! The whole path through real nodes on a virtual clock: calls, a failure, a move.

mod fleet;

use std::time::Duration;

use fleet::{address, prairie, End, Fleet};
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest};
use quillhatch_node::NodeInput;
use quillhatch_types::{ServiceName, SiteName};

const SECOND: Duration = Duration::from_secs(1);

fn started() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 8);
    fleet
}

fn pledge(fleet: &mut Fleet, number: u32) -> quillhatch_types::CallId {
    fleet.call("giving", "pledges", Some(&format!("pledge-{number}")))
}

#[test]
fn a_started_fleet_serves_every_class() {
    let mut fleet = started();
    let lookup = fleet.call("directory", "lookups", None);
    let keyed = pledge(&mut fleet, 1);
    fleet.run(SECOND);
    assert_eq!(fleet.ends.get(&lookup), Some(&End::Whole));
    assert_eq!(fleet.ends.get(&keyed), Some(&End::Whole));
    assert_eq!(fleet.doubled_keys(), 0);
}

#[test]
fn a_repeat_of_a_finished_key_does_not_run_again() {
    let mut fleet = started();
    pledge(&mut fleet, 1);
    fleet.run(SECOND);
    pledge(&mut fleet, 1);
    fleet.run(SECOND);
    assert_eq!(fleet.runs.len(), 1);
    assert_eq!(fleet.doubled_keys(), 0);
    let statistics = fleet.nodes.values().flat_map(|(_, node)| node.statistics());
    let open: f64 =
        statistics.filter(|statistic| statistic.name == "claims_open").map(|statistic| statistic.value).sum();
    assert_eq!(open, 0.0, "nothing is kept of a repeat that was answered");
}

#[test]
fn another_gate_owns_the_slots_of_a_failed_one_within_three_seconds() {
    let mut fleet = started();
    for number in 0..60 {
        pledge(&mut fleet, number);
    }
    fleet.run(SECOND);
    let owner = fleet.runs.values().next().unwrap()[0];
    fleet.kill(owner);
    fleet.run(SECOND * 3);
    let calls: Vec<_> = (100..160).map(|number| pledge(&mut fleet, number)).collect();
    fleet.run(SECOND);
    let whole = calls.iter().filter(|call| fleet.ends.get(call) == Some(&End::Whole)).count();
    assert_eq!(whole, calls.len());
    assert_eq!(fleet.doubled_keys(), 0);
}

#[test]
fn a_confirmed_move_takes_calls_to_the_other_site() {
    let mut fleet = started();
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
        pledge(&mut fleet, number);
        fleet.run(SECOND / 10);
    }
    let at_new = |node: &quillhatch_types::NodeAddress| giving.targets_at(&new).any(|target| target.node == *node);
    let calls: Vec<_> = (300..400).map(|number| pledge(&mut fleet, number)).collect();
    fleet.run(SECOND);
    let refused: Vec<_> = calls.iter().filter(|call| fleet.ends.get(call) != Some(&End::Whole)).collect();
    let why: Vec<_> = refused.iter().map(|call| fleet.ends.get(call)).collect();
    assert!(refused.is_empty(), "calls after the move were refused: {why:?}");
    let moved = fleet.runs.values().filter(|runs| runs.iter().any(at_new)).count();
    assert!(moved > 30, "{moved} calls ran at the new site");
    assert_eq!(fleet.doubled_keys(), 0);
    assert!(fleet.nodes.contains_key(&address(fleet::EDGE)));
}

#[test]
fn the_only_gate_of_a_group_stops_without_end_of_time() {
    let mut configuration = prairie();
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
