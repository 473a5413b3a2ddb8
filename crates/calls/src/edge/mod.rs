//! The edge takes a call from a caller, chooses a target for each attempt and decides on the final answer.
//!
//! Use one [`Edge`] per node. It is a state machine that does no I/O: the driver passes it each event as an
//! [`EdgeInput`] with the time on its monotonic clock, executes the [`EdgeOutput`]s, and steps it with
//! [`EdgeInput::Tick`] at [`Edge::next_wake`]. Each mechanism can be disabled by name in [`EdgeMechanisms`].

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
