//! Reads the settings file and the platform configuration document and reports every finding with its place.
//!
//! Use [`node_settings`] for the file that a node is started with, [`configuration`] for the document that the platform
//! hands out, and [`presentation`] to show what is wrong with either. Nothing here opens a file: callers hand in the text
//! together with the name under which findings speak of it.

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
