//! Names the counts of broken promises in a simulation report.

use quillhatch_simulation::Report;

/// The count of one promise's violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseCount {
    /// The report's field.
    pub name: &'static str,
    /// How often the promise was broken.
    pub count: u64,
}

/// All counts of broken promises, zeros included.
pub fn counts(report: &Report) -> [PromiseCount; 9] {
    let of = |name, count| PromiseCount { name, count };
    [
        of("duplicate_runs", report.duplicate_runs),
        of("false_not_run", report.false_not_run),
        of("foreign_or_partial_answers", report.foreign_or_partial_answers),
        of("attempt_bound_violations", report.attempt_bound_violations),
        of("config_reversions", report.config_reversions),
        of("config_never_in_force", report.config_never_in_force),
        of("new_work_after_drain", report.new_work_after_drain),
        of("cut_by_planned_stop", report.cut_by_planned_stop),
        of("protected_refused_first", report.protected_refused_first),
    ]
}

/// The broken promises of several runs by name, those that hold left out.
pub fn broken<'a>(reports: impl IntoIterator<Item = &'a Report>) -> Vec<PromiseCount> {
    let mut totals: Vec<PromiseCount> = Vec::new();
    for count in reports.into_iter().flat_map(counts) {
        match totals.iter_mut().find(|total| total.name == count.name) {
            Some(total) => total.count += count.count,
            None => totals.push(count),
        }
    }
    totals.retain(|total| total.count > 0);
    totals
}
