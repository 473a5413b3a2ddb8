//! Checks that no key runs twice on a simulated network that loses, duplicates and reorders messages, with pauses,
//! restarts, changes of owners and voters, and moves of a slot between sites. The checks use only what back ends and
//! callers observe.

mod support;

use std::time::Duration;

use proptest::test_runner::RngSeed;
use proptest::{prop_assert_eq, proptest};
use quillhatch_claims::ClaimMechanisms;
use test_case::test_case;

use support::{run_seeds, Faults, Report, World};

/// Longer than a simulation run, so that no claim expires during it.
const RETENTION_BEYOND_RUN: Duration = Duration::from_secs(60);

fn frequent_faults(retention: Duration) -> Faults {
    Faults {
        loss: 0.1,
        duplication: 0.1,
        pause: 0.15,
        restart: 0.1,
        takeover: 0.2,
        site_move: 0.1,
        abandon: 0.1,
        retention,
    }
}

fn violations(report: &Report) -> (usize, usize, usize) {
    (report.duplicate_runs, report.false_not_run, report.foreign_replays)
}

fn config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..proptest::test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_key_runs_twice(
        seed in 0u64..1_000_000,
        loss in 0.0..0.3,
        duplication in 0.0..0.3,
        pause in 0.0..0.4,
        restart in 0.0..0.2,
        takeover in 0.0..0.4,
        site_move in 0.0..0.2,
        retention_ms in 200u64..3000,
    ) {
        let retention = Duration::from_millis(retention_ms);
        let faults = Faults { loss, duplication, pause, restart, takeover, site_move, abandon: 0.1, retention };
        let report = World::new(seed, faults, ClaimMechanisms::default()).run();
        prop_assert_eq!(violations(&report), (0, 0, 0));
    }
}

#[test]
fn the_simulation_covers_runs_replays_moves_and_voter_changes() {
    let report = run_seeds(0..40, frequent_faults(RETENTION_BEYOND_RUN), ClaimMechanisms::default());
    assert_eq!(violations(&report), (0, 0, 0), "{report:?}");
    assert!(report.runs > 40 && report.replays > 100 && report.moves > 20 && report.voter_changes > 20, "{report:?}");
}

#[test_case("majority")]
#[test_case("refuse_repeats")]
#[test_case("epoch_fence")]
#[test_case("takeover_collect")]
#[test_case("keep_claimed")]
#[test_case("incarnation_check")]
#[test_case("voter_overlap")]
#[test_case("export_seal")]
#[test_case("import_record")]
fn without_the_mechanism_a_key_runs_twice(mechanism: &str) {
    let mechanisms = ClaimMechanisms::without(mechanism).expect("the mechanism exists");
    let report = run_seeds(0..400, frequent_faults(RETENTION_BEYOND_RUN), mechanisms);
    assert!(report.duplicate_runs > 0, "{report:?}");
}

#[test]
fn without_recording_claims_on_new_voters_a_key_runs_twice() {
    // Heavy message loss leaves claims on the smallest majority, and restarts then remove them from some of its voters.
    let faults = Faults {
        loss: 0.3,
        restart: 0.5,
        pause: 0.0,
        site_move: 0.0,
        abandon: 0.9,
        ..frequent_faults(RETENTION_BEYOND_RUN)
    };
    let mechanisms = ClaimMechanisms::without("voter_settle").expect("the mechanism exists");
    let report = run_seeds(0..400, faults, mechanisms);
    assert!(report.duplicate_runs > 0, "{report:?}");
    let report = run_seeds(0..400, faults, ClaimMechanisms::default());
    assert_eq!(violations(&report), (0, 0, 0), "{report:?}");
}

#[test]
fn without_the_deadline_check_at_dispatch_a_key_runs_twice() {
    let mechanisms = ClaimMechanisms::without("dispatch_deadline").expect("the mechanism exists");
    let retention = Duration::from_millis(100);
    let report = run_seeds(0..400, frequent_faults(retention), mechanisms);
    assert!(report.duplicate_runs > 0, "{report:?}");
    let report = run_seeds(0..400, frequent_faults(retention), ClaimMechanisms::default());
    assert_eq!(violations(&report), (0, 0, 0), "{report:?}");
}
