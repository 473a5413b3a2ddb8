//! Moving a share between sites: no key runs twice and no slot has two owners, whatever is cut, lost or restarted.

mod network;

use std::time::Duration;

use network::fixtures::{address, addresses, service, site, SLOTS};
use network::Network;
use quillhatch_control::io::LoadReport;
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest, PlanState, PlanSummary};
use quillhatch_control::{ControlInput, ControlMechanisms};
use quillhatch_types::{PlanId, SlotState};
use rand::Rng;
use test_case::test_case;

const OPERATOR: u8 = 14;

fn intent(percent: u32) -> Intent {
    Intent::MoveShare { service: service(), from: site("old"), to: site("new"), percent }
}

fn planned(network: &mut Network, intent: Intent) -> PlanId {
    match network.operator(address(OPERATOR), OperatorRequest::Plan { intent }) {
        OperatorReply::Planned { plan } => plan.id,
        other => panic!("no plan: {other}"),
    }
}

fn confirmed(network: &mut Network, intent: Intent) -> PlanId {
    let plan = planned(network, intent);
    let reply = network.operator(address(OPERATOR), OperatorRequest::Confirm { plan: plan.clone() });
    assert_eq!(reply, OperatorReply::Confirmed { plan: plan.clone(), already: false });
    plan
}

fn summary(network: &mut Network, plan: &PlanId) -> PlanSummary {
    match network.operator(address(OPERATOR), OperatorRequest::Explain { id: plan.to_string() }) {
        OperatorReply::Explained { plan, .. } => *plan,
        other => panic!("not explained: {other}"),
    }
}

fn run_until_state(network: &mut Network, plan: &PlanId, wanted: impl Fn(&PlanState) -> bool) -> bool {
    for _ in 0..120 {
        if wanted(&summary(network, plan).state) {
            return true;
        }
        network.run(Duration::from_millis(500));
    }
    false
}

#[test]
fn a_share_moves_while_both_sites_carry_load() {
    let mut network = Network::settled(2, ControlMechanisms::default());
    let plan = confirmed(&mut network, intent(50));
    let begun = network.now;
    assert!(run_until_state(&mut network, &plan, |state| *state == PlanState::Done));
    let time = network.now.since(begun);
    println!("time of a move in eight steps: {time:?}");
    assert!(time < Duration::from_secs(8 * 2), "a step took longer than two seconds");
    assert_eq!((network.owned("old"), network.owned("new")), (8, 8));
    network.run(Duration::from_secs(2));
    assert_eq!(network.doubled_keys(), 0);
    assert_eq!(network.overlapping_owners, 0);
    assert!(network.runs_by_site[&site("old")] > 0 && network.runs_by_site[&site("new")] > 0);
}

#[test]
fn cancelling_a_finished_move_brings_the_slots_back() {
    let mut network = Network::settled(3, ControlMechanisms::default());
    let plan = confirmed(&mut network, intent(25));
    assert!(run_until_state(&mut network, &plan, |state| *state == PlanState::Done));
    let cancel = Intent::CancelPlan { id: plan.clone() };
    confirmed(&mut network, cancel);
    assert!(run_until_state(&mut network, &plan, |state| matches!(state, PlanState::Undone { .. })));
    assert_eq!((network.owned("old"), network.owned("new")), (16, 0));
    assert_eq!(network.doubled_keys(), 0);
}

/// Loss, late copies, cuts between the sites, and crashes of leaders while slots move and the plan is cancelled half way.
fn stormy_move(seed: u64, mechanisms: ControlMechanisms) -> Network {
    let mut network = Network::settled(seed, mechanisms);
    let plan = confirmed(&mut network, intent(50));
    network.loss = 0.05;
    network.duplicates = 0.05;
    for round in 0..6 {
        let calm = network.random.gen_range(50..1_500);
        network.run(Duration::from_millis(calm));
        if round == 3 {
            network.ask(address(OPERATOR), OperatorRequest::Cancel { plan: plan.clone() });
        }
        match network.random.gen_range(0..4) {
            0 => {
                network.cut(addresses("old"), addresses("new"));
                let cut = network.random.gen_range(100..4_000);
                network.run(Duration::from_millis(cut));
                network.cuts.clear();
            }
            1 => {
                let name = ["old", "new"][network.random.gen_range(0..2)];
                let leader = network.leader(name);
                let place = network.crash(leader);
                network.run(Duration::from_secs(4));
                network.start(&place);
                network.run(Duration::from_secs(4));
            }
            2 => {
                let places = network::fixtures::places();
                let alone = places[network.random.gen_range(0..places.len())].address;
                network.cut([alone], places.into_iter().map(|place| place.address).filter(|other| *other != alone));
                let cut = network.random.gen_range(500..5_000);
                network.run(Duration::from_millis(cut));
                network.cuts.clear();
            }
            _ => {
                let leader = network.leader("old");
                network.nodes.get_mut(&leader).unwrap().paused = true;
                network.run(Duration::from_millis(2_500));
                network.resume(leader);
            }
        }
    }
    network.loss = 0.0;
    network.run(Duration::from_secs(30));
    network
}

/// The number of storms; more on demand, from the environment.
fn storms() -> u64 {
    std::env::var("QUILLHATCH_STORMS").ok().and_then(|text| text.parse().ok()).unwrap_or(30)
}

#[test]
fn no_key_runs_twice_through_cuts_crashes_and_pauses() {
    for seed in 100..100 + storms() {
        let network = stormy_move(seed, ControlMechanisms::default());
        assert_eq!(network.doubled_keys(), 0, "seed {seed}");
        let owned = network.owned("old") + network.owned("new");
        assert_eq!(owned, usize::from(SLOTS), "seed {seed}: every slot has its owner again");
    }
}

