//! The table of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::targets::{parse_target_id, Registration, RunningAt, TargetTable, PARTITION_GRACE};
use quillhatch_types::Timestamp;
use test_case::test_case;

use crate::{milliseconds, registration, BOUNDS};

#[test]
fn a_target_that_replaces_another_at_its_address_stays_listed() {
    let mut targets = TargetTable::default();
    let (previous, current): (Arc<str>, Arc<str>) = (Arc::from("previous"), Arc::from("current"));
    let listed = registration("alpha", "10.0.0.1:80", "here");
    targets.update(previous.clone(), listed.clone(), Timestamp::ZERO);
    targets.replace_at_address("previous", current.clone(), "beta", Timestamp::ZERO);
    assert!(targets.get("previous").is_some(), "the address belongs to another service");
    targets.replace_at_address("previous", current.clone(), "alpha", Timestamp::ZERO);
    targets.update(previous, listed, Timestamp::ZERO);
    let ids: Vec<_> = targets.of_service("alpha").iter().map(|target| target.id.clone()).collect();
    assert_eq!(ids, [current], "a stale list does not revive the previous target");
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(targets.at_address(address).count(), 1);
}

#[test]
fn a_gate_that_still_reports_the_previous_target_does_not_remove_its_replacement() {
    // Found by a soak test (seed 930021): nodes that learned of the new target before its own gate did lost it again,
    // since the gate still reported the previous one.
    let mut targets = TargetTable::default();
    let (previous, current): (Arc<str>, Arc<str>) = (Arc::from("previous"), Arc::from("current"));
    let listed = registration("alpha", "10.0.0.1:80", "here");
    targets.update(previous.clone(), listed.clone(), Timestamp::ZERO);
    targets.update(current.clone(), listed.clone(), milliseconds(500));
    targets.update(previous.clone(), listed.clone(), milliseconds(600));
    targets.replace_at_address("current", previous.clone(), "alpha", milliseconds(700));
    assert!(
        targets.get("current").is_some(),
        "it was listed later, whatever was registered for the previous target since"
    );
    targets.replace_at_address("previous", current.clone(), "alpha", milliseconds(800));
    targets.replace_at_address("current", previous.clone(), "alpha", milliseconds(900));
    assert!(targets.get("current").is_some(), "a delayed message does not revive the previous target");
    targets.remove_missing(std::slice::from_ref(&previous), Duration::ZERO, milliseconds(1_000));
    targets.replace_at_address("current", previous, "alpha", milliseconds(1_100));
    let ids: Vec<_> = targets.of_service("alpha").iter().map(|target| target.id.clone()).collect();
    assert_eq!(ids, [current]);
}

#[test]
fn a_target_whose_machine_is_partitioned_from_the_store_is_retained_when_its_registration_expires() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..4).map(|number| Arc::from(format!("t{number}"))).collect();
    let machine = |number: usize| format!("10.0.0.{number}").parse().expect("an address");
    for (number, id) in ids.iter().enumerate() {
        targets.update(id.clone(), registration("alpha", &format!("10.0.0.{number}:80"), "here"), Timestamp::ZERO);
    }
    let drain = Duration::from_secs(1);
    targets.report_store_access(machine(0), true, milliseconds(1_000));
    targets.remove_missing(&ids[..1], drain, milliseconds(2_000));
    assert_eq!(targets.len(), 4, "its node reports the partition");
    targets.report_store_access(machine(0), true, milliseconds(5_000));
    assert!(!targets.drop_expired(milliseconds(7_899)), "the node reports the partition again");
    assert!(targets.drop_expired(milliseconds(7_900)), "there is no further report");

    targets.report_store_access(machine(1), true, milliseconds(9_000));
    targets.report_store_access(machine(1), false, milliseconds(9_500));
    targets.remove_missing(&ids[1..2], drain, milliseconds(9_600));
    assert_eq!(targets.len(), 2, "its node can reach the store again, and the registration is missing");

    targets.report_store_access(machine(2), true, milliseconds(9_700));
    targets.remove_missing(&ids[2..3], drain, milliseconds(11_600));
    assert_eq!(targets.next_grace_end(), Some(milliseconds(12_600)), "counted from the last report of its node");
    assert!(targets.drop_expired(milliseconds(12_600)));
    targets.update(ids[2].clone(), registration("alpha", "10.0.0.2:80", "here"), milliseconds(9_800));
    targets.report_store_access(machine(2), false, milliseconds(9_900));
    targets.remove_missing(&ids[2..3], drain, milliseconds(10_000));
    assert_eq!(targets.len(), 1);
    targets.report_store_access(machine(2), true, milliseconds(12_000));
    assert_eq!(targets.len(), 2, "its node reported the partition soon after that");
    targets.report_store_access(machine(3), true, milliseconds(12_000));
    let draining = Registration { draining: true, ..registration("alpha", "10.0.0.3:80", "here") };
    targets.update(ids[3].clone(), draining, milliseconds(12_100));
    targets.remove_missing(&ids[3..], drain, milliseconds(12_200));
    assert_eq!(targets.len(), 1, "it was draining");
}

