//! Judges from callers' answers and back ends' records whether anything was lost or doubled.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_standins::backend::RunRecord;
use quillhatch_standins::load::LoadSummary;
use serde::Serialize;

use super::deployment::{PLEDGES, PLEDGE_PATH};
use crate::command_line::Verdict;
use crate::fleet::Fleet;
use crate::table::Table;

/// What callers and back ends saw. The product's own counters play no part in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests of outside callers.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals by status and outcome, the last one that the caller got.
    pub refused: BTreeMap<String, u64>,
    /// Requests without an answer in time.
    pub timed_out: u64,
    /// Answers that broke off visibly.
    pub broken: u64,
    /// Answers that ended as if complete and were not.
    pub partial: u64,
    /// Answers to other requests.
    pub foreign: u64,
    /// Requests that may run only once and ran more often.
    pub doubled: u64,
    /// Requests that ran although their caller was told that they did not.
    pub false_not_run: u64,
    /// Requests whose caller got a whole answer although no back end ran them.
    pub lost: u64,
    /// Loads within capacity of which less than half was served: a product that refuses everything loses nothing.
    pub unserved_loads: u64,
}

/// What is expected of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// It can be served.
    WithinCapacity,
    /// A part of it must be refused.
    Overload,
}

/// The runs of one request that may run only once, at all back ends together.
type Runs = BTreeMap<String, u32>;

/// Collects what callers saw.
#[derive(Debug, Default)]
pub struct Ledger {
    audit: Audit,
    told_not_run: BTreeSet<String>,
    answered_pledges: BTreeSet<String>,
}

impl Ledger {
    /// Adds what the callers of one load saw.
    pub fn add(&mut self, kind: LoadKind, summary: LoadSummary) {
        let is_unserved = kind == LoadKind::WithinCapacity && summary.whole * 2 < summary.offered;
        self.audit.unserved_loads += u64::from(is_unserved);
        self.audit.requests += summary.offered;
        self.audit.whole += summary.whole;
        for (what, count) in summary.refused {
            *self.audit.refused.entry(what).or_default() += count;
        }
        self.audit.timed_out += summary.timed_out;
        self.audit.broken += summary.broken;
        self.audit.partial += summary.partial;
        self.audit.foreign += summary.foreign;
        self.told_not_run.extend(summary.reported_not_run);
        let pledges = summary.whole_identities.into_iter().filter(|(share, _)| *share == PLEDGES);
        self.answered_pledges.extend(pledges.map(|(_, identity)| identity));
    }

    /// Compares with the records of the fleet's back ends.
    pub fn close(self, fleet: &Fleet) -> Audit {
        let records: Vec<BTreeMap<String, RunRecord>> =
            fleet.backends().map(|backend| backend.behaviour.runs.all()).collect();
        self.judge(&records)
    }

    fn judge(self, records: &[BTreeMap<String, RunRecord>]) -> Audit {
        let pledges = pledge_runs(records);
        let has_run = |identity: &&String| records.iter().any(|record| record.contains_key(*identity));
        let doubled = pledges.values().filter(|runs| **runs > 1).count();
        let false_not_run = self.told_not_run.iter().filter(has_run).count();
        let lost = self.answered_pledges.iter().filter(|identity| !pledges.contains_key(*identity)).count();
        Audit { doubled: doubled as u64, false_not_run: false_not_run as u64, lost: lost as u64, ..self.audit }
    }
}

fn pledge_runs(records: &[BTreeMap<String, RunRecord>]) -> Runs {
    let mut runs = Runs::new();
    let pledges = records.iter().flatten().filter(|(_, record)| record.path.starts_with(PLEDGE_PATH));
    for (identity, record) in pledges {
        *runs.entry(identity.clone()).or_default() += record.started;
    }
    runs
}

impl Audit {
    /// Whether nothing was lost or doubled.
    ///
    /// No machine fails in the demo, so that an answer that broke off is the fault of the planned changes.
    pub fn verdict(&self) -> Verdict {
        let wrong =
            [self.broken, self.partial, self.foreign, self.doubled, self.false_not_run, self.lost, self.unserved_loads];
        Verdict::of(wrong.iter().all(|count| *count == 0))
    }

    /// The closing summary.
    pub fn render(&self) -> String {
        let mut table = Table::new(&["what callers and back ends saw", "requests"]);
        let mut row = |name: &str, count: u64| table.push(vec![name.to_owned(), count.to_string()]);
        row("made", self.requests);
        row("whole answers", self.whole);
        for (what, count) in &self.refused {
            row(&format!("refused: {what}"), *count);
        }
        row("without an answer in time", self.timed_out);
        row("broken answers (must be 0)", self.broken);
        row("partial answers given as whole (must be 0)", self.partial);
        row("answers to another request (must be 0)", self.foreign);
        row("doubled: ran more than once (must be 0)", self.doubled);
        row("told not-run, but ran (must be 0)", self.false_not_run);
        row("lost: answered, but never ran (must be 0)", self.lost);
        row("loads of which less than half was served (must be 0)", self.unserved_loads);
        table.to_text()
    }
}
