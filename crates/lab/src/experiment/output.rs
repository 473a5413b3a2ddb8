//! Writes the files of an experiment: JSON summary, Markdown page and pictures.

use std::path::Path;

use quillhatch_simulation::Profile;

use super::run::ComparisonRuns;
use super::summary::{comparison, ExperimentSummary};
use super::{markdown, pictures, Experiment};
use crate::command_line::{CommandError, PROGRAM};
use crate::commands::output;
use crate::seeds::SeedRange;

/// The name of the JSON summary in the directory of a profile.
pub const SUMMARY_FILE: &str = "summary.json";

/// The name of the Markdown page in the directory of a profile.
pub const TABLE_FILE: &str = "table.md";

/// Sums up the runs of `experiment` for one profile.
pub fn summarize(
    experiment: &Experiment,
    profile: Profile,
    seeds: SeedRange,
    runs: &[ComparisonRuns],
) -> ExperimentSummary {
    ExperimentSummary {
        experiment: experiment.name.to_owned(),
        description: experiment.description.to_owned(),
        command: format!("{PROGRAM} experiment {} --profile {profile} --seeds {seeds} --out DIR", experiment.name),
        profile: profile.to_string(),
        seeds,
        comparisons: runs.iter().map(comparison).collect(),
    }
}

/// Writes everything below `directory`.
///
/// # Errors
///
/// Returns the first file that could not be written, or picture that could not be drawn.
pub fn write(
    experiment: &Experiment,
    summary: &ExperimentSummary,
    runs: &[ComparisonRuns],
    directory: &Path,
) -> Result<(), CommandError> {
    output::create_directory(directory)?;
    output::write_json(&directory.join(SUMMARY_FILE), summary)?;
    output::write_text(&directory.join(TABLE_FILE), &markdown::render(summary))?;
    let title = format!("{}, {}", experiment.name, summary.profile);
    pictures::goodput(&title, runs, directory)?;
    pictures::latency(&title, runs, directory)?;
    pictures::recovery(&title, runs, directory)?;
    if experiment.by_class {
        pictures::goodput_by_class(&title, runs, directory)?;
    }
    Ok(())
}