#[test]
fn a_target_that_is_listed_again_is_not_cold_for_longer() {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    let cold = Registration { cold_for: Duration::from_secs(2), ..registration("alpha", "10.0.0.1:80", "here") };
    let machine = cold.address.ip();
    targets.update(id.clone(), cold, milliseconds(1_000));
    targets.remove_missing(std::slice::from_ref(&id), Duration::ZERO, milliseconds(2_000));
    targets.report_store_access(machine, true, milliseconds(2_500));
    let cold_until = targets.get(&id).map(|target| target.cold_until);
    assert_eq!(cold_until, Some(milliseconds(3_000)), "its process is the same");
}

#[test]
fn nodes_that_only_know_an_unregistered_target_from_each_other_remove_it_when_the_first_one_does() {
    let id: Arc<str> = Arc::from("unregistered");
    let listed = registration("alpha", "10.0.0.1:80", "here");
    let mut tables = vec![TargetTable::default(); 4];
    tables[0].update(id.clone(), listed.clone(), Timestamp::ZERO);
    tables[0].report_store_access(listed.address.ip(), true, milliseconds(1_000));
    tables[0].remove_missing(std::slice::from_ref(&id), Duration::ZERO, milliseconds(1_200));
    for number in 1..tables.len() {
        let now = milliseconds(1_200 + 800 * number as u64);
        let retained: Vec<_> =
            tables[number - 1].retained().map(|(target, until)| (target.clone(), now.until(until))).collect();
        for (target, time_left) in retained {
            tables[number].retain_unregistered(target.id.clone(), target.registration.clone(), time_left, now);
        }
    }
    let ends: Vec<_> = tables.iter().filter_map(TargetTable::next_grace_end).collect();
    assert_eq!(ends, [milliseconds(3_900); 4]);
}

#[test]
fn targets_that_disappear_together_with_many_others_are_retained_for_a_grace_period() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..10).map(|number| Arc::from(format!("t{number}"))).collect();
    let listed = registration("alpha", "10.0.0.1:80", "here");
    for id in &ids {
        targets.update(id.clone(), listed.clone(), Timestamp::ZERO);
    }
    let grace = Duration::from_secs(4);
    targets.remove_missing(&ids[..2], grace, Timestamp::ZERO);
    assert_eq!(targets.len(), 8, "two of ten are removed at once");
    targets.remove_missing(&ids[2..], grace, Timestamp::ZERO);
    assert_eq!((targets.len(), targets.next_grace_end()), (8, Some(milliseconds(4_000))));
    targets.update(ids[2].clone(), listed, milliseconds(1_000));
    assert!(!targets.drop_expired(milliseconds(3_999)));
    assert!(targets.drop_expired(milliseconds(4_000)));
    assert_eq!((targets.len(), targets.next_grace_end()), (1, None), "the one that was registered again stays");
}

#[test]
fn a_target_that_is_missing_after_an_outage_is_retained_until_it_could_have_registered_again() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..20).map(|number| Arc::from(format!("t{number}"))).collect();
    for (number, id) in ids.iter().enumerate() {
        targets.update(id.clone(), registration("alpha", &format!("10.0.0.{number}:80"), "here"), Timestamp::ZERO);
    }
    let until = milliseconds(12_000);
    targets.remove_after_outage(&ids[..2], until, milliseconds(10_000));
    assert_eq!(targets.len(), 20, "even two of twenty are retained");
    targets.report_store_access("10.0.0.1".parse().expect("an address"), true, milliseconds(11_500));
    targets.update(ids[0].clone(), registration("alpha", "10.0.0.0:80", "here"), milliseconds(11_000));
    assert!(!targets.drop_expired(milliseconds(11_999)));
    assert!(targets.drop_expired(until), "the one that did not register again is removed");
    assert!(targets.get("t0").is_some() && targets.get("t1").is_none());

    let draining = Registration { draining: true, ..registration("alpha", "10.0.0.3:80", "here") };
    targets.update(ids[3].clone(), draining, milliseconds(13_000));
    targets.remove_after_outage(&ids[3..4], milliseconds(16_000), milliseconds(14_000));
    assert!(targets.get("t3").is_none(), "it was draining");
    targets.remove_after_outage(&ids[4..5], milliseconds(16_000), milliseconds(16_001));
    assert!(targets.get("t4").is_none(), "the time is over");
}

