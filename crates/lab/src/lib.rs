//! The `quillhatch-lab` program: stand-ins, load, model checking, simulation, experiments and reports.
//!
//! Use [`command_line::run`] as the binary does. Each module of [`commands`] is one subcommand; the others are what
//! subcommands share. What promises were kept is judged from the records of stand-ins, of emulated back ends and of
//! callers, never from the product's own counters.

pub mod batch;
pub mod bench;
pub mod command_line;
pub mod commands;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod logging;
pub mod plot;
pub mod promises;
pub mod seeds;
pub mod spread;
pub mod table;
