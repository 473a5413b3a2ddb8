//! The updates that a replica of the store applies and creates, within an era and across eras.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::{Configuration, Document};
use quillhatch_mesh::replica::{Change, Position, Replica, RevisedChange, Update, UpdateError, UpdateScope};
use quillhatch_mesh::targets::Registration;
use quillhatch_types::Timestamp;

use crate::registration;

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn registered(started: u64, sequence: u64, draining: bool) -> Registration {
    Registration { started, sequence, draining, ..registration("alpha", "10.0.0.1:80", "a") }
}

fn listed(revision: u64, id: &str, registration: Registration) -> RevisedChange {
    RevisedChange { revision, change: Change::Target(Arc::from(id), registration) }
}

fn removed(revision: u64, id: &str) -> RevisedChange {
    RevisedChange { revision, change: Change::TargetRemoved(Arc::from(id)) }
}

fn configuration_change(revision: u64, version: u64) -> RevisedChange {
    let configuration = Configuration { version, ..Configuration::default() };
    RevisedChange { revision, change: Change::Configuration(Arc::new(configuration)) }
}

fn full(position: Position, changes: Vec<RevisedChange>) -> Update {
    Update { scope: UpdateScope::Full, position, changes }
}

fn changes_after(from: Position, position: Position, changes: Vec<RevisedChange>) -> Update {
    Update { scope: UpdateScope::After(from), position, changes }
}

fn summary(changes: &[Change]) -> Vec<String> {
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
    let changes = vec![
        configuration_change(4, 7),
        listed(8, "a", registered(1, 1, false)),
        listed(9, "b", registered(1, 1, false)),
    ];
    replica.apply(full(at(3, 10), changes), NOW).expect("the first update applies");
    replica
}

#[test]
fn differences_bring_another_replica_to_the_same_state() {
    let mut ahead = replica();
    let mut behind = replica();
    let changes = vec![listed(11, "c", registered(1, 1, false)), removed(12, "a"), configuration_change(13, 8)];
    ahead.apply(changes_after(at(3, 10), at(3, 13), changes), NOW).expect("it applies");
    let update = ahead.update_since(behind.position(), NOW).expect("an update");
    assert_eq!(update.scope, UpdateScope::After(at(3, 10)));
    assert_eq!(update.changes.len(), 3, "only what has changed: {update:?}");
    let applied = behind.apply(update, NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["+c", "-a", "v8"]);
    assert_eq!(behind.position(), ahead.position());
    assert_eq!(ids(&behind), ["b", "c"]);
    assert_eq!(ahead.update_since(behind.position(), NOW), None);
}

#[test]
fn an_empty_replica_gets_a_full_update() {
    let update = replica().update_since(Position::default(), NOW).expect("a full update");
    assert_eq!(update.scope, UpdateScope::Full);
    let mut new = Replica::default();
    assert_eq!(summary(&new.apply(update, NOW).expect("it applies").changes), ["v7", "+a", "+b"]);
}

#[test]
fn a_replica_that_is_behind_the_discarded_revision_gets_a_full_update() {
    let replica = replica();
    let update = replica.update_since(at(3, 5), NOW).expect("an update");
    assert_eq!(update.scope, UpdateScope::Full, "the entries removed between revisions 5 and 10 are unknown");
}

#[test]
fn removed_entries_are_sent_until_they_are_discarded() {
    let mut replica = replica();
    for number in 0..3_000_u64 {
        let position = replica.position();
        let revision = position.revision + 2;
        let id = format!("short-{number}");
        let changes = vec![listed(revision - 1, &id, registered(1, 1, false)), removed(revision, &id)];
        replica.apply(changes_after(position, at(3, revision), changes), NOW).expect("it applies");
    }
    let end = replica.position().revision;
    assert_eq!(
        replica.update_since(at(3, end - 100), NOW).expect("an update").scope,
        UpdateScope::After(at(3, end - 100))
    );
    assert_eq!(replica.update_since(at(3, 10), NOW).expect("an update").scope, UpdateScope::Full);
}

