//! Decisions about calls: admission, limits, retries, routing, deadlines.
//!
//! [`edge`] accepts calls from callers and chooses the target of each attempt; [`gate`] sits in front of a back end and
//! decides when an attempt runs. Both are state machines that do no I/O; [`wire`] encodes the messages between them.

pub mod edge;
pub mod gate;
pub mod wire;
