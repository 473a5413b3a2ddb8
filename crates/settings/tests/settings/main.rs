//! Tests of the crate's public interface.

mod configuration;
mod documentation;
mod node_settings;
mod properties;
mod support;
mod units;
