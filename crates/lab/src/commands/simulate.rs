//! `simulate`: runs scenarios on a virtual clock and checks the promises.

#[cfg(test)]
mod tests;

use std::path::PathBuf;

use getopts::Options;
use quillhatch_simulation::{Mechanism, PolicyKind, Profile, Report, RunOptions, Scenario};

use super::output;
use crate::batch;
use crate::command_line::{Arguments, Command, CommandError, Verdict};
use crate::promises;
use crate::seeds::SeedRange;
use crate::spread::{ReachedSpread, Spread};
use crate::table::{percent, time, time_or_never, whole, Table};

/// Runs scenarios over seeds and prints a table.
pub struct Simulate;

/// What to run, as the options say.
struct Selection {
    profiles: Vec<Profile>,
    scenarios: Vec<Scenario>,
    policy: PolicyKind,
    disabled: Option<Mechanism>,
    seeds: SeedRange,
}

impl Command for Simulate {
    fn name(&self) -> &'static str {
        "simulate"
    }

    fn summary(&self) -> &'static str {
        "run scenarios on a virtual clock and check the promises"
    }

    fn operands(&self) -> &'static str {
        "--profile prairie|bajio|all --scenario NAME|all [--policy NAME] [--seed N | --seeds A..B] [--json FILE]"
    }

    fn declare(&self, options: &mut Options) {
        options.optopt("", "profile", "prairie, bajio or all", "NAME");
        options.optopt("", "scenario", "a scenario, or all", "NAME");
        options.optopt("", "policy", "quillhatch, direct or static-limit (default quillhatch)", "NAME");
        options.optopt("", "disable", "leave this mechanism of quillhatch out", "MECHANISM");
        options.optopt("", "seed", "one seed (default 1)", "N");
        options.optopt("", "seeds", "several seeds, both ends included", "A..B");
        options.optopt("", "json", "write the report of a single run, or the list of all reports", "FILE");
        options.optopt("", "jobs", "runs side by side (default one for each core)", "N");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let selection = selection(arguments);
        let json: Option<PathBuf> = arguments.parsed("json", str::parse::<PathBuf>);
        let jobs = arguments.value("jobs", 0);
        arguments.limit_operands(0);
        arguments.check()?;
        let reports = batch::simulate(&batch::thread_pool(jobs)?, &selection.runs())?;
        if let Some(path) = json {
            write_reports(&path, &reports)?;
        }
        print!("{}", render(&reports));
        Ok(verdict(&reports))
    }
}

fn selection(arguments: &Arguments) -> Selection {
    let policy = arguments.parsed("policy", PolicyKind::parse).unwrap_or(PolicyKind::Quillhatch);
    let disabled = arguments.parsed("disable", Mechanism::parse);
    if disabled.is_some() && policy != PolicyKind::Quillhatch {
        arguments.reject("--disable", "goes with --policy quillhatch only");
    }
    Selection {
        profiles: arguments.required("profile", Vec::new(), |text| one_or_all(text, Profile::all(), Profile::parse)),
        scenarios: arguments
            .required("scenario", Vec::new(), |text| one_or_all(text, Scenario::all(), Scenario::parse)),
        policy,
        disabled,
        seeds: seeds(arguments).unwrap_or(SeedRange::single(1)),
    }
}

/// The seeds that `--seed` or `--seeds` name, if one of them is given.
pub(super) fn seeds(arguments: &Arguments) -> Option<SeedRange> {
    if arguments.has("seed") && arguments.has("seeds") {
        arguments.reject("--seed", "goes not with --seeds");
    }
    let single = arguments.parsed("seed", str::parse::<u64>).map(SeedRange::single);
    single.or(arguments.parsed("seeds", str::parse::<SeedRange>))
}

/// The value called `text`, or all values for `all`.
pub(super) fn one_or_all<T: Copy, E>(text: &str, all: &[T], parse: impl Fn(&str) -> Result<T, E>) -> Result<Vec<T>, E> {
    if text == "all" {
        return Ok(all.to_vec());
    }
    parse(text).map(|value| vec![value])
}

impl Selection {
    fn runs(&self) -> Vec<RunOptions> {
        let mut runs = Vec::new();
        for &profile in &self.profiles {
            for &scenario in &self.scenarios {
                let run = |seed| RunOptions { profile, scenario, policy: self.policy, disabled: self.disabled, seed };
                runs.extend(self.seeds.seeds().map(run));
            }
        }
        runs
    }
}

fn write_reports(path: &std::path::Path, reports: &[Report]) -> Result<(), CommandError> {
    match reports {
        [report] => output::write_json(path, report),
        reports => output::write_json(path, &reports),
    }
}

/// The reports of each profile and scenario, in their order.
fn groups(reports: &[Report]) -> impl Iterator<Item = &[Report]> {
    reports.chunk_by(|one, other| one.profile == other.profile && one.scenario == other.scenario)
}

fn render(reports: &[Report]) -> String {
    let mut table = Table::new(&[
        "profile",
        "scenario",
        "runs",
        "broken",
        "whole/s before",
        "during",
        "after",
        "recovery",
        "slowest",
        "never",
        "protected served",
        "wasted",
    ]);
    for group in groups(reports) {
        table.push(row(group));
    }
    let mut text = table.to_text() + "\n";
    text.push_str("Medians over the seeds; protected served is the least of all seeds.\n");
    for report in reports.iter().filter(|report| report.broken_promises() > 0) {
        text.push_str(&render_broken(report));
    }
    text
}

fn row(group: &[Report]) -> Vec<String> {
    let median =
        |measure: fn(&Report) -> f64| Spread::of(group.iter().map(measure)).map_or(0.0, |spread| spread.median);
    let recoveries: Vec<Option<f64>> = group.iter().map(|report| report.recovery_ms).collect();
    let recovery = ReachedSpread::of(&recoveries);
    let served = group.iter().map(|report| report.protected_served_ratio).fold(1.0, f64::min);
    let broken: u64 = group.iter().map(Report::broken_promises).sum();
    vec![
        group[0].profile.clone(),
        group[0].scenario.clone(),
        group.len().to_string(),
        broken.to_string(),
        whole(median(|report| report.goodput_per_s.before)),
        whole(median(|report| report.goodput_per_s.during)),
        whole(median(|report| report.goodput_per_s.after)),
        time_or_never(recovery.median),
        recovery.reached.map_or_else(|| "-".to_owned(), |spread| time(spread.maximum)),
        recovery.never.to_string(),
        percent(served),
        percent(median(|report| report.wasted_work_ratio)),
    ]
}

fn render_broken(report: &Report) -> String {
    let counts = promises::broken([report]);
    let counts: Vec<String> = counts.iter().map(|count| format!("{} {}", count.name, count.count)).collect();
    let Report { profile, scenario, policy, seed, .. } = report;
    format!("broken: {profile} {scenario} {policy} seed {seed}: {}\n", counts.join(", "))
}

/// Only `quillhatch` makes the promises; with or without a mechanism, a broken one is said by the exit status.
fn verdict(reports: &[Report]) -> Verdict {
    let quillhatch = PolicyKind::Quillhatch.to_string();
    let mut promising = reports.iter().filter(|report| report.policy == quillhatch);
    Verdict::of(promising.all(|report| report.broken_promises() == 0))
}
