//! Which read of the platform's store is next, and when.

use std::time::Duration;

use quillhatch_mesh::feed::watch_timeout;
use quillhatch_mesh::replica::Position;
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::store_reader::{
    may_have_expired, reregistration_timeout_after_restore, ListingCursor, NextRead, StalledListing, StoreReader,
};

/// Longer bounds than those of the other tests, so that they do not shorten the timeout of a watch.
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
fn after_an_outage_the_watch_continues_from_the_position_of_the_view() {
    let mut reader = StoreReader::default();
    assert_eq!(reader.next(Position::default()), NextRead::StaleList);
    reader.read_failed(false, &BOUNDS);
    assert_eq!(reader.next(Position::default()), NextRead::StaleList, "nothing has been read yet");
    reader.read_succeeded();
    reader.read_failed(true, &BOUNDS);
    assert_eq!(reader.next(at(40)), NextRead::Watch { after: 40 });
    reader.read_succeeded();
    assert_eq!(reader.next(at(47)), NextRead::Watch { after: 47 }, "other nodes may have sent later changes");
}

#[test]
fn everything_is_listed_again_if_the_store_lacks_the_changes_in_between() {
    let mut reader = StoreReader::default();
    reader.read_succeeded();
    reader.history_lost();
    assert_eq!(reader.next(at(40)), NextRead::List);
    reader.read_failed(true, &BOUNDS);
    assert_eq!(reader.next(at(40)), NextRead::List, "it has not been listed yet");
    reader.read_succeeded();
    assert_eq!(reader.next(at(50)), NextRead::Watch { after: 50 });
}

#[test]
fn a_node_with_a_view_retries_a_failing_store_rarely_but_soon_enough() {
    let mut reader = StoreReader::default();
    reader.read_succeeded();
    let pauses: Vec<Duration> = (0..12).map(|_| reader.read_failed(true, &BOUNDS)).collect();
    assert_eq!(pauses[0], Duration::from_millis(100), "a single failure is retried soon");
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    let max_pause = *pauses.last().expect("pauses");
    assert_eq!(max_pause, Duration::from_secs(2));
    assert!(max_pause + Duration::from_secs(1) < BOUNDS.recovery, "the view is complete within the recovery time");
    reader.read_succeeded();
    assert_eq!(reader.read_failed(true, &BOUNDS), Duration::from_millis(100), "the backoff starts anew");
}

#[test]
fn a_node_without_a_view_retries_more_often() {
    let mut reader = StoreReader::default();
    let max_pause = (0..12).map(|_| reader.read_failed(false, &BOUNDS)).max();
    assert_eq!(max_pause, Some(Duration::from_millis(800)));
}

#[test]
fn registrations_do_not_expire_during_a_single_failed_call() {
    assert!(!may_have_expired(Duration::from_millis(250)), "a failed call and the pause after it");
    assert!(may_have_expired(Duration::from_millis(800)), "an outage that was noticed late");
}

#[test]
fn a_watch_that_hangs_is_noticed_within_the_recovery_time() {
    assert!(watch_timeout(&BOUNDS) < BOUNDS.recovery / 2, "{:?}", watch_timeout(&BOUNDS));
    let revoking = Bounds { revocation: Some(Duration::from_secs(5)), ..BOUNDS };
    assert!(watch_timeout(&revoking) < Duration::from_secs(1), "{:?}", watch_timeout(&revoking));
}

#[test]
fn targets_that_a_restored_backup_lacks_have_a_heartbeat_to_register_again() {
    assert!(reregistration_timeout_after_restore(&BOUNDS) > BOUNDS.heartbeat);
    let slow_heartbeat = Bounds { heartbeat: Duration::from_secs(5), ..BOUNDS };
    assert!(reregistration_timeout_after_restore(&slow_heartbeat) > slow_heartbeat.heartbeat);
}

#[test]
fn a_listing_that_returns_to_an_earlier_page_is_stalled() {
    let key = |name: &str| Some(name.to_owned());
    let mut cursor = ListingCursor::default();
    for name in ["m", "a", "z"] {
        assert_eq!(cursor.advance(key(name)), Ok(()), "keys may come in any order");
        assert_eq!(cursor.after(), name);
    }
    let stalled = Err(StalledListing { after: "z".to_owned() });
    for name in [key("z"), key("a"), key("m"), None] {
        assert_eq!(cursor.advance(name), stalled);
    }
    assert_eq!(cursor.after(), "z", "it remains where it was");
}

#[test]
fn a_listing_whose_first_page_has_no_key_is_stalled() {
    for name in [None, Some(String::new())] {
        assert_eq!(ListingCursor::default().advance(name), Err(StalledListing { after: String::new() }));
    }
}
