use quillhatch_simulation::{run, PolicyKind, Profile, Report, RunOptions, Scenario};
use test_case::test_case;

use super::{render, verdict};
use crate::command_line::Verdict;
use crate::promises;

fn report() -> Report {
    let (profile, scenario) = (Profile::Prairie, Scenario::Steady);
    let options = RunOptions { profile, scenario, policy: PolicyKind::Direct, disabled: None, seed: 1 };
    let mut report = run(options).unwrap();
    report.policy = PolicyKind::Quillhatch.to_string();
    for count in fields(&mut report) {
        *count = 0;
    }
    report
}

/// Every count of a broken promise.
fn fields(report: &mut Report) -> [&mut u64; 9] {
    [
        &mut report.duplicate_runs,
        &mut report.false_not_run,
        &mut report.foreign_or_partial_answers,
        &mut report.attempt_bound_violations,
        &mut report.config_reversions,
        &mut report.config_never_in_force,
        &mut report.new_work_after_drain,
        &mut report.cut_by_planned_stop,
        &mut report.protected_refused_first,
    ]
}

#[test]
fn each_planted_violation_is_named_and_fails_the_command() {
    let kept = report();
    assert_eq!(verdict(std::slice::from_ref(&kept)), Verdict::Holds);
    for index in 0..promises::counts(&kept).len() {
        let mut broken = kept.clone();
        *fields(&mut broken)[index] = 3;
        let name = promises::counts(&kept)[index].name;
        assert_eq!(broken.broken_promises(), 3, "{name}");
        let reports = [kept.clone(), broken];
        assert_eq!(verdict(&reports), Verdict::Broken, "{name}");
        let line = format!("broken: prairie steady quillhatch seed 1: {name} 3");
        assert!(render(&reports).contains(&line), "{name}");
    }
}

#[test_case(PolicyKind::Direct)]
#[test_case(PolicyKind::StaticLimit)]
fn other_policies_promise_nothing(policy: PolicyKind) {
    let mut report = report();
    report.policy = policy.to_string();
    report.duplicate_runs = 1;
    assert_eq!(verdict(&[report]), Verdict::Holds);
}

#[test]
fn the_table_has_one_row_for_each_scenario() {
    let first = report();
    let mut second = first.clone();
    second.scenario = Scenario::Surge.to_string();
    let text = render(&[first.clone(), first, second]);
    assert_eq!(text.lines().filter(|line| line.contains("prairie")).count(), 2, "{text}");
}
