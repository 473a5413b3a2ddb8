//! What is read of the platform's store next, and when.

use std::time::Duration;

use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::store_reader::{may_have_lapsed, watch_wait, NextRead, StoreReader};
use quillhatch_mesh::targets::TargetTable;
use quillhatch_types::Timestamp;
use test_case::test_case;

use crate::registration;

const BOUNDS: Bounds = Bounds {
    stop_grace: Duration::from_secs(6),
    drain: Duration::from_secs(3),
    apply: Duration::from_secs(3),
    contact: Duration::from_secs(4),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    retry_slack: 55.0,
    revocation: None,
    limits: LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 },
};

#[test]
fn after_an_outage_the_changes_are_followed_from_where_the_view_stands() {
    let mut reader = StoreReader::default();
    assert_eq!(reader.next(), NextRead::LaggingCopy);
    reader.failed(false, &BOUNDS);
    assert_eq!(reader.next(), NextRead::LaggingCopy, "nothing was read yet");
    reader.reached(40);
    reader.failed(true, &BOUNDS);
    assert_eq!(reader.next(), NextRead::Changes { after: 40 });
    reader.reached(47);
    assert_eq!(reader.next(), NextRead::Changes { after: 47 });
}

#[test]
fn everything_is_read_again_where_the_changes_in_between_are_not_to_be_had() {
    let mut reader = StoreReader::default();
    reader.reached(40);
    reader.history_lost();
    assert_eq!(reader.next(), NextRead::Everything);
    reader.reached(50);
    let before = reader.views_taken();
    reader.view_replaced();
    assert_eq!(reader.next(), NextRead::Everything, "another node's view lists what the store may not");
    assert_ne!(reader.views_taken(), before, "an answer that was on its way is noticed");
}

#[test]
fn a_node_with_a_view_asks_a_store_in_trouble_seldom_and_soon_enough() {
    let mut reader = StoreReader::default();
    reader.reached(1);
    let pauses: Vec<Duration> = (0..12).map(|_| reader.failed(true, &BOUNDS)).collect();
    assert_eq!(pauses[0], Duration::from_millis(100), "a single failure is tried again at once");
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    let longest = *pauses.last().expect("pauses");
    assert_eq!(longest, Duration::from_secs(2));
    assert!(longest + Duration::from_secs(1) < BOUNDS.contact, "the view is whole before bounds hold again");
    reader.reached(2);
    assert_eq!(reader.failed(true, &BOUNDS), Duration::from_millis(100), "counted anew");
}

#[test]
fn a_node_that_knows_nothing_asks_more_often() {
    let mut reader = StoreReader::default();
    let longest = (0..12).map(|_| reader.failed(false, &BOUNDS)).max();
    assert_eq!(longest, Some(Duration::from_millis(800)));
}

#[test]
fn a_single_failed_call_is_no_outage_in_which_registrations_run_out() {
    assert!(!may_have_lapsed(Duration::from_millis(250)), "a failed call and the pause behind it");
    assert!(may_have_lapsed(Duration::from_millis(800)), "an outage that was noticed late");
}

#[test_case(1, 2, 2..=2; "as many as there are")]
#[test_case(3, 5, 3..=5; "a few")]
#[test_case(6, 16, 6..=8; "one of each zone")]
#[test_case(15, 100, 15..=18; "a large fleet")]
fn a_few_nodes_of_each_zone_renew_their_watches_often(
    zones: usize,
    each: usize,
    expected: std::ops::RangeInclusive<usize>,
) {
    let mut targets = TargetTable::default();
    let mut machines = Vec::new();
    for zone in 0..zones {
        for number in 0..each {
            let address = format!("10.{zone}.{}.{}:80", number / 250, number % 250);
            let listed = registration("alpha", &address, &format!("zone-{zone}"));
            machines.push((zone, listed.address.ip()));
            targets.update(format!("t{zone}-{number}").as_str().into(), listed, Timestamp::ZERO);
        }
    }
    let often: Vec<usize> = machines
        .iter()
        .filter(|(_, machine)| watch_wait(*machine, &targets, &BOUNDS) < BOUNDS.contact / 2)
        .map(|(zone, _)| *zone)
        .collect();
    assert!(expected.contains(&often.len()), "{often:?}");
    assert!((0..zones).all(|zone| often.contains(&zone)), "one in each zone: {often:?}");
}
