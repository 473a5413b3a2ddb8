//! What a replica of the store takes over and tells, within an era and across.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::Configuration;
use quillhatch_mesh::replica::{Change, Position, Replica, RevisedChange, Update, UpdateError, UpdateScope};
use quillhatch_mesh::targets::Registration;
use quillhatch_types::Timestamp;

use crate::registration;

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn written(started: u64, sequence: u64, draining: bool) -> Registration {
    Registration { started, sequence, draining, ..registration("alpha", "10.0.0.1:80", "a") }
}

fn listed(revision: u64, id: &str, registration: Registration) -> RevisedChange {
    RevisedChange { revision, change: Change::Target(Arc::from(id), registration) }
}

fn gone(revision: u64, id: &str) -> RevisedChange {
    RevisedChange { revision, change: Change::TargetRemoved(Arc::from(id)) }
}

fn configured(revision: u64, version: u64) -> RevisedChange {
    let configuration = Configuration { version, ..Configuration::default() };
    RevisedChange { revision, change: Change::Configuration(Arc::new(configuration)) }
}

fn whole(position: Position, changes: Vec<RevisedChange>) -> Update {
    Update { scope: UpdateScope::Full, position, changes }
}

fn after(from: Position, position: Position, changes: Vec<RevisedChange>) -> Update {
    Update { scope: UpdateScope::After(from), position, changes }
}

fn names(changes: &[Change]) -> Vec<String> {
    let name = |change: &Change| match change {
        Change::Target(id, _) => format!("+{id}"),
        Change::TargetRemoved(id) => format!("-{id}"),
        Change::Configuration(configuration) => format!("v{}", configuration.version),
        other => format!("{other:?}"),
    };
    changes.iter().map(name).collect()
}

fn ids(replica: &Replica) -> Vec<String> {
    let mut ids: Vec<String> = replica.ids().map(ToString::to_string).collect();
    ids.sort();
    ids
}

/// A replica with two targets and a configuration, at revision 10 of era 3.
fn replica() -> Replica {
    let mut replica = Replica::default();
    let changes = vec![configured(4, 7), listed(8, "a", written(1, 1, false)), listed(9, "b", written(1, 1, false))];
    replica.apply(whole(at(3, 10), changes), NOW).expect("the first update is taken");
    replica
}

#[test]
fn differences_lead_another_replica_to_the_same_place() {
    let mut ahead = replica();
    let mut behind = replica();
    let changes = vec![listed(11, "c", written(1, 1, false)), gone(12, "a"), configured(13, 8)];
    ahead.apply(after(at(3, 10), at(3, 13), changes), NOW).expect("it fits");
    let update = ahead.update_since(behind.position(), NOW).expect("there is something new");
    assert_eq!(update.scope, UpdateScope::After(at(3, 10)));
    assert_eq!(update.changes.len(), 3, "only what has changed: {update:?}");
    let learnt = behind.apply(update, NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["+c", "-a", "v8"]);
    assert_eq!(behind.position(), ahead.position());
    assert_eq!(ids(&behind), ["b", "c"]);
    assert_eq!(ahead.update_since(behind.position(), NOW), None);
}

#[test]
fn one_that_knows_nothing_gets_everything() {
    let update = replica().update_since(Position::default(), NOW).expect("everything");
    assert_eq!(update.scope, UpdateScope::Full);
    let mut new = Replica::default();
    assert_eq!(names(&new.apply(update, NOW).expect("it fits").changes), ["v7", "+a", "+b"]);
}

#[test]
fn one_that_is_further_behind_than_is_remembered_gets_everything() {
    let replica = replica();
    let update = replica.update_since(at(3, 5), NOW).expect("something new");
    assert_eq!(update.scope, UpdateScope::Full, "what went between revisions 5 and 10 is not known");
}

#[test]
fn what_went_is_told_until_it_is_forgotten() {
    let mut replica = replica();
    for number in 0..3_000_u64 {
        let position = replica.position();
        let revision = position.revision + 2;
        let id = format!("short-{number}");
        let changes = vec![listed(revision - 1, &id, written(1, 1, false)), gone(revision, &id)];
        replica.apply(after(position, at(3, revision), changes), NOW).expect("it fits");
    }
    let end = replica.position().revision;
    assert_eq!(replica.update_since(at(3, end - 100), NOW).expect("new").scope, UpdateScope::After(at(3, end - 100)));
    assert_eq!(replica.update_since(at(3, 10), NOW).expect("new").scope, UpdateScope::Full);
}

#[test]
fn a_slow_start_is_told_with_what_is_left_of_it() {
    let mut replica = Replica::default();
    let cold = Registration { cold_for: Duration::from_secs(3), ..written(1, 1, false) };
    replica.apply(whole(at(0, 5), vec![listed(5, "a", cold)]), NOW).expect("it fits");
    let update = replica.update_since(Position::default(), NOW + Duration::from_secs(1)).expect("everything");
    let Change::Target(_, told) = &update.changes[0].change else { panic!("{update:?}") };
    assert_eq!(told.cold_for, Duration::from_secs(2));
}