#[test]
fn the_remaining_time_of_a_slow_start_is_sent() {
    let mut replica = Replica::default();
    let cold = Registration { cold_for: Duration::from_secs(3), ..registered(1, 1, false) };
    replica.apply(full(at(0, 5), vec![listed(5, "a", cold)]), NOW).expect("it applies");
    let update = replica.update_since(Position::default(), NOW + Duration::from_secs(1)).expect("a full update");
    let Change::Target(_, sent) = &update.changes[0].change else { panic!("{update:?}") };
    assert_eq!(sent.cold_for, Duration::from_secs(2));
}

#[test]
fn an_update_that_is_outdated_or_has_a_gap_changes_nothing() {
    let mut replica = replica();
    assert_eq!(replica.apply(full(at(3, 9), vec![]), NOW), Err(UpdateError::Outdated));
    assert_eq!(replica.apply(full(at(2, 99), vec![]), NOW), Err(UpdateError::Outdated), "of an earlier era");
    assert_eq!(replica.apply(changes_after(at(3, 12), at(3, 14), vec![]), NOW), Err(UpdateError::Gap));
    assert_eq!(replica.apply(changes_after(at(4, 1), at(4, 14), vec![]), NOW), Err(UpdateError::Gap), "of another era");
    assert_eq!(ids(&replica), ["a", "b"]);
    assert_eq!(replica.position(), at(3, 10));
}

#[test]
fn overlapping_changes_count_once() {
    let mut replica = replica();
    let change = listed(11, "c", registered(1, 1, false));
    replica.apply(changes_after(at(3, 10), at(3, 11), vec![change.clone()]), NOW).expect("it applies");
    let applied =
        replica.apply(changes_after(at(3, 10), at(3, 12), vec![change, removed(12, "b")]), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["-b"]);
}

#[test]
fn entries_that_a_full_update_lacks_are_removed() {
    let mut replica = replica();
    let applied =
        replica.apply(full(at(3, 20), vec![listed(9, "b", registered(1, 1, false))]), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["-a"]);
    assert!(!applied.is_new_era);
}

#[test]
fn a_new_era_is_later_than_any_revision_of_the_previous_one() {
    let mut replica = replica();
    let backup = vec![configuration_change(2, 6), listed(3, "a", registered(1, 1, false))];
    let applied = replica.apply(full(at(4, 3), backup), NOW).expect("a later era");
    assert!(applied.is_new_era);
    assert_eq!(summary(&applied.changes), ["-b"], "the backup lacks it, and its configuration is older");
    // The restored store assigns the same revisions again.
    let again = vec![listed(4, "b", registered(1, 2, false)), configuration_change(5, 8)];
    let applied = replica.apply(changes_after(at(4, 3), at(4, 5), again), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["+b", "v8"]);
    assert_eq!(
        replica.apply(changes_after(at(3, 10), at(3, 40), vec![removed(40, "a")]), NOW),
        Err(UpdateError::Outdated)
    );
}

