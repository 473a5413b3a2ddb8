//! `experiment`: variants side by side over several seeds, with tables and pictures.

use std::path::PathBuf;

use getopts::Options;
use quillhatch_simulation::Profile;

use super::simulate::{one_or_all, seeds};
use crate::batch;
use crate::command_line::{Arguments, Command, CommandError, Verdict};
use crate::experiment::{catalogue, markdown, output, run, Experiment as Definition};
use crate::seeds::{SeedRange, REPORTING_SEEDS, TUNING_SEEDS};

/// Runs an experiment and writes its report.
pub struct Experiment;

impl Command for Experiment {
    fn name(&self) -> &'static str {
        "experiment"
    }

    fn summary(&self) -> &'static str {
        "compare policies or mechanisms over several seeds; write tables and pictures"
    }

    fn operands(&self) -> &'static str {
        "NAME --out DIR [--profile prairie|bajio|all] [--seeds A..B | --tuning] | --list"
    }

    fn declare(&self, options: &mut Options) {
        options.optflag("", "list", "list the experiments");
        options.optopt("", "out", "the directory for JSON, Markdown, SVG and PNG files", "DIR");
        options.optopt("", "profile", "prairie, bajio or all (default all)", "NAME");
        options.optopt("", "seed", "one seed", "N");
        options.optopt("", "seeds", &format!("seeds, both ends included (default {REPORTING_SEEDS})"), "A..B");
        options.optflag("", "tuning", &format!("use the seeds for tuning, {TUNING_SEEDS}"));
        options.optopt("", "jobs", "runs side by side (default one for each core)", "N");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        if arguments.has("list") {
            print_list();
            return Ok(Verdict::Holds);
        }
        let experiment = chosen_experiment(arguments);
        let directory = arguments.required("out", PathBuf::new(), str::parse::<PathBuf>);
        let profiles = arguments.parsed("profile", |text| one_or_all(text, Profile::all(), Profile::parse));
        let seeds = chosen_seeds(arguments);
        let jobs = arguments.value("jobs", 0);
        arguments.limit_operands(1);
        arguments.check()?;
        let Some(experiment) = experiment else { return Ok(Verdict::Broken) };
        let pool = batch::thread_pool(jobs)?;
        for profile in profiles.unwrap_or_else(|| Profile::all().to_vec()) {
            let runs = run::run(&pool, &experiment, profile, seeds)?;
            let summary = output::summarize(&experiment, profile, seeds, &runs);
            let directory = directory.join(experiment.name).join(profile.to_string());
            output::write(&experiment, &summary, &runs, &directory)?;
            println!("{}\nwritten to {}\n", markdown::render(&summary), directory.display());
        }
        Ok(Verdict::Holds)
    }
}

fn print_list() {
    for experiment in catalogue::all() {
        println!("{:12} {}", experiment.name, experiment.description);
    }
}

fn chosen_experiment(arguments: &Arguments) -> Option<Definition> {
    let names = || catalogue::all().iter().map(|experiment| experiment.name).collect::<Vec<_>>().join(", ");
    let Some(name) = arguments.operands().first() else {
        arguments.reject("NAME", format!("is required; known are {}", names()));
        return None;
    };
    let found = catalogue::find(name);
    if found.is_none() {
        arguments.reject(name, format!("no such experiment; known are {}", names()));
    }
    found
}

fn chosen_seeds(arguments: &Arguments) -> SeedRange {
    let chosen = seeds(arguments);
    if arguments.has("tuning") && chosen.is_some() {
        arguments.reject("--tuning", "goes not with --seed or --seeds");
    }
    let default = if arguments.has("tuning") { TUNING_SEEDS } else { REPORTING_SEEDS };
    chosen.unwrap_or(default)
}
