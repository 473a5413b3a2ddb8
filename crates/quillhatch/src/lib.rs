//! The quillhatch program: listeners, drivers and the command line.
//!
//! Use [`start`](running::start) to run a node inside a process, as the lab does; the binary `quillhatch` is a thin shell
//! around [`command_line`]. Every decision is taken behind [`decisions::Decisions`]; this crate moves bytes, keeps time and
//! carries decisions out.

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
