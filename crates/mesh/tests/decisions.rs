//! Decisions one by one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::admission::{admission_probability, Entrant};
use quillhatch_mesh::balance::Balance;
use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce, Destination, Repeatability, Route};
use quillhatch_mesh::demand::CallGraph;
use quillhatch_mesh::gate::{Arrival, Gate, Load, Refusal};
use quillhatch_mesh::parents::{CallerShares, Lineage, Origin, Parents};
use quillhatch_mesh::pressure::{Pressure, RouteLevels};
use quillhatch_mesh::queue::Rank;
use quillhatch_mesh::retry_budget::RetryBudget;
use quillhatch_mesh::routing::{choose_service, find_route, host_name};
use quillhatch_mesh::targets::{Announcement, Target, TargetTable};
use quillhatch_types::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use test_case::test_case;

fn milliseconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count)
}

fn route(prefix: &str, destinations: &[(&str, f64)]) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(prefix),
        prefix: prefix.to_owned(),
        repeatability: Repeatability::Repeatable,
        objective: Duration::from_secs(1),
        timeout: Duration::from_secs(2),
        maximum_attempts: 2,
        priority: 1,
        destinations: destinations
            .iter()
            .map(|(service, weight)| Destination { service: Arc::from(*service), weight: *weight })
            .collect(),
    })
}

