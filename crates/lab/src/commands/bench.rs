//! `bench`: measures what nodes cost.

use std::path::PathBuf;
use std::time::Duration;

use getopts::Options;
use indicatif::ProgressBar;

use super::{output, runtime};
use crate::bench::report::BenchReport;
use crate::bench::{hollow, real, Effort};
use crate::command_line::{Arguments, Command, CommandError, Verdict, PROGRAM};

/// Measures real and hollow nodes.
pub struct Bench;

impl Command for Bench {
    fn name(&self) -> &'static str {
        "bench"
    }

    fn summary(&self) -> &'static str {
        "measure what nodes cost: latency, processor time, memory, control traffic"
    }

    fn declare(&self, options: &mut Options) {
        options.optflag("", "quick", "smaller fleets and shorter rounds");
        options.optopt("", "hollow-nodes", "the largest fleet of hollow nodes (default 1000, quick 240)", "N");
        options.optopt("", "json", "write the figures", "FILE");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let json: Option<PathBuf> = arguments.parsed("json", str::parse::<PathBuf>);
        let effort = if arguments.has("quick") { Effort::Quick } else { Effort::Full };
        let hollow_nodes = arguments.value("hollow-nodes", hollow::default_nodes(effort));
        if hollow_nodes < hollow::LEAST_NODES {
            arguments.reject("--hollow-nodes", format!("must be at least {}", hollow::LEAST_NODES));
        }
        arguments.limit_operands(0);
        arguments.check()?;
        let report = measure(effort, hollow_nodes)?;
        if let Some(path) = json {
            output::write_json(&path, &report)?;
        }
        println!("{}", report.render());
        Ok(Verdict::Holds)
    }
}

fn measure(effort: Effort, hollow_nodes: usize) -> Result<BenchReport, CommandError> {
    let load_average_at_start = load_average();
    let spinner = ProgressBar::new_spinner();
    spinner.enable_steady_tick(Duration::from_millis(120));
    let progress = |what: String| spinner.set_message(what);
    let hollow = hollow::measure(hollow_nodes, &progress)?;
    let real = runtime::block_on(async { Ok(real::measure(effort, &progress).await?) })?;
    spinner.finish_and_clear();
    let quick = if effort == Effort::Quick { " --quick" } else { "" };
    Ok(BenchReport {
        command: format!("{PROGRAM} bench{quick} --hollow-nodes {hollow_nodes}"),
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        optimized: !cfg!(debug_assertions),
        load_average_at_start,
        real,
        hollow,
    })
}

/// The machine's one-minute load average; zero where there is none.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
