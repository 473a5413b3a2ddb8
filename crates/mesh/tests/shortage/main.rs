//! A service three hops down loses a third of its targets, then two thirds. The simulation runs the decision code on a
//! virtual clock.
//!
//! Roots enter at many entries and make four calls of the bottleneck service one after the other. Each gate's admission
//! level goes to a node in between with each response, and on to the entry with the response to the root, as in the
//! sidecar.

mod fleet;

use fleet::{Fleet, Totals};
use test_case::test_case;

/// Targets of the bottleneck service, with [`fleet::SLOTS`] slots each.
const TARGETS: usize = 6;
/// The demand of calls of the highest priority, as a share of the capacity of the whole service.
const HIGH_PRIORITY_DEMAND: f64 = 0.28;
/// The demand of calls of the lowest priority, as a share of that capacity.
const LOW_PRIORITY_DEMAND: f64 = 0.52;

/// Runs the fleet for some seconds with `open` targets and returns the outcomes of the roots that entered after the
/// first two seconds.
fn run(fleet: &mut Fleet, open: usize, seconds: u64) -> Totals {
    fleet.open_targets(open);
    fleet.run(2_000);
    fleet.totals = Totals::default();
    fleet.run(seconds * 1_000 - 2_000);
    fleet.totals.clone()
}

#[test_case(4; "at four entries")]
#[test_case(15; "at fifteen entries")]
#[test_case(95; "at ninety-five entries")]
#[test_case(300; "at three hundred entries")]
fn demand_that_fits_is_served_and_the_rest_is_refused_at_entry(entries: usize) {
    let mut fleet = Fleet::new(entries, TARGETS, [HIGH_PRIORITY_DEMAND, LOW_PRIORITY_DEMAND], 17);
    let normal = run(&mut fleet, TARGETS, 6);
    assert!(normal.refused_share(2) < 0.01, "normal: {normal:?}");
    for (open, capacity) in [(TARGETS * 2 / 3, 2.0 / 3.0), (TARGETS / 3, 1.0 / 3.0)] {
        let shortage = run(&mut fleet, open, 12);
        assert!(shortage.served_share(0) > 0.99, "{open} targets, the highest priority fits: {shortage:?}");
        assert!(shortage.wasted_share() < 0.05, "{open} targets: {shortage:?}");
        let fits = f64::min(HIGH_PRIORITY_DEMAND + LOW_PRIORITY_DEMAND, capacity);
        let served = HIGH_PRIORITY_DEMAND * shortage.served_share(0) + LOW_PRIORITY_DEMAND * shortage.served_share(2);
        assert!(served > 0.9 * fits, "{open} targets: {served} of {fits}, {shortage:?}");
    }
    let after = run(&mut fleet, TARGETS, 6);
    assert!(after.served_share(2) > 0.99, "two seconds after the targets are back: {after:?}");
}
