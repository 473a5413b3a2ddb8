//! The control plane of a node: slot tables, configuration, drains, plans and slot moves between sites.
//!
//! [`ControlNode`] is sans-I/O: the driver passes in frames, platform readings, operators' requests and time as
//! [`ControlInput`] and executes each [`ControlOutput`]. The group of a service at a site replicates a
//! [`state::ServiceState`]; all other state is volatile and is rebuilt after a loss.

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

pub use electorate::{electorate, MAX_ELECTORATE_SIZE, MIN_ELECTORATE_SIZE};
pub use error::DecodeError;
pub use io::{ControlInput, ControlOutput, ControlPayload};
pub use mechanisms::ControlMechanisms;
pub use node::ControlNode;
pub use settings::{ControlSettings, ControlTiming};
