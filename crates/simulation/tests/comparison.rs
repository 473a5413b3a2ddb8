//! The comparison policies, and the reproducibility of a run.

use quillhatch_simulation::{run, PolicyKind, Profile, Report, RunOptions, Scenario};
use test_case::test_case;

fn report(profile: Profile, scenario: Scenario, policy: PolicyKind, seed: u64) -> Report {
    let options = RunOptions { profile, scenario, policy, disabled: None, seed };
    run(options).expect("the run reaches its end")
}

fn bytes(report: &Report) -> String {
    serde_json::to_string(report).expect("a report can be written as JSON")
}

#[test_case(Profile::Prairie)]
#[test_case(Profile::Bajio)]
fn the_same_seed_gives_the_same_bytes(profile: Profile) {
    let once = report(profile, Scenario::Storm, PolicyKind::Direct, 5);
    let again = report(profile, Scenario::Storm, PolicyKind::Direct, 5);
    assert_eq!(bytes(&once), bytes(&again));
    let other = report(profile, Scenario::Storm, PolicyKind::Direct, 6);
    assert_ne!(bytes(&once), bytes(&other));
}

#[test_case(Profile::Prairie)]
#[test_case(Profile::Bajio)]
fn direct_serves_the_normal_load_whole(profile: Profile) {
    let report = report(profile, Scenario::Steady, PolicyKind::Direct, 3);
    assert!(report.completed_whole as f64 >= 0.99 * report.offered as f64);
    assert_eq!(report.recovery_ms, Some(0.0));
}

#[test_case(Profile::Prairie)]
#[test_case(Profile::Bajio)]
fn the_collapse_of_direct_outlasts_its_causes(profile: Profile) {
    let report = report(profile, Scenario::Metastable, PolicyKind::Direct, 3);
    assert_eq!(report.recovery_ms, None);
    assert!(report.goodput_per_s.after < 0.5 * report.goodput_per_s.before);
    assert!(report.wasted_work_ratio > 0.3);
    assert!(report.attempt_bound_violations > 0);
    assert!(report.duplicate_runs > 0);
}

#[test]
fn direct_sends_work_to_a_leaving_back_end_and_cuts_calls_at_a_stop() {
    let retired = report(Profile::Bajio, Scenario::Retire, PolicyKind::Direct, 3);
    assert!(retired.new_work_after_drain > 0);
    let stopped = report(Profile::Prairie, Scenario::Stop, PolicyKind::Direct, 3);
    assert!(stopped.cut_by_planned_stop > 0);
}

#[test]
fn static_limit_refuses_protected_calls_before_others() {
    let report = report(Profile::Bajio, Scenario::Surge, PolicyKind::StaticLimit, 3);
    assert!(report.protected_refused_first > 0);
}
