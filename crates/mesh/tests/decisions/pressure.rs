//! Levels, and who is refused by them.

use std::sync::Arc;
use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission::{admission_probability, Entrant};
use quillhatch_mesh::gate::Load;
use quillhatch_mesh::pressure::{Pressure, RouteLevels};
use quillhatch_types::Timestamp;

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
