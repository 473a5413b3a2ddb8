//! The gate stands before one back end: it queues, limits, asks for claims, and drains.
//!
//! Use [`Gate`] wherever attempts of calls reach a back end. The driver hands in a [`GateInput`] with the time of its
//! monotonic clock, carries out each [`GateOutput`], and steps with [`GateInput::Tick`] at [`Gate::next_wake`].
//!
//! An attempt passes through three phases: *waiting* in a queue ([`queue`]), *claiming* while the claim of a call that
//! may not be repeated is recorded, and *running* at the back end. A slot of the concurrency limit ([`limit`]) is held
//! from the end of waiting until the back end's part has ended.

mod admission;
mod arrival;
mod attempt;
mod classes;
mod cold_start;
mod hint;
pub mod io;
mod large_answers;
pub mod limit;
mod machine;
pub mod queue;
mod recent;
mod running;
mod service_time;
mod settings;
mod slots;
mod tokens;

#[cfg(test)]
mod tests;

pub use io::{AnswerEnd, ClaimResolution, GateInput, GateOutput, LoadHint};
pub use machine::Gate;
pub use settings::{GateMechanisms, GateSettings};
