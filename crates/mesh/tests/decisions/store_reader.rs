//! What is read of the platform's store next, and when.

use std::time::Duration;

use quillhatch_mesh::feed::watch_timeout;
use quillhatch_mesh::replica::Position;
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::store_reader::{may_have_expired, reregistration_timeout, NextRead, StoreReader};

/// Longer than those of the other decisions: a watch has its full length.
const BOUNDS: Bounds = Bounds {
    drain: Duration::from_secs(3),
    apply: Duration::from_secs(3),
    recovery: Duration::from_secs(4),
    ..crate::BOUNDS
};

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

#[test]
fn after_an_outage_the_changes_are_followed_from_where_the_view_stands() {
    let mut reader = StoreReader::default();
    assert_eq!(reader.next(Position::default()), NextRead::StaleList);
    reader.read_failed(false, &BOUNDS);
    assert_eq!(reader.next(Position::default()), NextRead::StaleList, "nothing was read yet");
    reader.read_succeeded();
    reader.read_failed(true, &BOUNDS);
    assert_eq!(reader.next(at(40)), NextRead::Watch { after: 40 });
    reader.read_succeeded();
    assert_eq!(reader.next(at(47)), NextRead::Watch { after: 47 }, "others may have told of it");
}

#[test]
fn everything_is_read_again_where_the_changes_in_between_are_not_to_be_had() {
    let mut reader = StoreReader::default();
    reader.read_succeeded();
    reader.history_lost();
    assert_eq!(reader.next(at(40)), NextRead::List);
    reader.read_failed(true, &BOUNDS);
    assert_eq!(reader.next(at(40)), NextRead::List, "it was not read yet");
    reader.read_succeeded();
    assert_eq!(reader.next(at(50)), NextRead::Watch { after: 50 });
}

#[test]
fn a_node_with_a_view_asks_a_store_in_trouble_seldom_and_soon_enough() {
    let mut reader = StoreReader::default();
    reader.read_succeeded();
    let pauses: Vec<Duration> = (0..12).map(|_| reader.read_failed(true, &BOUNDS)).collect();
    assert_eq!(pauses[0], Duration::from_millis(100), "a single failure is tried again at once");
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    let longest = *pauses.last().expect("pauses");
    assert_eq!(longest, Duration::from_secs(2));
    assert!(longest + Duration::from_secs(1) < BOUNDS.recovery, "the view is whole before bounds hold again");
    reader.read_succeeded();
    assert_eq!(reader.read_failed(true, &BOUNDS), Duration::from_millis(100), "counted anew");
}

#[test]
fn a_node_that_knows_nothing_asks_more_often() {
    let mut reader = StoreReader::default();
    let longest = (0..12).map(|_| reader.read_failed(false, &BOUNDS)).max();
    assert_eq!(longest, Some(Duration::from_millis(800)));
}

#[test]
fn a_single_failed_call_is_no_outage_in_which_registrations_run_out() {
    assert!(!may_have_expired(Duration::from_millis(250)), "a failed call and the pause behind it");
    assert!(may_have_expired(Duration::from_millis(800)), "an outage that was noticed late");
}

#[test]
fn a_watch_that_hangs_is_noticed_before_bounds_hold_again() {
    assert!(watch_timeout(&BOUNDS) < BOUNDS.recovery / 2, "{:?}", watch_timeout(&BOUNDS));
    let revoking = Bounds { revocation: Some(Duration::from_secs(5)), ..BOUNDS };
    assert!(watch_timeout(&revoking) < Duration::from_secs(1), "{:?}", watch_timeout(&revoking));
}

#[test]
fn what_an_older_copy_lacks_has_the_time_of_a_heartbeat_to_be_written_again() {
    assert!(reregistration_timeout(&BOUNDS) > BOUNDS.heartbeat);
    let slow = Bounds { heartbeat: Duration::from_secs(5), ..BOUNDS };
    assert!(reregistration_timeout(&slow) > slow.heartbeat);
}
