//! The gate stands before one back end: it queues, limits, asks for claims, and drains.

pub mod io;

pub use io::{AnswerEnd, ClaimResolution, GateInput, GateOutput, LoadHint};
