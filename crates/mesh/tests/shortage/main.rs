//! A service three hops down loses a third of its targets, then two thirds, on a virtual clock over the decisions that run.
//!
//! Roots enter at many entries and make four calls of the scarce service one after the other. Each gate's cut goes to a node in between with each
//! answer, and on to the entry with the answer of the root, as in the program.

mod fleet;

use fleet::{Fleet, Totals};
use test_case::test_case;

/// Targets of the scarce service, with [`fleet::SLOTS`] slots each.
const TARGETS: usize = 6;
/// The share of the whole service that calls of the greatest importance ask for.
const GREATEST: f64 = 0.28;
/// The share that calls of the least importance ask for.
const LEAST: f64 = 0.52;

/// Plays the seconds from `from` to `to` and returns what became of the roots that entered after the first two of them.
fn play(fleet: &mut Fleet, open: usize, seconds: u64) -> Totals {
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
fn what_fits_is_served_whole_and_the_rest_is_refused_where_it_enters(entries: usize) {
    let mut fleet = Fleet::new(entries, TARGETS, [GREATEST, LEAST], 17);
    let calm = play(&mut fleet, TARGETS, 6);
    assert!(calm.refused_share(2) < 0.01, "calm: {calm:?}");
    for (open, capacity) in [(TARGETS * 2 / 3, 2.0 / 3.0), (TARGETS / 3, 1.0 / 3.0)] {
        let short = play(&mut fleet, open, 12);
        assert!(short.served_share(0) > 0.99, "{open} targets, the greatest importance fits: {short:?}");
        assert!(short.wasted_share() < 0.05, "{open} targets: {short:?}");
        let fits = f64::min(GREATEST + LEAST, capacity);
        let served = GREATEST * short.served_share(0) + LEAST * short.served_share(2);
        assert!(served > 0.9 * fits, "{open} targets: {served} of {fits}, {short:?}");
    }
    let after = play(&mut fleet, TARGETS, 6);
    assert!(after.served_share(2) > 0.99, "two seconds after the targets are back: {after:?}");
}
