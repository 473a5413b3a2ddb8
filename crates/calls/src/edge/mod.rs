//! The edge takes a call from a caller, chooses a target for each attempt and decides on the final answer.
//!
//! Use one [`Edge`] per node. It is a state machine without input or output: the driver hands it what happens as
//! [`EdgeInput`] with the time on its monotonic clock, does what the [`EdgeOutput`]s say, and steps it with
//! [`EdgeInput::Tick`] at [`Edge::next_wake`]. Each mechanism has its own module and can be switched off by name in
//! [`EdgeMechanisms`].

mod arrival;
mod backoff;
mod balance;
mod budget;
mod call;
mod caller;
mod deadline;
mod dispatch;
mod ejection;
mod finish;
pub mod io;
mod level;
mod mechanisms;
mod ratio;
mod result;
mod resume;
mod retry;
mod routes;
mod service;
mod settings;
mod state;
mod statistics;
mod target;
#[cfg(test)]
mod tests;

pub use backoff::BackoffSettings;
pub use balance::BalanceSettings;
pub use caller::CallerSettings;
pub use ejection::EjectionSettings;
pub use io::{Answer, AttemptResult, BodyState, CallArrival, EdgeInput, EdgeOutput, StrongValidator};
pub use level::LevelSettings;
pub use mechanisms::{EdgeMechanisms, UnknownMechanism};
pub use settings::{EdgeSettings, OwnerSettings, RetrySettings, DEFAULT_RANK_SALT};
pub use state::{Edge, TargetView};
pub use statistics::EdgeStatistics;
