//! Carries out many simulation runs on all cores, with a progress bar on a terminal.

use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use quillhatch_simulation::{Report, RunOptions, SimulationFailed};
use rayon::prelude::*;
use rayon::{ThreadPool, ThreadPoolBuildError, ThreadPoolBuilder};

/// A thread pool of `jobs` threads; zero takes one for each core.
///
/// # Errors
///
/// Returns why the threads could not be started.
pub fn thread_pool(jobs: usize) -> Result<ThreadPool, ThreadPoolBuildError> {
    ThreadPoolBuilder::new().num_threads(jobs).build()
}

/// A progress bar over `length` steps; it is drawn on a terminal only.
pub fn progress_bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    let template = "{elapsed_precise} {wide_bar} {pos}/{len} runs, {eta} left";
    match ProgressStyle::with_template(template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

/// Carries out all runs; reports come in the order of `runs`, whichever ended first.
///
/// # Errors
///
/// Returns the first failure of the simulation itself.
pub fn simulate(pool: &ThreadPool, runs: &[RunOptions]) -> Result<Vec<Report>, SimulationFailed> {
    let bar = progress_bar(runs.len());
    let run = |options: &RunOptions| quillhatch_simulation::run(*options);
    let reports = pool.install(|| runs.par_iter().progress_with(bar.clone()).map(run).collect());
    bar.finish_and_clear();
    reports
}
