//! Admission control in front of one back end: queues attempts, limits concurrency, requests claims, and drains.
//!
//! Use [`Gate`] wherever attempts of calls reach a back end. The driver passes in a [`GateInput`] with the time of its
//! monotonic clock, executes each [`GateOutput`], and calls [`Gate::step`] with [`GateInput::Tick`] at the time that
//! [`Gate::next_wake`] returns.
//!
//! An attempt passes through three phases: *waiting* in a queue ([`queue`]), *claiming* while the claim of a
//! non-repeatable call is being recorded, and *running* at the back end. It holds a slot of the concurrency limit
//! ([`limit`]) from the end of the waiting phase until the back end has finished with it.

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
