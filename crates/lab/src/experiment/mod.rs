//! Experiments: variants side by side over several seeds, with tables and pictures.
//!
//! [`catalogue::all`] names the experiments, [`run::run`] carries one out for a profile, and [`output::write`] writes its
//! JSON summary, Markdown table and pictures.

pub mod catalogue;
pub mod markdown;
pub mod output;
pub mod pictures;
pub mod run;
pub mod summary;
pub mod timeline;

use quillhatch_simulation::{Mechanism, PolicyKind, Scenario};

/// One way of handling calls in one scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Its name in tables and legends; variants of the same name share a colour.
    pub label: &'static str,
    /// What happens.
    pub scenario: Scenario,
    /// How calls are handled.
    pub policy: PolicyKind,
    /// The mechanism left out.
    pub disabled: Option<Mechanism>,
}

/// Variants that are shown in one chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Its name, also part of file names.
    pub name: String,
    /// The variants; the first is the product as it is.
    pub variants: Vec<Variant>,
}

/// A question that runs can answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Experiment {
    /// The name by which it is run.
    pub name: &'static str,
    /// What it shows.
    pub description: &'static str,
    /// What is compared.
    pub comparisons: Vec<Comparison>,
    /// Whether goodput is also drawn by class, one picture for each comparison.
    pub by_class: bool,
}
