//! The nodes' joint decisions: slot tables, configuration, drains, plans and moves between sites.
//!
//! [`ControlNode`] is sans-I/O: the driver hands in frames, platform readings, operators' requests and time as
//! [`ControlInput`] and carries out each [`ControlOutput`]. Inside, a [`state::ServiceState`] per service is what the
//! service's group at a site agrees on; everything else can be lost and is found out again.

mod convert;
mod electorate;
#[cfg(test)]
mod electorate_tests;
mod error;
mod host;
pub mod io;
mod mechanisms;
pub mod message;
mod node;
pub mod operator;
mod settings;
pub mod state;

pub use electorate::{electorate, LARGEST_ELECTORATE, SMALLEST_ELECTORATE};
pub use error::DecodeError;
pub use io::{ControlInput, ControlOutput, ControlPayload};
pub use mechanisms::ControlMechanisms;
pub use node::ControlNode;
pub use settings::{ControlSettings, ControlTiming};
