//! Measures what nodes cost: latency, processor time, memory and control traffic.
//!
//! [`real`] runs nodes with their sockets on loopback beside direct calls in the same run; [`hollow`] runs the decision code
//! of many nodes on a virtual clock, to find how costs grow with the fleet. [`report`] holds and renders the figures.

pub mod hollow;
pub mod process;
pub mod real;
pub mod report;
pub mod slope;

/// How thorough to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Seconds, for a look.
    Quick,
    /// Minutes, for figures.
    Full,
}
