use quillhatch_types::Priority;
use test_case::test_case;

use super::{is_whole_answer, AnswerPart, CallNumber, Record, RequestTag};

const TAG: RequestTag = RequestTag(7);
const FOREIGN: RequestTag = RequestTag(8);

fn part(tag: RequestTag, version: u32, from: u64, to: u64) -> AnswerPart {
    AnswerPart { tag, version, from, to }
}

#[test_case(&[part(TAG, 1, 0, 100)], true; "in one piece")]
#[test_case(&[part(TAG, 1, 0, 40), part(TAG, 1, 40, 100)], true; "resumed")]
#[test_case(&[], false; "nothing")]
#[test_case(&[part(TAG, 1, 0, 99)], false; "one byte short")]
#[test_case(&[part(TAG, 1, 0, 101)], false; "too long")]
#[test_case(&[part(FOREIGN, 1, 0, 100)], false; "of another caller")]
#[test_case(&[part(TAG, 1, 0, 40), part(FOREIGN, 1, 40, 100)], false; "ending with another caller's")]
#[test_case(&[part(TAG, 1, 0, 40), part(TAG, 2, 40, 100)], false; "of two versions")]
#[test_case(&[part(TAG, 1, 0, 40), part(TAG, 1, 41, 100)], false; "with a gap")]
#[test_case(&[part(TAG, 1, 0, 40), part(TAG, 1, 39, 100)], false; "with an overlap")]
fn whole_answers(parts: &[AnswerPart], expected: bool) {
    assert_eq!(is_whole_answer(TAG, 100, parts), expected);
}

#[test]
fn a_second_run_counts_only_if_the_request_may_run_once() {
    let mut record = Record::default();
    record.run_started(None, TAG, true);
    record.run_started(None, TAG, true);
    record.run_started(None, FOREIGN, false);
    assert_eq!(record.duplicate_runs, 0);
    record.run_started(None, FOREIGN, false);
    record.run_started(None, FOREIGN, false);
    assert_eq!(record.duplicate_runs, 2);
}

#[test]
fn a_call_told_not_run_counts_if_a_back_end_saw_it_before_or_after() {
    let mut record = Record::default();
    record.told_not_run(CallNumber(1));
    record.told_not_run(CallNumber(2));
    record.told_not_run(CallNumber(3));
    assert_eq!(record.false_not_run(), 0);
    record.seen(CallNumber(2));
    assert_eq!(record.false_not_run(), 1);
}

#[test]
fn attempts_are_bounded_by_first_tries_and_budget() {
    let mut record = Record::default();
    let tree = record.tree_started(2);
    record.called(tree);
    record.called(tree);
    for _ in 0..4 {
        record.attempted(tree);
    }
    assert_eq!(record.attempt_bound_violations(), 0);
    record.attempted(tree);
    assert_eq!(record.attempt_bound_violations(), 1);
    assert_eq!(record.maximum_attempts(), 5);
}

#[test]
fn work_is_wasted_if_any_answer_above_it_went_unused() {
    let mut record = Record::default();
    let used = record.run_started(None, TAG, true);
    let below_used = record.run_started(Some(used), TAG, true);
    let unused = record.run_started(None, FOREIGN, true);
    let below_unused = record.run_started(Some(unused), FOREIGN, true);
    for run in [used, below_used, unused, below_unused] {
        record.worked(run, 100);
    }
    record.accepted(used);
    record.accepted(below_used);
    record.accepted(below_unused);
    assert_eq!(record.wasted_work_ratio(), 0.5);
}

#[test]
fn only_the_first_whole_answer_counts() {
    let mut record = Record::default();
    let request = record.offered("pledge", Priority::Protected, 0);
    record.offered("pledge", Priority::Protected, 0);
    record.completed_whole(request, 250_000);
    record.completed_whole(request, 350_000);
    assert_eq!(record.whole_count(), 1);
    assert_eq!(record.protected_served_ratio(), 0.5);
    assert_eq!(record.goodput["pledge"], vec![0, 0, 1]);
}