#[test_case(2.0, 2.0)]
#[test_case(2.5, 2.5)]
#[test_case(1.0, 2.0)]
#[test_case(0.5, 0.5; "bounds too short for any grace period")]
fn the_grace_period_of_many_targets_ends_within_the_bound_on_drains(drain_s: f64, apply_s: f64) {
    let (drain, apply) = (Duration::from_secs_f64(drain_s), Duration::from_secs_f64(apply_s));
    let bounds = Bounds { drain, apply, ..BOUNDS };
    assert!(bounds.batch_window() < drain.min(apply) / 2);
    let total = bounds.batch_window() + bounds.max_grace();
    assert!(total + Duration::from_millis(500) <= drain || bounds.max_grace().is_zero(), "{total:?} of {drain:?}");
}

fn started_at(started: u64) -> Registration {
    Registration { started, ..registration("alpha", "10.0.0.1:80", "here") }
}

#[test]
fn a_drain_notice_of_a_target_outlasts_its_registration_until_it_starts_again() {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    let is_draining = |targets: &TargetTable| targets.get("t").map(|target| target.registration.draining);
    targets.update(id.clone(), started_at(5), Timestamp::ZERO);
    assert!(targets.record_drain_notice("t", RunningAt(5), milliseconds(10)));
    assert!(!targets.record_drain_notice("t", RunningAt(5), milliseconds(20)), "it is known already");
    targets.update(id.clone(), started_at(5), milliseconds(30));
    assert_eq!(is_draining(&targets), Some(true), "the store still lists it as ready");
    targets.remove("t");
    targets.update(id.clone(), started_at(5), milliseconds(40));
    assert_eq!(is_draining(&targets), Some(true), "the registration lapsed and came back");
    targets.update(id.clone(), started_at(4), milliseconds(50));
    assert_eq!(is_draining(&targets), Some(true), "a backup of the store has an older registration");
    targets.update(id, started_at(6), milliseconds(60));
    assert_eq!((is_draining(&targets), targets.drain_notice("t")), (Some(false), None), "another process");
}

#[test]
fn a_drain_notice_of_an_earlier_process_does_not_stop_the_calls_to_its_successor() {
    let mut targets = TargetTable::default();
    targets.update(Arc::from("t"), started_at(6), Timestamp::ZERO);
    assert!(!targets.record_drain_notice("t", RunningAt(5), milliseconds(10)));
    assert!(!targets.is_draining("t"));
    assert!(targets.record_drain_notice("t", RunningAt(0), milliseconds(20)), "its gate does not know when it started");
    assert_eq!(targets.drain_notice("t"), Some(RunningAt(6)));
}

#[test]
fn a_drain_notice_of_a_process_that_is_not_registered_yet_holds_once_it_is() {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    targets.update(id.clone(), started_at(5), Timestamp::ZERO);
    assert!(targets.record_drain_notice("t", RunningAt(20), milliseconds(10)));
    targets.update(id.clone(), started_at(15), milliseconds(20));
    assert!(targets.get("t").is_some_and(|target| target.registration.draining), "it had started by then");
    targets.update(id, started_at(21), milliseconds(30));
    assert!(!targets.is_draining("t"), "another process");
}

#[test_case(|targets, id| { targets.update(id, started_at(15), milliseconds(40)); }; "written again with the start of the process")]
#[test_case(|targets, id| { targets.update(id, started_at(4), milliseconds(40)); }; "written again with an earlier start")]
#[test_case(|targets, id| { targets.update(id, started_at(0), milliseconds(40)); }; "written again without a start")]
#[test_case(|targets, id| targets.retain_unregistered(id, started_at(5), PARTITION_GRACE, milliseconds(40)); "retained by another node")]
#[test_case(|targets, id| {
    targets.update(Arc::from("other"), started_at(30), milliseconds(40));
    targets.replace_at_address("other", id, "alpha", milliseconds(50));
}; "reported in place of another target")]
fn a_drain_notice_holds_when_the_target_is_listed_again(list_again: fn(&mut TargetTable, Arc<str>)) {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    targets.update(id.clone(), started_at(5), Timestamp::ZERO);
    targets.record_drain_notice("t", RunningAt(20), milliseconds(10));
    targets.remove_missing(std::slice::from_ref(&id), Duration::from_secs(4), milliseconds(20));
    targets.report_store_access("10.0.0.1".parse().expect("an address"), true, milliseconds(30));
    assert!(targets.get("t").is_none(), "it is draining, so its registration did not lapse by a partition");
    list_again(&mut targets, id);
    assert!(targets.get("t").is_some_and(|target| target.registration.draining));
}

