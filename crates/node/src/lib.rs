//! The node without I/O: edge, gate, claims, membership and control behind one step function.
//!
//! The program drives a [`Node`] with sockets and a monotonic clock, the simulation with a virtual clock. The parts do not
//! depend on each other; this crate routes the outputs of one part to the inputs of another.

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
