//! Plans: what is refused, what is confirmed once, and what retirement and retry changes do.

mod network;

use std::sync::Arc;
use std::time::Duration;

use network::fixtures::{address, addresses, class, configuration, service, site};
use network::Network;
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest, Plan, PlanState};
use quillhatch_control::{ControlInput, ControlMechanisms};
use quillhatch_types::{Configuration, GateStatus, PlanId, RefusalReason, Revision, ServiceName, SiteName};
use test_case::test_case;

const OPERATOR: u8 = 14;

fn default() -> ControlMechanisms {
    ControlMechanisms::default()
}

fn ask(network: &mut Network, body: OperatorRequest) -> OperatorReply {
    network.operator(address(OPERATOR), body)
}

fn plan(network: &mut Network, intent: Intent) -> Box<Plan> {
    match ask(network, OperatorRequest::Plan { intent }) {
        OperatorReply::Planned { plan } => plan,
        other => panic!("no plan: {other}"),
    }
}

fn confirm(network: &mut Network, id: &PlanId) -> OperatorReply {
    ask(network, OperatorRequest::Confirm { plan: id.clone() })
}

fn move_share(from: &str, to: &str, percent: u32) -> Intent {
    Intent::MoveShare { service: service(), from: site(from), to: site(to), percent }
}

fn retire(number: u8) -> Intent {
    Intent::Retire { target: address(number) }
}

fn refusal(reply: OperatorReply) -> String {
    match reply {
        OperatorReply::Refused { findings } => {
            assert!(findings.has_errors());
            findings.to_string()
        }
        other => panic!("not refused: {other}"),
    }
}

fn unknown_service() -> Intent {
    let service = ServiceName::new("nothing").unwrap();
    Intent::MoveShare { service, from: site("old"), to: site("new"), percent: 10 }
}

fn unknown_class() -> Intent {
    let class = quillhatch_types::ClassName::new("nothing").unwrap();
    Intent::ChangeRetries { service: service(), class, budget: 1, ratio: 10 }
}

#[test_case(move_share("old", "new", 101), "outside 0 to 100"; "share above 100")]
#[test_case(move_share("old", "new", 0), "less than one slot"; "share of nothing")]
#[test_case(move_share("old", "old", 10), "both sites are the same"; "to itself")]
#[test_case(move_share("old", "moon", 10), "no target at moon"; "unknown site")]
#[test_case(move_share("new", "old", 10), "owns 0 of 16"; "share that the site does not have")]
#[test_case(unknown_service(), "not configured"; "unknown service")]
#[test_case(unknown_class(), "no class nothing"; "unknown class")]
#[test_case(Intent::ChangeRetries { service: service(), class: class(), budget: 1, ratio: 101 }, "outside 0 to 100"; "ratio above 100")]
#[test_case(retire(99), "no service has a target"; "unknown target")]
#[test_case(Intent::CancelPlan { id: PlanId::new("12345678-00").unwrap() }, "not the id of a plan"; "foreign plan")]
fn an_intent_is_refused(intent: Intent, problem: &str) {
    let mut network = Network::settled(10, default());
    let before = network.table("old");
    let text = refusal(ask(&mut network, OperatorRequest::Plan { intent }));
    assert!(text.contains(problem), "{text}");
    assert_eq!(network.table("old"), before, "nothing has changed");
}

#[test]
fn several_faults_of_one_intent_are_reported_together() {
    let mut network = Network::settled(10, default());
    let text = refusal(ask(&mut network, OperatorRequest::Plan { intent: move_share("moon", "moon", 200) }));
    assert_eq!(text.lines().count(), 4, "{text}");
}

#[test]
fn planning_changes_nothing_and_confirming_twice_is_one_confirmation() {
    let mut network = Network::settled(11, default());
    let before = network.table("old");
    let plan = plan(&mut network, move_share("old", "new", 50));
    assert_eq!(plan.draft.steps.len(), 8);
    assert!(plan.draft.loads.iter().any(|load| load.site == SiteName::new("new").unwrap()));
    network.run(Duration::from_secs(3));
    assert_eq!(network.table("old"), before);
    let id = plan.id;
    assert_eq!(confirm(&mut network, &id), OperatorReply::Confirmed { plan: id.clone(), already: false });
    assert_eq!(confirm(&mut network, &id), OperatorReply::Confirmed { plan: id, already: true });
    network.run(Duration::from_secs(20));
    assert_eq!((network.owned("old"), network.owned("new")), (8, 8), "the share moved once");
}