#[test]
fn an_acknowledged_configuration_is_still_sent_if_the_backup_lacks_it() {
    let mut replica = replica();
    replica.apply(full(at(4, 3), vec![configuration_change(2, 6)]), NOW).expect("a later era");
    let update = replica.update_since(Position::default(), NOW).expect("a full update");
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
fn a_restored_backup_revives_neither_draining_nor_removed_targets() {
    let mut replica = replica();
    let changes = vec![listed(11, "a", registered(1, 2, true)), removed(12, "b")];
    replica.apply(changes_after(at(3, 10), at(3, 12), changes), NOW).expect("it applies");
    let backup = vec![listed(8, "a", registered(1, 1, false)), listed(9, "b", registered(1, 1, false))];
    let applied = replica.apply(full(at(4, 10), backup), NOW).expect("a later era");
    assert_eq!(summary(&applied.changes), Vec::<String>::new());
    assert_eq!(ids(&replica), ["a"], "b was removed");
    let update = replica.update_since(Position::default(), NOW).expect("a full update");
    let Change::Target(_, sent) = &update.changes[0].change else { panic!("{update:?}") };
    assert!(sent.draining, "a still drains");
    // A target that still runs writes its registration again.
    let applied =
        replica.apply(changes_after(at(4, 10), at(4, 11), vec![listed(11, "b", registered(1, 2, false))]), NOW);
    assert_eq!(summary(&applied.expect("it applies").changes), ["+b"]);
}

#[test]
fn a_restarted_target_overrides_late_writes_from_before_the_restart() {
    let mut replica = replica();
    let changes = vec![listed(11, "a", registered(5, 1, false)), listed(12, "a", registered(1, 9, true))];
    let applied = replica.apply(changes_after(at(3, 10), at(3, 12), changes), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["+a"]);
    let update = replica.update_since(at(3, 10), NOW).expect("an update");
    let Change::Target(_, sent) = &update.changes[0].change else { panic!("{update:?}") };
    assert_eq!((sent.started, sent.draining), (5, false));
}

#[test]
fn a_removed_target_is_listed_again_only_after_a_restart() {
    let mut replica = replica();
    replica.apply(changes_after(at(3, 10), at(3, 11), vec![removed(11, "a")]), NOW).expect("it applies");
    let earlier = vec![listed(12, "a", registered(0, 9, false))];
    let applied = replica.apply(changes_after(at(3, 11), at(3, 12), earlier), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), Vec::<String>::new(), "a late write from before the restart");
    let later = vec![listed(13, "a", registered(2, 1, false))];
    let applied = replica.apply(changes_after(at(3, 12), at(3, 13), later), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), ["+a"]);
}

#[test]
fn an_entry_that_became_unusable_lists_no_target() {
    let mut replica = replica();
    let unusable = RevisedChange { revision: 11, change: Change::UnusableTarget("a".into(), "no slots".to_owned()) };
    replica.apply(changes_after(at(3, 10), at(3, 11), vec![unusable]), NOW).expect("it applies");
    assert_eq!(ids(&replica), ["b"]);
    let update = replica.update_since(at(3, 10), NOW).expect("an update");
    let changes: Vec<Change> = update.changes.into_iter().map(|revised| revised.change).collect();
    assert_eq!(summary(&changes), ["-a"], "it is sent to others as removed");
}

/// A replica of the backup to which [`replica`]'s store was restored: version 6 of the configuration, and the target
/// `b`. It has read the restored store itself and remembers nothing else.
fn restored() -> Replica {
    let mut restored = Replica::default();
    restored.apply(full(at(4, 5), backup()), NOW).expect("the first update applies");
    restored
}

fn backup() -> Vec<RevisedChange> {
    vec![configuration_change(2, 6), listed(3, "b", registered(1, 1, false))]
}

fn configuration_version(update: &Update) -> Option<u64> {
    update.changes.iter().find_map(|revised| match &revised.change {
        Change::Configuration(configuration) => Some(configuration.version),
        _ => None,
    })
}

// A configuration that was written again after a restore did not reach replicas that lacked it, if their source
// remembered it from before the restore.
#[test]
fn a_configuration_written_again_after_a_restore_is_part_of_the_differences() {
    let mut source = replica();
    source.apply(full(at(4, 5), backup()), NOW).expect("a later era");
    let mut joined = restored();
    let applied =
        source.apply(changes_after(at(4, 5), at(4, 6), vec![configuration_change(6, 7)]), NOW).expect("it applies");
    assert_eq!(summary(&applied.changes), Vec::<String>::new(), "it has had this version all the time");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(update.scope, UpdateScope::After(at(4, 5)));
    assert_eq!(summary(&joined.apply(update, NOW).expect("it applies").changes), ["v7"]);
}

// An older version that the operator writes after a restore is a write of the configuration too: a replica without any
// configuration received none.
#[test]
fn a_write_of_an_older_configuration_sends_the_newer_one_that_the_source_holds() {
    let mut source = replica();
    source.apply(full(at(4, 5), vec![]), NOW).expect("a later era");
    let mut joined = Replica::default();
    joined.apply(full(at(4, 5), vec![]), NOW).expect("the first update applies");
    source.apply(changes_after(at(4, 5), at(4, 6), vec![configuration_change(6, 6)]), NOW).expect("it applies");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(configuration_version(&update), Some(7), "its version 7 is newer than what was written");
}

