//! Admission levels by priority, and the calls that they refuse.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission_level::{AdmissionLevel, RouteAdmissionLevels, MIN_ADMITTED_SHARE};
use quillhatch_types::Timestamp;

#[test]
fn the_lowest_priorities_are_refused_first_and_none_starves() {
    let share = |level, priority| AdmissionLevel::from_priority_share(level).admitted_share(priority, 3);
    assert!((share(1.0, 2) - 1.0).abs() < f64::EPSILON);
    assert!((share(0.5, 0) - 1.0).abs() < 1e-9, "all calls of the highest priority are admitted");
    assert!((0.4..0.6).contains(&share(0.5, 1)), "{}", share(0.5, 1));
    assert!((share(0.5, 2) - MIN_ADMITTED_SHARE).abs() < 1e-9);
    assert!((share(0.0, 0) - MIN_ADMITTED_SHARE).abs() < 1e-9);
}

#[test]
fn a_level_without_reports_rises_to_full() {
    let route: Arc<str> = Arc::from("read");
    let mut levels = RouteAdmissionLevels::default();
    for step in 0..50 {
        levels.record_report(&route, AdmissionLevel::from_priority_share(0.2), milliseconds(step));
    }
    let share = |now| levels.level("read", milliseconds(now)).priority_share();
    assert!(share(50) < 0.25);
    assert!(share(2_100) > 0.55, "{}", share(2_100));
    assert!(share(12_000) > 0.99);
    assert!(levels.level("other", milliseconds(50)).admits_all());
}

/// A level passes three nodes: the first two receive several reports a second, and the last one a report each 0.75 s.
#[test]
fn a_low_level_reaches_the_entry_unchanged_though_reports_are_rare() {
    let route: Arc<str> = Arc::from("deep");
    let mut hops = vec![RouteAdmissionLevels::default(); 3];
    for report in 0..40 {
        let now = milliseconds(report * 125);
        let mut level = AdmissionLevel::from_priority_share(0.1);
        for (number, hop) in hops.iter_mut().enumerate() {
            if number < 2 || report % 6 == 0 {
                hop.record_report(&route, level, now);
            }
            level = hop.level(&route, now + Duration::from_millis(120));
        }
    }
    let entry = hops[2].level(&route, milliseconds(40 * 125)).priority_share();
    assert!(entry < 0.15, "{entry}");
    assert!(hops[2].level(&route, Timestamp::ZERO).priority_share() < 1.0);
}
