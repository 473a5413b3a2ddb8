//! The whole node without input and output: edge, gate, claims and control behind one step function.
//!
//! The program drives a [`Node`] with sockets and a monotonic clock, the simulation with a virtual clock. The parts know
//! nothing of each other; this crate routes what one puts out to the input of another.

mod claims;
mod inbox;
mod io;
mod mechanisms;
mod node;
mod options;
mod refusals;
mod route;
mod statistics;

pub use io::{NodeEvent, NodeInput, NodeOutput};
pub use mechanisms::{NodeMechanisms, UnknownMechanism};
pub use node::Node;
pub use options::NodeOptions;
pub use refusals::RefusalEntry;
pub use statistics::Statistic;
