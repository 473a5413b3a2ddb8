//! The edge takes a call from a caller, chooses a target for each attempt and decides on the final answer.

pub mod io;

pub use io::{Answer, AttemptResult, BodyState, CallArrival, EdgeInput, EdgeOutput, StrongValidator};
