//! The subcommands, one module each.

pub mod backend;
pub mod bench;
pub mod demo;
pub mod experiment;
pub mod load;
pub mod model;
pub mod platform;
pub mod simulate;
pub mod soak;

pub mod output;
mod runtime;

use crate::command_line::Command;

/// All subcommands, in the order of the help.
pub fn all() -> &'static [&'static dyn Command] {
    &[
        &demo::Demo,
        &simulate::Simulate,
        &experiment::Experiment,
        &model::Model,
        &platform::Platform,
        &backend::Backend,
        &load::Load,
        &bench::Bench,
        &soak::Soak,
        &soak::SoakLinks,
    ]
}