#[test]
fn a_drain_notice_of_a_second_process_counts_while_that_of_the_first_is_known() {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    targets.update(id.clone(), started_at(5), Timestamp::ZERO);
    assert!(targets.record_drain_notice("t", RunningAt(10), milliseconds(10)));
    assert!(!targets.record_drain_notice("t", RunningAt(20), milliseconds(20)), "the target is known to be draining");
    assert!(!targets.record_drain_notice("t", RunningAt(12), milliseconds(30)), "a late report of the first process");
    targets.update(id, started_at(15), milliseconds(40));
    assert!(targets.is_draining("t"));
}

#[test]
fn the_late_registration_of_a_replaced_target_does_not_put_it_in_place_of_its_successor() {
    let mut targets = TargetTable::default();
    let (former, current) = (Arc::<str>::from("former"), Arc::<str>::from("current"));
    targets.update(former.clone(), started_at(5), Timestamp::ZERO);
    targets.replace_at_address("former", current.clone(), "alpha", milliseconds(10));
    targets.update(current.clone(), started_at(30), milliseconds(20));
    // It had restarted once under its identity before it was replaced.
    targets.update(former.clone(), started_at(20), milliseconds(30));
    assert!(targets.get("former").is_none() && targets.get("current").is_some());
    targets.update(former.clone(), started_at(40), milliseconds(40));
    assert!(targets.get("former").is_some(), "it has started again after its successor");
}

#[test]
fn a_registered_successor_ends_the_listing_of_an_earlier_target_at_its_address() {
    let mut targets = TargetTable::default();
    targets.update(Arc::from("former"), started_at(5), Timestamp::ZERO);
    targets.replace_at_address("former", Arc::from("current"), "alpha", milliseconds(10));
    targets.update(Arc::from("former"), started_at(20), milliseconds(20));
    targets.update(Arc::from("current"), started_at(30), milliseconds(30));
    assert!(targets.get("former").is_none() && targets.get("current").is_some());
}

#[test]
fn a_drain_notice_does_not_extend_a_grace_period() {
    let mut targets = TargetTable::default();
    targets.update(Arc::from("t"), started_at(5), Timestamp::ZERO);
    targets.remove_after_outage(&[Arc::from("t")], milliseconds(100), milliseconds(10));
    targets.record_drain_notice("t", RunningAt(5), milliseconds(20));
    assert!(targets.drop_expired(milliseconds(100)));
    assert!(targets.get("t").is_none());
}

#[test]
fn a_grace_period_that_began_before_the_outage_was_over_is_extended() {
    let mut targets = TargetTable::default();
    let id: Arc<str> = Arc::from("t");
    targets.update(id.clone(), started_at(5), Timestamp::ZERO);
    targets.remove_after_outage(std::slice::from_ref(&id), milliseconds(2_000), milliseconds(10));
    targets.extend_outage_grace(milliseconds(2_600));
    assert!(!targets.drop_expired(milliseconds(2_500)), "it may register again until then");
    targets.extend_outage_grace(milliseconds(1_000));
    assert!(targets.drop_expired(milliseconds(2_600)));
}

#[test_case("i-7f3a91c2"; "an ordinary name")]
#[test_case("zone/a:1@b+c&d#e%f"; "characters that a header can hold")]
fn a_name_that_a_header_can_hold_identifies_a_target(name: &str) {
    assert_eq!(parse_target_id(name).as_deref(), Ok(name));
}

#[test_case(""; "empty")]
#[test_case("a b"; "a blank")]
#[test_case("a\tb"; "a tab")]
#[test_case("a\r\nb"; "a line break")]
#[test_case("a\u{7f}"; "a control byte")]
#[test_case("a\"b"; "a quote")]
#[test_case("a;b"; "a semicolon")]
#[test_case("a,b"; "a comma")]
#[test_case("ü"; "an umlaut")]
fn a_name_that_no_header_can_hold_identifies_no_target(name: &str) {
    let error = parse_target_id(name).expect_err("an error");
    assert_eq!(error.name, name);
}