#[test_case(ControlMechanisms { seal_before_move: false, ..Default::default() }; "without the seal")]
#[test_case(ControlMechanisms { import_before_open: false, ..Default::default() }; "without the import")]
#[test_case(ControlMechanisms { unseal_needs_proof: false, ..Default::default() }; "without the proof")]
fn a_key_runs_twice(mechanisms: ControlMechanisms) {
    let doubled = (100..130).any(|seed| stormy_move(seed, mechanisms).doubled_keys() > 0);
    assert!(doubled, "the mechanism makes no difference");
}

fn has_sealed(network: &Network) -> bool {
    network.table("old").slots.iter().any(|slot| matches!(slot.state, SlotState::Sealed { .. }))
}

/// The link is cut after the new site has opened slots and before the old one knows; then the plan is cancelled.
fn cut_before_the_acknowledgement(mechanisms: ControlMechanisms) -> (Network, PlanId) {
    let mut network = Network::settled(4, mechanisms);
    let plan = confirmed(&mut network, intent(50));
    let accepted = |network: &Network| network.owned("new") > 0 && has_sealed(network);
    assert!(network.run_until(Duration::from_secs(5), accepted));
    network.cut(addresses("old"), addresses("new"));
    network.run(Duration::from_secs(2));
    let reply = network.operator(address(OPERATOR), OperatorRequest::Cancel { plan: plan.clone() });
    assert_eq!(reply, OperatorReply::Cancelled { plan: plan.clone(), undoing: true });
    network.run(Duration::from_secs(10));
    (network, plan)
}

#[test]
fn a_cut_leaves_sealed_slots_closed_until_the_link_is_back() {
    let (mut network, plan) = cut_before_the_acknowledgement(ControlMechanisms::default());
    assert!(has_sealed(&network), "the old site cannot know yet whether the new one accepted");
    network.cuts.clear();
    assert!(run_until_state(&mut network, &plan, |state| matches!(state, PlanState::Undone { .. })));
    assert_eq!(network.owned("old"), 16);
    assert_eq!(network.doubled_keys(), 0);
}

#[test]
fn without_the_proof_a_cut_leaves_slots_with_two_owners() {
    let mechanisms = ControlMechanisms { unseal_needs_proof: false, ..Default::default() };
    let (network, _) = cut_before_the_acknowledgement(mechanisms);
    assert!(network.doubled_keys() > 0, "the mechanism makes no difference");
    assert!(network.overlapping_owners > 0);
}

fn move_while_new_site_refuses(mechanisms: ControlMechanisms) -> (Network, PlanId, usize) {
    let mut network = Network::settled(5, mechanisms);
    let plan = confirmed(&mut network, intent(50));
    network.run_until(Duration::from_secs(5), |network| network.owned("new") > 0);
    let moved = network.owned("new");
    for _ in 0..20 {
        let report = LoadReport { running: 9, limit: 8, completions_per_second: 50.0, protected_refusals: 3 };
        network.feed(address(21), ControlInput::Load(report));
        network.run(Duration::from_millis(500));
    }
    (network, plan, moved)
}

#[test]
fn a_move_holds_while_protected_calls_are_refused_and_then_steps_back() {
    let (mut network, plan, moved) = move_while_new_site_refuses(ControlMechanisms::default());
    assert!(network.owned("new") <= moved + 2, "at most the step at work was finished");
    assert!(run_until_state(&mut network, &plan, |state| matches!(state, PlanState::Undone { .. })));
    assert_eq!(network.owned("old"), 16);
}

#[test]
fn without_the_hold_the_move_goes_on_although_protected_calls_are_refused() {
    let mechanisms = ControlMechanisms { hold_on_refusals: false, ..Default::default() };
    let (network, _, _) = move_while_new_site_refuses(mechanisms);
    assert_eq!(network.owned("new"), 8);
}

#[test]
fn a_new_leader_goes_on_with_the_plan() {
    let mut network = Network::settled(6, ControlMechanisms::default());
    let plan = confirmed(&mut network, intent(50));
    network.run_until(Duration::from_secs(10), |network| network.owned("new") >= 2);
    let leader = network.leader("old");
    network.crash(leader);
    assert!(run_until_state(&mut network, &plan, |state| *state == PlanState::Done));
    assert_eq!((network.owned("old"), network.owned("new")), (8, 8));
    assert_eq!(network.doubled_keys(), 0);
}

// With seed 7 alone, a plan that gave way made the other give way too in 11 of 24 other seeds, and none was done.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
#[test_case(7; "seed 7")]
#[test_case(11; "seed 11")]
#[test_case(22; "seed 22")]
fn of_two_opposite_moves_confirmed_at_the_same_moment_one_goes_on(seed: u64) {
    let mut network = Network::settled(seed, ControlMechanisms::default());
    let first = confirmed(&mut network, intent(50));
    assert!(run_until_state(&mut network, &first, |state| *state == PlanState::Done));
    network.run(Duration::from_secs(2));
    let back = Intent::MoveShare { service: service(), from: site("new"), to: site("old"), percent: 25 };
    let plans = [planned(&mut network, intent(25)), planned(&mut network, back)];
    let requests = plans.clone().map(|plan| network.ask(address(OPERATOR), OperatorRequest::Confirm { plan }));
    network.run(Duration::from_secs(30));
    for request in requests {
        assert!(matches!(network.replies[&request], OperatorReply::Confirmed { .. }), "both passed the check");
    }
    let done = plans.iter().filter(|plan| summary(&mut network, plan).state == PlanState::Done).count();
    assert_eq!(done, 1);
    let owned = (network.owned("old"), network.owned("new"));
    assert!(owned == (4, 12) || owned == (12, 4), "{owned:?}");
    assert_eq!(network.doubled_keys(), 0);
}
