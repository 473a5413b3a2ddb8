//! Discrete-event simulation of callers, back ends and nodes under faults.
//!
//! Use [`run`] for one run: it emulates a whole deployment at two sites on a virtual clock and gives a [`Report`] of what
//! callers and back ends saw. The same [`RunOptions`] give the same report, byte for byte. The code that handles calls is
//! chosen by [`PolicyKind`]; `quillhatch` is the product's own decision code.

mod engine;
mod options;
pub mod policy;
mod profile;
mod random;
pub mod record;
mod report;
mod scenario;
mod timeline;
mod world;

use derive_more::{Display, Error};
use quillhatch_types::DeploymentName;

pub use options::{Mechanism, PolicyKind, Profile, RunOptions, Scenario, UnknownName};
pub use report::{Goodput, LatencyPercentiles, Report, ReportEvent};

use timeline::RUN_END;
use world::World;

/// A run could not be carried out.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the simulation failed: {message}")]
pub struct SimulationFailed {
    /// What the simulation engine said.
    pub message: String,
}

/// Carries out one run.
///
/// # Errors
///
/// Returns what the simulation engine says if the run could not be carried to its end.
pub fn run(options: RunOptions) -> Result<Report, SimulationFailed> {
    let deployment = profile::Deployment::of(options.profile).name;
    let deployment =
        DeploymentName::new(deployment).map_err(|error| SimulationFailed { message: error.to_string() })?;
    run_with(options, policy::factory(options.policy, &deployment, options.disabled))
}

/// Carries out one run with nodes of the caller's own making, in place of those of `options.policy`.
///
/// # Errors
///
/// Returns what the simulation engine says if the run could not be carried to its end.
pub fn run_with(options: RunOptions, factory: policy::PolicyFactory) -> Result<Report, SimulationFailed> {
    let world = World::new(options, factory);
    let faults = scenario::faults(&options, world.deployment());
    let finished = engine::run(world, |world, agenda| world.begin(faults, agenda), RUN_END);
    let (mut world, _events) = finished.map_err(|error| SimulationFailed { message: error.to_string() })?;
    world.finish(RUN_END);
    Ok(report::report(&options, &world.record))
}
