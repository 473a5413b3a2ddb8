//! Carries out an experiment for one profile.

use quillhatch_simulation::{Profile, Report, RunOptions, SimulationFailed};
use rayon::ThreadPool;

use super::{Comparison, Experiment, Variant};
use crate::batch;
use crate::seeds::SeedRange;

/// The reports of one variant, by seed.
#[derive(Clone, Debug)]
pub struct VariantRuns {
    /// The variant.
    pub variant: Variant,
    /// One report for each seed.
    pub reports: Vec<Report>,
}

/// The runs of one comparison.
#[derive(Clone, Debug)]
pub struct ComparisonRuns {
    /// Its name.
    pub name: String,
    /// Its variants, in the order of the experiment.
    pub variants: Vec<VariantRuns>,
}

/// Carries out all runs of `experiment` for `profile`.
///
/// # Errors
///
/// Returns the first failure of the simulation itself.
pub fn run(
    pool: &ThreadPool,
    experiment: &Experiment,
    profile: Profile,
    seeds: SeedRange,
) -> Result<Vec<ComparisonRuns>, SimulationFailed> {
    let variants = experiment.comparisons.iter().flat_map(|comparison| &comparison.variants);
    let mut options: Vec<RunOptions> = Vec::new();
    for variant in variants {
        // Variants that stand in several comparisons run once.
        let new = variant_options(variant, profile, seeds).into_iter().filter(|run| !options.contains(run));
        options.extend(new.collect::<Vec<_>>());
    }
    let reports = batch::simulate(pool, &options)?;
    let report = |run: &RunOptions| {
        let position = options.iter().position(|option| option == run)?;
        reports.get(position).cloned()
    };
    let variant_runs = |variant: &Variant| VariantRuns {
        variant: *variant,
        reports: variant_options(variant, profile, seeds).iter().filter_map(report).collect(),
    };
    let comparison_runs = |comparison: &Comparison| ComparisonRuns {
        name: comparison.name.clone(),
        variants: comparison.variants.iter().map(variant_runs).collect(),
    };
    Ok(experiment.comparisons.iter().map(comparison_runs).collect())
}

fn variant_options(variant: &Variant, profile: Profile, seeds: SeedRange) -> Vec<RunOptions> {
    let Variant { scenario, policy, disabled, .. } = *variant;
    seeds.seeds().map(|seed| RunOptions { profile, scenario, policy, disabled, seed }).collect()
}
