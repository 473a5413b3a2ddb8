//! Decisions about calls: admission, limits, retries, routing, deadlines.
//!
//! [`edge`] takes a call from a caller and chooses where each attempt goes; [`gate`] stands before a back end and decides
//! when an attempt runs. Both are state machines without input or output.

pub mod edge;
pub mod gate;
pub mod wire;
