//! The list of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::targets::{Registration, TargetTable};
use quillhatch_types::Timestamp;
use test_case::test_case;

use crate::{milliseconds, registration, BOUNDS};

#[test]
fn a_target_that_follows_another_takes_its_place_for_good() {
    let mut targets = TargetTable::default();
    let (former, present): (Arc<str>, Arc<str>) = (Arc::from("former"), Arc::from("present"));
    let listed = registration("alpha", "10.0.0.1:80", "here");
    targets.update(former.clone(), listed.clone(), Timestamp::ZERO);
    targets.replace_at_address("former", present.clone(), "beta", Timestamp::ZERO);
    assert!(targets.get("former").is_some(), "another service has taken the address");
    targets.replace_at_address("former", present.clone(), "alpha", Timestamp::ZERO);
    targets.update(former, listed, Timestamp::ZERO);
    let ids: Vec<_> = targets.of_service("alpha").iter().map(|target| target.id.clone()).collect();
    assert_eq!(ids, [present], "a lagging list does not bring the former back");
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    assert_eq!(targets.at_address(address).count(), 1);
}

#[test]
fn a_gate_that_has_not_noticed_that_its_target_started_again_does_not_take_the_new_one_off_the_list() {
    // Found by the soak (seed 930021): the new target was lost to the nodes that had heard of it before its own gate had.
    let mut targets = TargetTable::default();
    let (former, present): (Arc<str>, Arc<str>) = (Arc::from("former"), Arc::from("present"));
    let listed = registration("alpha", "10.0.0.1:80", "here");
    targets.update(former.clone(), listed.clone(), Timestamp::ZERO);
    targets.update(present.clone(), listed.clone(), milliseconds(500));
    targets.update(former.clone(), listed.clone(), milliseconds(600));
    targets.replace_at_address("present", former.clone(), "alpha", milliseconds(700));
    assert!(targets.get("present").is_some(), "it was listed later, whatever was told of the former since");
    targets.replace_at_address("former", present.clone(), "alpha", milliseconds(800));
    targets.replace_at_address("present", former.clone(), "alpha", milliseconds(900));
    assert!(targets.get("present").is_some(), "what was told on the way does not bring the former back");
    targets.remove_missing(std::slice::from_ref(&former), Duration::ZERO, milliseconds(1_000));
    targets.replace_at_address("present", former, "alpha", milliseconds(1_100));
    let ids: Vec<_> = targets.of_service("alpha").iter().map(|target| target.id.clone()).collect();
    assert_eq!(ids, [present]);
}

#[test]
fn a_target_whose_machine_is_cut_off_from_the_store_is_kept_when_its_entry_runs_out() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..4).map(|number| Arc::from(format!("t{number}"))).collect();
    let machine = |number: usize| format!("10.0.0.{number}").parse().expect("an address");
    for (number, id) in ids.iter().enumerate() {
        targets.update(id.clone(), registration("alpha", &format!("10.0.0.{number}:80"), "here"), Timestamp::ZERO);
    }
    let drain = Duration::from_secs(1);
    targets.report_store_access(machine(0), true, milliseconds(1_000));
    targets.remove_missing(&ids[..1], drain, milliseconds(2_000));
    assert_eq!(targets.len(), 4, "its node says that it is cut off");
    targets.report_store_access(machine(0), true, milliseconds(5_000));
    assert!(!targets.drop_expired(milliseconds(7_899)), "and says so again");
    assert!(targets.drop_expired(milliseconds(7_900)), "nothing more is heard of it");

    targets.report_store_access(machine(1), true, milliseconds(9_000));
    targets.report_store_access(machine(1), false, milliseconds(9_500));
    targets.remove_missing(&ids[1..2], drain, milliseconds(9_600));
    assert_eq!(targets.len(), 2, "its node reads the store again, and the entry is gone");

    targets.report_store_access(machine(2), true, milliseconds(9_700));
    targets.remove_missing(&ids[2..3], drain, milliseconds(11_600));
    assert_eq!(targets.next_grace_end(), Some(milliseconds(12_600)), "counted from its node's last word");
    assert!(targets.drop_expired(milliseconds(12_600)));
    targets.update(ids[2].clone(), registration("alpha", "10.0.0.2:80", "here"), milliseconds(9_800));
    targets.report_store_access(machine(2), false, milliseconds(9_900));
    targets.remove_missing(&ids[2..3], drain, milliseconds(10_000));
    assert_eq!(targets.len(), 1);
    targets.report_store_access(machine(2), true, milliseconds(12_000));
    assert_eq!(targets.len(), 2, "its node was found to be cut off a little later");
    targets.report_store_access(machine(3), true, milliseconds(12_000));
    let draining = Registration { draining: true, ..registration("alpha", "10.0.0.3:80", "here") };
    targets.update(ids[3].clone(), draining, milliseconds(12_100));
    targets.remove_missing(&ids[3..], drain, milliseconds(12_200));
    assert_eq!(targets.len(), 1, "it had said that it leaves");
}