#[test_case("931fa101-0000000000000000", "is not known"; "unknown")]
#[test_case("00000000-0000000000000000", "not the id of a plan of this deployment"; "foreign")]
fn a_plan_that_nobody_made_is_refused(id: &str, problem: &str) {
    let mut network = Network::settled(12, default());
    let known = plan(&mut network, move_share("old", "new", 50)).id;
    assert!(known.as_str().starts_with("931fa101"), "the prefix names the group: {known}");
    let text = refusal(confirm(&mut network, &PlanId::new(id).unwrap()));
    assert!(text.contains(problem), "{text}");
}

fn confirm_after_a_gate_left(mechanisms: ControlMechanisms) -> OperatorReply {
    let mut network = Network::settled(13, mechanisms);
    let id = plan(&mut network, move_share("old", "new", 50)).id;
    let leader = network.leader("old");
    let mut gates = addresses("old").into_iter().take(3);
    let other = gates.rfind(|address| *address != leader).unwrap();
    network.crash(other);
    network.run(Duration::from_secs(4));
    assert_eq!(network.leader("old"), leader, "only the gate has gone");
    confirm(&mut network, &id)
}

#[test]
fn a_plan_is_refused_when_what_it_rests_on_has_changed() {
    let text = refusal(confirm_after_a_gate_left(default()));
    assert!(text.contains("but now there is"), "{text}");
    let mechanisms = ControlMechanisms { confirm_checks_base: false, ..default() };
    assert!(matches!(confirm_after_a_gate_left(mechanisms), OperatorReply::Confirmed { .. }));
}

/// The fixtures' configuration with another service, whose deadline follows the revision.
fn with_another_service(revision: u64) -> Configuration {
    let mut changed = configuration(revision);
    let mut other = changed.services[&service()].clone();
    other.name = ServiceName::new("other").expect("a name");
    other.targets.clear();
    other.classes[0].deadline = Duration::from_secs(revision);
    changed.services.insert(other.name.clone(), other);
    changed
}

#[test_case(with_another_service(3), true; "another service")]
#[test_case(configuration(3), false; "the service of the plan")]
fn a_plan_outlives_changes_of_other_services_only(mut changed: Configuration, outlives: bool) {
    let mut network = Network::new(16, with_another_service(2), default());
    assert!(network.run_until(Duration::from_secs(15), Network::is_settled));
    network.run(Duration::from_secs(2));
    let id = plan(&mut network, retire(12)).id;
    if !outlives {
        let changed_service = changed.services.get_mut(&service()).expect("the service of the plan");
        changed_service.queue_timeout = Duration::from_millis(200);
    }
    network.platform = Arc::new(changed);
    network.run(Duration::from_secs(3));
    let reply = confirm(&mut network, &id);
    assert_eq!(matches!(reply, OperatorReply::Confirmed { .. }), outlives, "{reply}");
}

#[test]
fn a_second_plan_of_the_same_service_is_refused_at_either_site() {
    let mut network = Network::settled(14, default());
    let here = plan(&mut network, retire(12)).id;
    let there = plan(&mut network, retire(22)).id;
    let moving = plan(&mut network, move_share("old", "new", 50)).id;
    assert!(matches!(confirm(&mut network, &moving), OperatorReply::Confirmed { .. }));
    for second in [here, there] {
        let text = refusal(confirm(&mut network, &second));
        assert!(text.contains(moving.as_str()), "{text}");
    }
    let text = refusal(ask(&mut network, OperatorRequest::Plan { intent: retire(12) }));
    assert!(text.contains(moving.as_str()), "{text}");
}

#[test]
fn without_a_majority_nothing_is_confirmed_and_the_answer_says_so() {
    let mut network = Network::settled(15, default());
    let id = plan(&mut network, retire(12)).id;
    let leader = network.leader("old");
    for other in [11, 12, 13].map(address).into_iter().filter(|address| *address != leader) {
        network.crash(other);
    }
    let request = OperatorRequest::Confirm { plan: id };
    match ask(&mut network, request) {
        OperatorReply::Undecided { problem } => assert!(problem.contains("majority"), "{problem}"),
        other => assert!(refusal(other).contains("majority")),
    }
    network.run(Duration::from_secs(5));
    let table = network.table("old");
    assert!(table.gates.iter().all(|gate| gate.status == GateStatus::Serving));
}

/// The time until the retired gate was closed, if it was.
fn closed_after_retirement(network: &mut Network) -> Option<Duration> {
    let id = plan(network, retire(12)).id;
    assert!(matches!(confirm(network, &id), OperatorReply::Confirmed { .. }));
    let begun = network.now;
    let closed = network.run_until(Duration::from_secs(10), |network| !network.node(12).gate_open);
    println!("time from the confirmation to the closed gate: {:?}", network.now.since(begun));
    closed.then(|| network.now.since(begun))
}

