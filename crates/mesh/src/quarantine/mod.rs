//! Requests that crash the targets that run them.
//!
//! Each call arrives with an id of its own, so what a request did to a target is remembered under its [`RequestSignature`].

mod runs;
mod signature;

pub use runs::{RunId, RunTracker, TargetEnd};
pub use signature::{RequestParts, RequestSignature, SignatureKey};