#[test]
fn an_update_that_is_older_or_does_not_fit_changes_nothing() {
    let mut replica = replica();
    assert_eq!(replica.apply(whole(at(3, 9), vec![]), NOW), Err(UpdateError::Outdated));
    assert_eq!(replica.apply(whole(at(2, 99), vec![]), NOW), Err(UpdateError::Outdated), "of an earlier era");
    assert_eq!(replica.apply(after(at(3, 12), at(3, 14), vec![]), NOW), Err(UpdateError::Gap));
    assert_eq!(replica.apply(after(at(4, 1), at(4, 14), vec![]), NOW), Err(UpdateError::Gap), "of another era");
    assert_eq!(ids(&replica), ["a", "b"]);
    assert_eq!(replica.position(), at(3, 10));
}

#[test]
fn overlapping_differences_count_once() {
    let mut replica = replica();
    let change = listed(11, "c", written(1, 1, false));
    replica.apply(after(at(3, 10), at(3, 11), vec![change.clone()]), NOW).expect("it fits");
    let learnt = replica.apply(after(at(3, 10), at(3, 12), vec![change, gone(12, "b")]), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["-b"]);
}

#[test]
fn what_everything_does_not_name_is_gone() {
    let mut replica = replica();
    let learnt = replica.apply(whole(at(3, 20), vec![listed(9, "b", written(1, 1, false))]), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["-a"]);
    assert!(!learnt.is_new_era);
}

#[test]
fn a_new_era_goes_before_any_revision_of_the_former() {
    let mut replica = replica();
    let copy = vec![configured(2, 6), listed(3, "a", written(1, 1, false))];
    let learnt = replica.apply(whole(at(4, 3), copy), NOW).expect("a later era");
    assert!(learnt.is_new_era);
    assert_eq!(names(&learnt.changes), ["-b"], "the copy lacks it, and its configuration is older");
    // Revisions are given out again.
    let again = vec![listed(4, "b", written(1, 2, false)), configured(5, 8)];
    let learnt = replica.apply(after(at(4, 3), at(4, 5), again), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["+b", "v8"]);
    assert_eq!(replica.apply(after(at(3, 10), at(3, 40), vec![gone(40, "a")]), NOW), Err(UpdateError::Outdated));
}

#[test]
fn an_acknowledged_configuration_is_told_on_though_the_copy_lacks_it() {
    let mut replica = replica();
    replica.apply(whole(at(4, 3), vec![configured(2, 6)]), NOW).expect("a later era");
    let update = replica.update_since(Position::default(), NOW).expect("everything");
    let versions: Vec<u64> = update
        .changes
        .iter()
        .filter_map(|revised| match &revised.change {
            Change::Configuration(configuration) => Some(configuration.version),
            _ => None,
        })
        .collect();
    assert_eq!(versions, [7]);
}

#[test]
fn a_copy_does_not_bring_back_what_drains_or_has_left() {
    let mut replica = replica();
    let changes = vec![listed(11, "a", written(1, 2, true)), gone(12, "b")];
    replica.apply(after(at(3, 10), at(3, 12), changes), NOW).expect("it fits");
    let copy = vec![listed(8, "a", written(1, 1, false)), listed(9, "b", written(1, 1, false))];
    let learnt = replica.apply(whole(at(4, 10), copy), NOW).expect("a later era");
    assert_eq!(names(&learnt.changes), Vec::<String>::new());
    assert_eq!(ids(&replica), ["a"], "b has left");
    let update = replica.update_since(Position::default(), NOW).expect("everything");
    let Change::Target(_, told) = &update.changes[0].change else { panic!("{update:?}") };
    assert!(told.draining, "a still drains");
    // Whoever lives writes again.
    let learnt = replica.apply(after(at(4, 10), at(4, 11), vec![listed(11, "b", written(1, 2, false))]), NOW);
    assert_eq!(names(&learnt.expect("it fits").changes), ["+b"]);
}

#[test]
fn a_later_life_goes_before_late_writes_of_the_earlier() {
    let mut replica = replica();
    let changes = vec![listed(11, "a", written(5, 1, false)), listed(12, "a", written(1, 9, true))];
    let learnt = replica.apply(after(at(3, 10), at(3, 12), changes), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["+a"]);
    let update = replica.update_since(at(3, 10), NOW).expect("something new");
    let Change::Target(_, told) = &update.changes[0].change else { panic!("{update:?}") };
    assert_eq!((told.started, told.draining), (5, false));
}

#[test]
fn a_target_that_left_comes_back_with_a_later_life_only() {
    let mut replica = replica();
    replica.apply(after(at(3, 10), at(3, 11), vec![gone(11, "a")]), NOW).expect("it fits");
    let earlier = vec![listed(12, "a", written(0, 9, false))];
    let learnt = replica.apply(after(at(3, 11), at(3, 12), earlier), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), Vec::<String>::new(), "a late write of an earlier life");
    let later = vec![listed(13, "a", written(2, 1, false))];
    let learnt = replica.apply(after(at(3, 12), at(3, 13), later), NOW).expect("it fits");
    assert_eq!(names(&learnt.changes), ["+a"]);
}

#[test]
fn an_entry_that_became_unusable_names_no_target() {
    let mut replica = replica();
    let odd = RevisedChange { revision: 11, change: Change::UnusableTarget("a".into(), "no slots".to_owned()) };
    replica.apply(after(at(3, 10), at(3, 11), vec![odd]), NOW).expect("it fits");
    assert_eq!(ids(&replica), ["b"]);
    let update = replica.update_since(at(3, 10), NOW).expect("something new");
    let changes: Vec<Change> = update.changes.into_iter().map(|revised| revised.change).collect();
    assert_eq!(names(&changes), ["-a"], "the others learn it as gone");
}