#[test]
fn a_retired_target_takes_no_call_after_two_seconds_and_is_removed_when_idle() {
    let mut network = Network::settled(16, default());
    assert!(closed_after_retirement(&mut network).unwrap() < Duration::from_secs(2));
    assert_eq!(network.node(12).closed_for, Some(RefusalReason::Draining));
    network.run(Duration::from_secs(3));
    assert_eq!(network.table("old").gates.len(), 2);
    assert_eq!(network.owned("old"), 16);
    assert_eq!(network.doubled_keys(), 0);
    let id = match ask(&mut network, OperatorRequest::Plans) {
        OperatorReply::Plans { plans } if plans.is_empty() => None,
        other => panic!("an edge hosts no group: {other}"),
    };
    assert_eq!(id, None::<PlanId>);
    let plans = match network.operator(address(11), OperatorRequest::Plans) {
        OperatorReply::Plans { plans } => plans,
        other => panic!("{other}"),
    };
    assert_eq!(plans[0].state, PlanState::Done);
    assert_eq!(
        ask(&mut network, OperatorRequest::Cancel { plan: plans[0].id.clone() }),
        OperatorReply::Cancelled { plan: plans[0].id.clone(), undoing: true }
    );
    assert!(network.run_until(Duration::from_secs(5), |network| network.node(12).gate_open), "the undo reopens it");
    assert_eq!(network.table("old").gates.len(), 3);
}

#[test]
fn without_the_closing_a_retired_gate_goes_on_taking_calls() {
    let mechanisms = ControlMechanisms { drain_closes_gate: false, ..default() };
    assert_eq!(closed_after_retirement(&mut Network::settled(16, mechanisms)), None);
}

#[test]
fn the_last_target_is_not_retired() {
    let mut network = Network::settled(17, default());
    for number in [12, 13] {
        let id = plan(&mut network, retire(number)).id;
        assert!(matches!(confirm(&mut network, &id), OperatorReply::Confirmed { .. }));
        network.run(Duration::from_secs(4));
    }
    let text = refusal(ask(&mut network, OperatorRequest::Plan { intent: retire(11) }));
    assert!(text.contains("last target"), "{text}");
}

#[test]
fn retry_limits_change_at_both_sites_and_are_undone() {
    let mut network = Network::settled(18, default());
    network.run(Duration::from_secs(1));
    for number in [14, 24] {
        let site = if number == 14 { site("old") } else { site("new") };
        network.feed(address(number), ControlInput::FetchTable { service: service(), site });
    }
    let intent = Intent::ChangeRetries { service: service(), class: class(), budget: 1, ratio: 5 };
    let id = plan(&mut network, intent).id;
    assert!(matches!(confirm(&mut network, &id), OperatorReply::Confirmed { .. }));
    network.run(Duration::from_secs(5));
    let budgets = |network: &Network| -> Vec<u16> {
        let of = |node: &network::SimulatedNode| {
            let configuration = node.configuration.clone().unwrap();
            configuration.services[&service()].class(&class()).unwrap().retry_budget
        };
        network.nodes.values().map(of).collect()
    };
    assert_eq!(budgets(&network), vec![1; 8]);
    assert!(matches!(ask(&mut network, OperatorRequest::Cancel { plan: id }), OperatorReply::Cancelled { .. }));
    network.run(Duration::from_secs(5));
    assert_eq!(budgets(&network), vec![3; 8]);
}

#[test]
fn explain_tells_what_happened_and_the_export_holds_what_is_in_force() {
    let mut network = Network::settled(19, default());
    let id = plan(&mut network, move_share("old", "new", 50)).id;
    confirm(&mut network, &id);
    network.run(Duration::from_secs(20));
    let OperatorReply::Explained { plan, history } = ask(&mut network, OperatorRequest::Explain { id: id.to_string() })
    else {
        panic!("not explained");
    };
    assert_eq!(plan.state, PlanState::Done);
    assert!(history.first().unwrap().what.contains("confirmed: move 50 percent of giving from old to new"));
    assert!(history.iter().filter(|entry| entry.what.contains("is done")).count() >= 8);
    let OperatorReply::Export { configuration: exported } =
        network.operator(address(11), OperatorRequest::Status { export: true })
    else {
        panic!("not exported");
    };
    let giving = &exported.services[&service()];
    assert_eq!(giving.site_shares[&site("old")], 50);
    assert_eq!(giving.minimum_epoch, network.table("old").epoch);
    assert!(exported.revision > configuration(1).revision && exported.revision == Revision(2));
}