// A removal after a restore did not reach replicas that had the target from the backup, if their source remembered an
// earlier removal: they kept the target for good.
#[test]
fn a_removal_after_a_restore_is_part_of_the_differences_of_a_source_that_knew_it() {
    let mut source = replica();
    source.apply(changes_after(at(3, 10), at(3, 12), vec![removed(12, "b")]), NOW).expect("it applies");
    source.apply(full(at(4, 5), backup()), NOW).expect("a later era");
    assert_eq!(ids(&source), Vec::<String>::new(), "b is not revived, and the backup lacks a");
    let mut joined = restored();
    source.apply(changes_after(at(4, 5), at(4, 9), vec![removed(9, "b")]), NOW).expect("it applies");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(summary(&joined.apply(update, NOW).expect("it applies").changes), ["-b"]);
}

#[test]
fn a_removal_of_a_target_that_the_source_never_had_is_part_of_its_differences() {
    let mut source = Replica::default();
    source.apply(full(at(4, 5), vec![configuration_change(2, 6)]), NOW).expect("the first update applies");
    let mut joined = restored();
    source.apply(changes_after(at(4, 5), at(4, 9), vec![removed(9, "b")]), NOW).expect("it applies");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(summary(&joined.apply(update, NOW).expect("it applies").changes), ["-b"]);
}

// A removal that a source learned from a full update was not in its differences, if it had known the removal already.
#[test]
fn a_removal_that_a_full_update_implies_is_part_of_the_differences() {
    let mut source = replica();
    source.apply(changes_after(at(3, 10), at(3, 12), vec![removed(12, "b")]), NOW).expect("it applies");
    source.apply(full(at(4, 5), backup()), NOW).expect("a later era");
    let mut joined = restored();
    source.apply(full(at(4, 9), vec![configuration_change(2, 6)]), NOW).expect("it applies");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(summary(&joined.apply(update, NOW).expect("it applies").changes), ["-b"]);
}

// A late write of a removed target was ignored, but not its removal at replicas that held it.
#[test]
fn a_late_write_of_a_removed_target_removes_it_at_replicas_that_hold_it() {
    let mut source = replica();
    let changes = vec![listed(11, "b", registered(1, 5, true)), removed(12, "b")];
    source.apply(changes_after(at(3, 10), at(3, 12), changes), NOW).expect("it applies");
    source.apply(full(at(4, 5), backup()), NOW).expect("a later era");
    let mut joined = restored();
    let late = vec![listed(6, "b", registered(1, 2, false))];
    source.apply(changes_after(at(4, 5), at(4, 6), late), NOW).expect("it applies");
    let update = source.update_since(joined.position(), NOW).expect("an update");
    assert_eq!(summary(&joined.apply(update, NOW).expect("it applies").changes), ["-b"]);
}

#[test]
fn other_contents_of_the_same_version_replace_it_if_they_were_written_later() {
    let written = |revision, text: &str| {
        let document = Document(Arc::from(text.as_bytes()));
        let configuration = Configuration { version: 7, document, ..Configuration::default() };
        RevisedChange { revision, change: Change::Configuration(Arc::new(configuration)) }
    };
    let mut replica = replica();
    replica.apply(full(at(4, 5), backup()), NOW).expect("a later era");
    let applied = replica.apply(changes_after(at(4, 5), at(4, 6), vec![written(6, "other")]), NOW);
    assert_eq!(summary(&applied.expect("it applies").changes), ["v7"]);
    let applied = replica.apply(changes_after(at(4, 5), at(4, 7), vec![written(5, "earlier")]), NOW);
    assert_eq!(summary(&applied.expect("it applies").changes), Vec::<String>::new());
    let second_backup = full(at(5, 7), vec![written(4, "of the second backup"), backup()[1].clone()]);
    assert_eq!(summary(&replica.apply(second_backup, NOW).expect("a later era").changes), ["v7"]);
}
