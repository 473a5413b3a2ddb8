use std::collections::BTreeMap;

use quillhatch_standins::backend::RunRecord;
use quillhatch_standins::load::LoadSummary;
use test_case::test_case;

use super::{Audit, Ledger, LoadKind};
use crate::command_line::Verdict;
use crate::demo::deployment::PLEDGES;

const REQUEST: &str = "d0-1";

/// A pledge that ran `runs` times at each of `backends` back ends.
fn records(runs: u32, backends: usize) -> Vec<BTreeMap<String, RunRecord>> {
    let record = RunRecord { started: runs, finished: runs, path: "/pledges".to_owned() };
    vec![BTreeMap::from([(REQUEST.to_owned(), record)]); backends]
}

fn answered() -> LoadSummary {
    LoadSummary {
        offered: 1,
        whole: 1,
        whole_identities: vec![(PLEDGES, REQUEST.to_owned())],
        ..LoadSummary::default()
    }
}

fn told_not_run() -> LoadSummary {
    LoadSummary { offered: 2, whole: 1, reported_not_run: vec![REQUEST.to_owned()], ..LoadSummary::default() }
}

fn judge(summary: LoadSummary, records: &[BTreeMap<String, RunRecord>]) -> Audit {
    let mut ledger = Ledger::default();
    ledger.add(LoadKind::WithinCapacity, summary);
    ledger.judge(records)
}

#[test]
fn a_pledge_that_ran_once_and_a_refusal_that_did_not_run_are_fine() {
    assert_eq!(judge(answered(), &records(1, 1)).verdict(), Verdict::Holds);
    assert_eq!(judge(told_not_run(), &[]).verdict(), Verdict::Holds);
}

#[test_case(answered(), records(2, 1), |audit| audit.doubled; "two runs at one back end")]
#[test_case(answered(), records(1, 2), |audit| audit.doubled; "a run at each of two back ends")]
#[test_case(answered(), Vec::new(), |audit| audit.lost; "an answer without a run")]
#[test_case(told_not_run(), records(1, 1), |audit| audit.false_not_run; "a run that was denied")]
#[test_case(LoadSummary { broken: 1, ..answered() }, records(1, 1), |audit| audit.broken; "a broken answer")]
#[test_case(LoadSummary { partial: 1, ..answered() }, records(1, 1), |audit| audit.partial; "a partial answer")]
#[test_case(LoadSummary { foreign: 1, ..answered() }, records(1, 1), |audit| audit.foreign; "a foreign answer")]
#[test_case(LoadSummary { offered: 3, ..answered() }, records(1, 1), |audit| audit.unserved_loads; "a load that is refused")]
fn each_planted_violation_is_counted_and_fails_the_demo(
    summary: LoadSummary,
    records: Vec<BTreeMap<String, RunRecord>>,
    count: fn(&Audit) -> u64,
) {
    let audit = judge(summary, &records);
    assert_eq!((count(&audit), audit.verdict()), (1, Verdict::Broken));
}
