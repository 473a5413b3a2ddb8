//! Parses and validates the settings file of a node and the configuration document of the platform.
//!
//! Parsing doesn't stop at the first mistake: every error and warning is returned as a finding with its line and
//! column.
//!
//! Use [`node_settings`] for the file that a node is started with, [`configuration`] for the document that the platform
//! serves, and [`presentation`] to print the findings. This crate opens no files: callers pass the text and the source
//! name that findings refer to, such as the path of the file.

pub mod configuration;
pub mod node_settings;
pub mod presentation;
pub mod text;
pub mod units;

mod document;
mod report;
mod section;
mod suggestion;

pub use configuration::{parse_configuration, render_configuration};
pub use node_settings::{parse_node_settings, FlagOverrides, NodeSettings};
