//! Limits on the attempts that run at a back end at once.
//!
//! [`ConcurrencyLimit`] is the policy; [`AdaptiveLimit`] follows the back end's knee, [`FixedLimit`] is for comparison.

mod adaptive;
mod baseline;
mod fixed;
mod period;
mod trial;

use std::fmt::Debug;
use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

pub use adaptive::AdaptiveLimit;
pub use fixed::FixedLimit;

/// The range of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// The configured slots: where the limit begins.
    pub initial_limit: u32,
    /// The back end's connections: what the limit never exceeds.
    pub maximum: u32,
}

/// A policy that decides how many attempts may run at once, from what the gate itself measures.
pub trait ConcurrencyLimit: Debug + Send {
    /// The limit in force; at least one.
    fn limit(&self) -> u32;

    /// New bounds from a new configuration.
    fn set_bounds(&mut self, bounds: LimitBounds);

    /// The number of running attempts changed to `running` at `now`.
    fn running_changed(&mut self, now: Timestamp, running: u32);

    /// An attempt found the limit taken and has to wait.
    fn blocked(&mut self);

    /// The back end began to answer, or an attempt ended without an answer after `latency`.
    fn measured(&mut self, now: Timestamp, class: &ClassName, latency: Duration);

    /// The back end itself refused an attempt before running it.
    fn refused_by_back_end(&mut self, now: Timestamp);

    /// Whether the measurements of the last periods show congestion.
    fn congested(&self) -> bool;
}
