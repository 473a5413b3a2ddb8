//! The quillhatch program: listeners, drivers and the command line.
//!
//! Use [`start`](running::start) to run a node inside another process, as the lab does; the binary `quillhatch` is a
//! thin wrapper around [`command_line`]. All decisions are made behind the trait [`decisions::Decisions`], without I/O;
//! this crate does the I/O, provides the time and executes the decisions.

pub mod backend_health;
pub mod call_header;
pub mod clients;
pub mod command_line;
pub mod decisions;
pub mod driver;
pub mod edge;
pub mod gate;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod running;

pub use running::{start, RunningNode, StartError};