fn announcement(service: &str, address: &str, zone: &str) -> Announcement {
    Announcement {
        service: Arc::from(service),
        address: address.parse().expect("an address"),
        zone: Arc::from(zone),
        slots: 10,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn target(id: &str, zone: &str) -> Arc<Target> {
    let announcement = announcement("alpha", "10.0.0.1:80", zone);
    Arc::new(Target { id: Arc::from(id), announcement, cold_until: Timestamp::ZERO })
}

#[test]
fn a_configuration_only_moves_to_a_newer_version() {
    let version = |version| Configuration { version, ..Configuration::default() };
    let mut in_force = ConfigurationInForce::default();
    assert!(in_force.offer(version(7)));
    for refused in [7, 6, 1] {
        assert!(!in_force.offer(version(refused)));
    }
    assert!(in_force.offer(version(9)));
    assert_eq!(in_force.version(), 9);
}

#[test_case("shop.example", "/a/x", Some("/a/"))]
#[test_case("SHOP.example:8080", "/a/b/x", Some("/a/b/"); "case and port of the host do not matter")]
#[test_case("shop.example", "/a", None; "the slash belongs to the prefix")]
#[test_case("other.example", "/a/x", None)]
fn the_longest_prefix_of_the_host_is_taken(authority: &str, path: &str, expected: Option<&str>) {
    let routes = vec![route("/a/", &[("alpha", 1.0)]), route("/a/b/", &[("alpha", 1.0)])];
    let hosts = HashMap::from([("shop.example".to_owned(), routes)]);
    let configuration = Configuration { hosts, ..Configuration::default() };
    assert_eq!(find_route(&configuration, authority, path).map(|route| route.prefix.as_str()), expected);
}

#[test]
fn a_host_keeps_a_colon_that_begins_no_port() {
    assert_eq!(host_name("a:b"), "a:b");
    assert_eq!(host_name("a:80"), "a");
}

#[test]
fn services_of_a_split_get_their_shares() {
    let mut random = Pcg64::seed_from_u64(1);
    let split = route("/a/", &[("alpha", 90.0), ("beta", 10.0), ("gamma", 0.0)]);
    let mut drawn: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..10_000 {
        *drawn.entry(choose_service(&split, &mut random).expect("a service").clone()).or_default() += 1;
    }
    assert!((8_800..9_200).contains(&drawn["alpha"]), "{drawn:?}");
    assert!(!drawn.contains_key("gamma"));
    assert_eq!(choose_service(&route("/a/", &[("alpha", 0.0)]), &mut random), None);
}

const CALL_OF_A_TARGET: Rank = Rank { is_root: false, priority: 0, position: 200 };
const IMPORTANT_ROOT: Rank = Rank { is_root: true, priority: 0, position: 0 };
const ROOT: Rank = Rank { is_root: true, priority: 2, position: 0 };
const PATIENCE: Duration = Duration::from_millis(100);

/// A gate of four slots that are all in use.
fn full_gate() -> Gate {
    let mut gate = Gate::new(4);
    for _ in 0..4 {
        assert_eq!(gate.arrive(ROOT, PATIENCE, Timestamp::ZERO).0, Arrival::Runs);
    }
    gate
}

fn waits(gate: &mut Gate, rank: Rank) -> quillhatch_mesh::queue::Ticket {
    match gate.arrive(rank, PATIENCE, Timestamp::ZERO).0 {
        Arrival::Waits(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_gate_serves_work_already_begun_first_then_by_priority_then_in_order() {
    let mut gate = full_gate();
    let roots = [waits(&mut gate, ROOT), waits(&mut gate, ROOT)];
    let important = waits(&mut gate, IMPORTANT_ROOT);
    let inner = waits(&mut gate, CALL_OF_A_TARGET);
    let mut order = Vec::new();
    for _ in 0..4 {
        assert_eq!(gate.admit_next(), None, "no slot is free");
        gate.finish();
        order.extend(gate.admit_next());
    }
    assert_eq!(order, [inner, important, roots[0], roots[1]]);
    assert_eq!(gate.load(), Load { running: 4, limit: 4, waiting: 0 });
}

#[test]
fn a_full_queue_gives_the_place_of_the_least_important() {
    let mut gate = full_gate();
    let roots: Vec<_> = (0..16).map(|_| waits(&mut gate, ROOT)).collect();
    assert_eq!(gate.arrive(ROOT, PATIENCE, Timestamp::ZERO), (Arrival::Refused(Refusal::Full), None));
    let (arrival, displaced) = gate.arrive(IMPORTANT_ROOT, PATIENCE, Timestamp::ZERO);
    assert!(matches!(arrival, Arrival::Waits(_)));
    assert!(displaced.is_some_and(|ticket| roots.contains(&ticket)));
}

#[test]
fn waiting_calls_expire_and_leave() {
    let mut gate = full_gate();
    let (first, second) = (waits(&mut gate, ROOT), waits(&mut gate, ROOT));
    assert!(gate.leave(second));
    assert!(!gate.leave(second));
    assert_eq!(gate.next_expiry(), Some(milliseconds(100)));
    assert_eq!(gate.expire(milliseconds(99)), None);
    assert_eq!(gate.expire(milliseconds(100)), Some(first));
    assert_eq!(gate.arrive(ROOT, Duration::ZERO, Timestamp::ZERO).0, Arrival::Refused(Refusal::Full));
}

#[test]
fn a_closed_gate_refuses_and_sends_away_who_waits() {
    let mut gate = full_gate();
    let waiting = waits(&mut gate, ROOT);
    assert_eq!(gate.evict(), None);
    gate.close();
    assert_eq!(gate.arrive(ROOT, PATIENCE, Timestamp::ZERO).0, Arrival::Refused(Refusal::Closed));
    assert_eq!((gate.evict(), gate.evict()), (Some(waiting), None));
    gate.open();
    gate.finish();
    assert_eq!(gate.arrive(ROOT, PATIENCE, Timestamp::ZERO).0, Arrival::Runs);
}

#[test_case(1, 1)]
#[test_case(4, 4)]
#[test_case(38, 36)]
#[test_case(500, 473)]
fn a_gate_leaves_the_last_slots_of_large_targets_free(slots: u32, limit: u32) {
    let mut gate = Gate::new(9);
    gate.set_slots(slots);
    assert_eq!(gate.limit(), limit);
}

#[test]
fn a_budget_keeps_to_its_share_and_to_its_slack() {
    let window = Duration::from_secs(10);
    let mut budget = RetryBudget::new(0.2, window, 3.0, Timestamp::ZERO);
    assert!(!budget.try_repeat(milliseconds(1)), "a new process does not know what was spent before it");
    for _ in 0..100 {
        budget.call(milliseconds(10));
    }
    let allowed = |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_repeat(now)).count();
    assert_eq!(allowed(&mut budget, milliseconds(20)), 15, "three quarters of the share");
    assert_eq!(allowed(&mut budget, milliseconds(10_015)), 3, "the calls are out of the window, the slack is there");
    assert_eq!(allowed(&mut budget, milliseconds(15_000)), 0, "the slack is not handed out twice in a window");
}

#[test]
fn what_arrives_again_since_a_call_above_was_repeated_is_taken_off_the_budget() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10), 0.0, Timestamp::ZERO);
    for _ in 0..100 {
        budget.call(milliseconds(10));
    }
    for _ in 0..12 {
        budget.inherited(milliseconds(15));
    }
    let granted = (0..100).filter(|_| budget.try_repeat(milliseconds(20))).count();
    assert_eq!(granted, 3, "fifteen less the twelve that nobody could refuse");
}

/// A chain of services, each called once for a call of the one above; every call at every level fails once.
#[test]
fn repeats_stay_within_their_share_at_every_depth_of_a_chain() {
    let (ratio, calls) = (0.2, 1_000);
    let mut arriving_again = 0;
    for depth in 0..16 {
        let mut budget = RetryBudget::new(ratio, Duration::from_secs(10), 0.0, Timestamp::ZERO);
        for _ in 0..calls {
            budget.call(milliseconds(10));
        }
        for _ in 0..arriving_again {
            budget.inherited(milliseconds(10));
        }
        arriving_again += (0..calls).filter(|_| budget.try_repeat(milliseconds(20))).count();
        assert!(arriving_again as f64 <= ratio * f64::from(calls), "{arriving_again} at depth {depth}");
    }
}

#[test]
fn the_level_falls_while_more_waits_than_fits_and_rises_again() {
    let mut pressure = Pressure::new(Timestamp::ZERO);
    pressure.held(Duration::from_millis(60));
    let load = |waiting| Load { running: 10, limit: 10, waiting };
    assert_eq!(pressure.expected_wait(load(20)), Duration::from_millis(120));
    for step in 1..=20 {
        pressure.observe(load(20), milliseconds(step * 100));
    }
    let lowest = pressure.level();
    assert!(lowest < 0.3, "{lowest}");
    for step in 21..=50 {
        pressure.observe(load(1), milliseconds(step * 100));
    }
    assert!(pressure.level() > 0.99, "{}", pressure.level());
}

#[test]
fn a_level_without_reports_returns_to_one() {
    let route: Arc<str> = Arc::from("read");
    let mut levels = RouteLevels::default();
    for step in 0..50 {
        levels.report(&route, 0.2, milliseconds(step));
    }
    assert!(levels.level("read", milliseconds(50)) < 0.25);
    assert!(levels.level("read", milliseconds(750)) > 0.55);
    assert!(levels.level("read", milliseconds(8_000)) > 0.99);
    assert!((levels.level("other", milliseconds(50)) - 1.0).abs() < f64::EPSILON);
}

/// The shortage of a service deep in the graph passes nodes that hear of it only some times a second.
#[test]
fn a_shortage_reaches_where_calls_enter_undiminished_though_reports_are_few() {
    let route: Arc<str> = Arc::from("deep");
    let mut hops = vec![RouteLevels::default(); 3];
    for report in 0..16 {
        let now = milliseconds(report * 125);
        let mut level = 0.1;
        for hop in &mut hops {
            hop.report(&route, level, now);
            level = hop.level(&route, now + Duration::from_millis(120));
        }
    }
    let entry = hops[2].level(&route, milliseconds(16 * 125));
    assert!(entry < 0.2, "{entry}");
}

#[test]
fn the_least_important_and_repeats_are_refused_first_and_none_starves() {
    let probability =
        |level, unimportance, is_repeat| admission_probability(Entrant { level, unimportance, is_repeat });
    assert!((probability(1.0, 1.0, true) - 1.0).abs() < f64::EPSILON);
    assert!((probability(0.7, 0.0, false) - 1.0).abs() < f64::EPSILON, "the most important pass");
    assert!(probability(0.7, 1.0, false) < 0.7);
    assert!(probability(0.7, 1.0, true) < probability(0.7, 1.0, false));
    assert!(probability(0.0, 1.0, true) >= 0.1);
}

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
fn the_own_zone_is_preferred_until_its_target_is_busy_or_slow() {
    let mut random = Pcg64::seed_from_u64(2);
    let targets = [target("near", "here"), target("far", "there")];
    let mut balance = Balance::default();
    let mut chosen = |balance: &Balance, now| {
        let choose = |_| balance.choose(&targets, &[], "here", now, &mut random).expect("a target").id.to_string();
        let picks: Vec<String> = (0..100).map(choose).collect();
        picks.iter().filter(|id| *id == "near").count()
    };
    assert_eq!(chosen(&balance, Timestamp::ZERO), 100);
    let near: Arc<str> = Arc::from("near");
    balance.reported(&near, Load { running: 10, limit: 10, waiting: 3 }, Timestamp::ZERO);
    assert_eq!(chosen(&balance, milliseconds(10)), 0, "busy");
    assert_eq!(chosen(&balance, milliseconds(2_000)), 100, "an old report is not believed");
    let read: Arc<str> = Arc::from("read");
    for step in 0..200 {
        let now = milliseconds(2_000 + step * 5);
        balance.answered(&near, &read, Duration::from_millis(200), now);
        balance.answered(&Arc::from("far"), &read, Duration::from_millis(50), now);
    }
    assert_eq!(chosen(&balance, milliseconds(3_000)), 0, "slow");
}

#[test]
fn a_failed_target_is_left_out_for_a_moment_unless_there_is_no_other() {
    let mut random = Pcg64::seed_from_u64(3);
    let targets = [target("one", "here"), target("two", "here")];
    let mut balance = Balance::default();
    balance.refused(&Arc::from("one"), Timestamp::ZERO);
    let mut choose = |tried: &[Arc<str>], now| {
        balance.choose(&targets, tried, "here", now, &mut random).map(|target| target.id.to_string())
    };
    for _ in 0..20 {
        assert_eq!(choose(&[], milliseconds(100)).as_deref(), Some("two"));
    }
    assert_eq!(choose(&[Arc::from("two")], milliseconds(100)).as_deref(), Some("one"));
    assert!((0..50).any(|_| choose(&[], milliseconds(600)).as_deref() == Some("one")));
    assert_eq!(choose(&[Arc::from("one"), Arc::from("two")], milliseconds(600)), None);
}

#[test]
fn a_target_that_follows_another_takes_its_place_for_good() {
    let mut targets = TargetTable::default();
    let (former, present): (Arc<str>, Arc<str>) = (Arc::from("former"), Arc::from("present"));
    let listed = announcement("alpha", "10.0.0.1:80", "here");
    targets.update(former.clone(), listed.clone(), Timestamp::ZERO);
    targets.succeed("former", present.clone(), "beta", Timestamp::ZERO);
    assert!(targets.get("former").is_some(), "another service has taken the address");
    targets.succeed("former", present.clone(), "alpha", Timestamp::ZERO);
    targets.update(former, listed, Timestamp::ZERO);
    let ids: Vec<_> = targets.of_service("alpha").iter().map(|target| target.id.clone()).collect();
    assert_eq!(ids, [present], "a lagging list does not bring the former back");
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(targets.at_address(address).count(), 1);
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

#[test]
fn of_a_large_service_all_targets_are_used() {
    let mut random = Pcg64::seed_from_u64(4);
    let targets: Vec<_> = (0..500).map(|number| target(&format!("t{number}"), "here")).collect();
    let balance = Balance::default();
    let mut chosen: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..20_000 {
        let target = balance.choose(&targets, &[], "here", Timestamp::ZERO, &mut random).expect("a target");
        *chosen.entry(target.id.clone()).or_default() += 1;
    }
    assert_eq!(chosen.len(), 500);
    assert!(chosen.values().all(|count| *count < 120), "40 each on the mean");
    assert!(balance.choose(&[], &[], "here", Timestamp::ZERO, &mut random).is_none());
}

#[test]
fn a_target_whose_machine_is_cut_off_from_the_store_is_kept_when_its_entry_runs_out() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..4).map(|number| Arc::from(format!("t{number}"))).collect();
    let machine = |number: usize| format!("10.0.0.{number}").parse().expect("an address");
    for (number, id) in ids.iter().enumerate() {
        targets.update(id.clone(), announcement("alpha", &format!("10.0.0.{number}:80"), "here"), Timestamp::ZERO);
    }
    let drain = Duration::from_secs(1);
    targets.heard_of(machine(0), true, milliseconds(1_000));
    targets.vanish(&ids[..1], drain, milliseconds(2_000));
    assert_eq!(targets.len(), 4, "its node says that it is cut off");
    targets.heard_of(machine(0), true, milliseconds(5_000));
    assert!(!targets.drop_doubtful(milliseconds(8_999)), "and says so again");
    assert!(targets.drop_doubtful(milliseconds(9_000)), "nothing more is heard of it");

    targets.heard_of(machine(1), true, milliseconds(9_000));
    targets.heard_of(machine(1), false, milliseconds(9_500));
    targets.vanish(&ids[1..2], drain, milliseconds(9_600));
    assert_eq!(targets.len(), 2, "its node reads the store again, and the entry is gone");

    targets.vanish(&ids[2..3], drain, milliseconds(10_000));
    assert_eq!(targets.len(), 1);
    targets.heard_of(machine(2), true, milliseconds(12_000));
    assert_eq!(targets.len(), 2, "its node was found to be cut off a little later");
    targets.heard_of(machine(3), true, milliseconds(12_000));
    let draining = Announcement { draining: true, ..announcement("alpha", "10.0.0.3:80", "here") };
    targets.update(ids[3].clone(), draining, milliseconds(12_100));
    targets.vanish(&ids[3..], drain, milliseconds(12_200));
    assert_eq!(targets.len(), 1, "it had said that it leaves");
}

#[test]
fn a_list_that_loses_many_targets_at_once_is_doubted_for_a_while() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..10).map(|number| Arc::from(format!("t{number}"))).collect();
    let listed = announcement("alpha", "10.0.0.1:80", "here");
    for id in &ids {
        targets.update(id.clone(), listed.clone(), Timestamp::ZERO);
    }
    let doubt = Duration::from_secs(4);
    targets.vanish(&ids[..2], doubt, Timestamp::ZERO);
    assert_eq!(targets.len(), 8, "two of ten are believed at once");
    targets.vanish(&ids[2..], doubt, Timestamp::ZERO);
    assert_eq!((targets.len(), targets.next_doubt()), (8, Some(milliseconds(4_000))));
    targets.update(ids[2].clone(), listed, milliseconds(1_000));
    assert!(!targets.drop_doubtful(milliseconds(3_999)));
    assert!(targets.drop_doubtful(milliseconds(4_000)));
    assert_eq!((targets.len(), targets.next_doubt()), (1, None), "the one that was heard of again stays");
}
