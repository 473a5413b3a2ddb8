//! Cuts of the order of importance, and who is refused by them.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission_level::{AdmissionLevel, RouteAdmissionLevels, MIN_ADMITTED_SHARE};
use quillhatch_types::Timestamp;

#[test]
fn the_least_important_are_refused_first_and_none_starves() {
    let share = |cut, priority| AdmissionLevel::from_priority_share(cut).admitted_share(priority, 3);
    assert!((share(1.0, 2) - 1.0).abs() < f64::EPSILON);
    assert!((share(0.5, 0) - 1.0).abs() < 1e-9, "the most important pass whole");
    assert!((0.4..0.6).contains(&share(0.5, 1)), "{}", share(0.5, 1));
    assert!((share(0.5, 2) - MIN_ADMITTED_SHARE).abs() < 1e-9);
    assert!((share(0.0, 0) - MIN_ADMITTED_SHARE).abs() < 1e-9);
}

#[test]
fn a_cut_without_reports_returns_to_open() {
    let route: Arc<str> = Arc::from("read");
    let mut cuts = RouteAdmissionLevels::default();
    for step in 0..50 {
        cuts.record_report(&route, AdmissionLevel::from_priority_share(0.2), milliseconds(step));
    }
    let share = |now| cuts.level("read", milliseconds(now)).priority_share();
    assert!(share(50) < 0.25);
    assert!(share(2_100) > 0.55, "{}", share(2_100));
    assert!(share(12_000) > 0.99);
    assert!(cuts.level("other", milliseconds(50)).admits_all());
}

/// A cut passes three nodes, each of which hears of it some times a second, and the last one once in 0.7 s.
#[test]
fn a_shortage_reaches_where_calls_enter_undiminished_though_reports_are_few() {
    let route: Arc<str> = Arc::from("deep");
    let mut hops = vec![RouteAdmissionLevels::default(); 3];
    for report in 0..40 {
        let now = milliseconds(report * 125);
        let mut cut = AdmissionLevel::from_priority_share(0.1);
        for (number, hop) in hops.iter_mut().enumerate() {
            if number < 2 || report % 6 == 0 {
                hop.record_report(&route, cut, now);
            }
            cut = hop.level(&route, now + Duration::from_millis(120));
        }
    }
    let entry = hops[2].level(&route, milliseconds(40 * 125)).priority_share();
    assert!(entry < 0.15, "{entry}");
    assert!(hops[2].level(&route, Timestamp::ZERO).priority_share() < 1.0);
}