#[test]
fn nodes_that_have_an_unregistered_target_only_from_each_other_drop_it_when_the_first_one_does() {
    let id: Arc<str> = Arc::from("unregistered");
    let listed = registration("alpha", "10.0.0.1:80", "here");
    let mut tables = vec![TargetTable::default(); 4];
    tables[0].update(id.clone(), listed.clone(), Timestamp::ZERO);
    tables[0].report_store_access(listed.address.ip(), true, milliseconds(1_000));
    tables[0].remove_missing(std::slice::from_ref(&id), Duration::ZERO, milliseconds(1_200));
    for number in 1..tables.len() {
        let now = milliseconds(1_200 + 800 * number as u64);
        let told: Vec<_> =
            tables[number - 1].retained().map(|(target, until)| (target.clone(), now.until(until))).collect();
        for (target, left) in told {
            tables[number].retain_unregistered(target.id.clone(), target.registration.clone(), left, now);
        }
    }
    let ends: Vec<_> = tables.iter().filter_map(TargetTable::next_grace_end).collect();
    assert_eq!(ends, [milliseconds(3_900); 4]);
}

#[test]
fn targets_that_are_gone_together_with_many_are_kept_for_a_grace_period() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..10).map(|number| Arc::from(format!("t{number}"))).collect();
    let listed = registration("alpha", "10.0.0.1:80", "here");
    for id in &ids {
        targets.update(id.clone(), listed.clone(), Timestamp::ZERO);
    }
    let grace = Duration::from_secs(4);
    targets.remove_missing(&ids[..2], grace, Timestamp::ZERO);
    assert_eq!(targets.len(), 8, "two of ten are believed at once");
    targets.remove_missing(&ids[2..], grace, Timestamp::ZERO);
    assert_eq!((targets.len(), targets.next_grace_end()), (8, Some(milliseconds(4_000))));
    targets.update(ids[2].clone(), listed, milliseconds(1_000));
    assert!(!targets.drop_expired(milliseconds(3_999)));
    assert!(targets.drop_expired(milliseconds(4_000)));
    assert_eq!((targets.len(), targets.next_grace_end()), (1, None), "the one that was heard of again stays");
}

#[test]
fn a_target_that_is_missing_after_an_outage_is_kept_for_the_time_in_which_it_may_register_again() {
    let mut targets = TargetTable::default();
    let ids: Vec<Arc<str>> = (0..20).map(|number| Arc::from(format!("t{number}"))).collect();
    for (number, id) in ids.iter().enumerate() {
        targets.update(id.clone(), registration("alpha", &format!("10.0.0.{number}:80"), "here"), Timestamp::ZERO);
    }
    let until = milliseconds(12_000);
    targets.remove_after_outage(&ids[..2], until, milliseconds(10_000));
    assert_eq!(targets.len(), 20, "two of twenty are kept too");
    targets.report_store_access("10.0.0.1".parse().expect("an address"), true, milliseconds(11_500));
    targets.update(ids[0].clone(), registration("alpha", "10.0.0.0:80", "here"), milliseconds(11_000));
    assert!(!targets.drop_expired(milliseconds(11_999)));
    assert!(targets.drop_expired(until), "the one that did not register again has left");
    assert!(targets.get("t0").is_some() && targets.get("t1").is_none());

    let draining = Registration { draining: true, ..registration("alpha", "10.0.0.3:80", "here") };
    targets.update(ids[3].clone(), draining, milliseconds(13_000));
    targets.remove_after_outage(&ids[3..4], milliseconds(16_000), milliseconds(14_000));
    assert!(targets.get("t3").is_none(), "it had announced that it leaves");
    targets.remove_after_outage(&ids[4..5], milliseconds(16_000), milliseconds(16_001));
    assert!(targets.get("t4").is_none(), "the time is over");
}

#[test_case(2.0, 2.0)]
#[test_case(2.5, 2.5)]
#[test_case(1.0, 2.0)]
#[test_case(0.5, 0.5; "bounds too short for any grace")]
fn the_grace_of_many_targets_ends_within_the_bound_on_drains(drain_s: f64, apply_s: f64) {
    let (drain, apply) = (Duration::from_secs_f64(drain_s), Duration::from_secs_f64(apply_s));
    let bounds = Bounds { drain, apply, ..BOUNDS };
    assert!(bounds.batch_window() < drain.min(apply) / 2);
    let all = bounds.batch_window() + bounds.max_grace();
    assert!(all + Duration::from_millis(500) <= drain || bounds.max_grace().is_zero(), "{all:?} of {drain:?}");
}
