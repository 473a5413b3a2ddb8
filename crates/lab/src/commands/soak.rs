//! `soak`: real sidecar processes on loopback under random faults, judged by what callers and targets see.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::path::PathBuf;
use std::time::Duration;

use getopts::Options;
use quillhatch_soak::checks::Guarantee;
use quillhatch_soak::layout::{DEFAULT_TARGETS_PER_SERVICE, MAX_TARGETS_PER_SERVICE};
use quillhatch_soak::links::{serve, LINKS_ARGUMENT};
use quillhatch_soak::run::{make_folder, run, SoakOptions, SoakReport};

use crate::command_line::{Arguments, Command, CommandError, Verdict};

/// The violations of one promise that are printed in full.
const PRINTED: usize = 5;

/// Runs one soak and prints what was broken.
pub struct Soak;

impl Command for Soak {
    fn name(&self) -> &'static str {
        "soak"
    }

    fn summary(&self) -> &'static str {
        "run sidecar processes on loopback under random faults and check the promises"
    }

    fn operands(&self) -> &'static str {
        "[--seed N] [--time SECONDS] [--targets-each N] [--program FILE] [--folder DIR] [--calm] [--outages] [--slow-calls] [--stop-series] [--long-requests] [--restores] [--endless]"
    }

    fn declare(&self, options: &mut Options) {
        options.optopt("", "seed", "the seed of the schedule (default 1)", "N");
        options.optopt("", "time", "how long faults and calm take turns, in seconds (default 60)", "SECONDS");
        options.optopt(
            "",
            "targets-each",
            "the targets of each of three services, each with a process (default 2, most 75)",
            "N",
        );
        options.optopt("", "program", "the quillhatch program (default beside this one)", "FILE");
        options.optopt("", "folder", "where settings and logs are kept (default the system's folder for such)", "DIR");
        options.optflag("", "calm", "only planned work, no faults");
        options.optflag("", "slow-calls", "nested calls and reads of responses are slow while processes stop");
        options.optflag("", "stop-series", "processes stop in overlapping series, under calls of various durations");
        options.optflag("", "long-requests", "callers send long requests, with others behind them");
        options.optflag("", "restores", "the store is restored from backups while processes start again");
        options.optflag("", "endless", "also targets that send bytes without end");
        options.optflag("", "outages", "also long outages of the store, in which targets restart under their ids");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let seed = arguments.value("seed", 1);
        let seconds = arguments.value("time", 60);
        let targets_per_service =
            arguments.value("targets-each", DEFAULT_TARGETS_PER_SERVICE).clamp(2, MAX_TARGETS_PER_SERVICE);
        let parent = arguments.text("folder").map_or_else(std::env::temp_dir, PathBuf::from);
        let program = arguments.text("program").map_or_else(beside_this_program, |text| Ok(PathBuf::from(text)));
        arguments.limit_operands(0);
        arguments.check()?;
        let (has_faults, has_outages) = (!arguments.has("calm"), arguments.has("outages"));
        let has_slow_calls = arguments.has("slow-calls");
        let folder = make_folder(&parent, seed)?;
        println!("seed {seed}, {seconds} s, settings and logs in {}", folder.display());
        let duration = Duration::from_secs(seconds);
        let links = Some(std::env::current_exe()?);
        let options = SoakOptions {
            program: program?,
            links,
            folder,
            seed,
            duration,
            targets_per_service,
            has_faults,
            has_outages,
            has_slow_calls,
            has_stop_series: arguments.has("stop-series"),
            has_long_requests: arguments.has("long-requests"),
            has_restores: arguments.has("restores"),
            has_endless_responses: arguments.has("endless"),
        };
        let report = run(&options)?;
        print(&report);
        Ok(Verdict::of(report.violations.is_empty()))
    }
}

/// Runs links for a soak, which starts it.
pub struct SoakLinks;

impl Command for SoakLinks {
    fn name(&self) -> &'static str {
        LINKS_ARGUMENT
    }

    fn summary(&self) -> &'static str {
        "run links between machines as the lines of the input tell (started by soak)"
    }

    fn operands(&self) -> &'static str {
        ""
    }

    fn declare(&self, _options: &mut Options) {}

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        arguments.limit_operands(0);
        arguments.check()?;
        serve(BufReader::new(std::io::stdin()), std::io::stdout())?;
        Ok(Verdict::of(true))
    }
}

fn beside_this_program() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("quillhatch"))
}

fn print(report: &SoakReport) {
    let faults: Vec<String> = report.faults.iter().map(|(kind, machine)| format!("{kind}@{machine}")).collect();
    println!("faults: {}", faults.join(" "));
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &report.record.calls {
        *ends.entry(format!("{:?}", call.end)).or_default() += 1;
    }
    let record = &report.record;
    let (calls, nested_calls, runs) = (record.calls.len(), record.nested_calls.len(), record.runs.len());
    println!("{calls} calls, {nested_calls} calls of targets, {runs} runs at targets");
    if let Some((machine, bytes)) = record.peak_memory.iter().max_by_key(|(_, bytes)| *bytes) {
        println!("peak memory of a process: {} MiB at machine {machine}", bytes / 1024 / 1024);
    }
    for (end, count) in ends {
        println!("  {count:>7} {end}");
    }
    let mut broken: BTreeMap<Guarantee, Vec<&str>> = BTreeMap::new();
    for violation in &report.violations {
        broken.entry(violation.guarantee).or_default().push(&violation.description);
    }
    for (promise, whats) in &broken {
        println!("BROKEN {promise}: {}", whats.len());
        for what in whats.iter().take(PRINTED) {
            println!("  {what}");
        }
    }
    println!("{} promises broken", broken.len());
}
