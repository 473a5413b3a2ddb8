//! Limits on the number of attempts that run at a back end at once.
//!
//! [`ConcurrencyLimit`] is the policy interface. [`AdaptiveLimit`] keeps the back end at the knee of its latency curve,
//! where more concurrency only adds queueing; [`FixedLimit`] is for comparison.

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

/// The initial value and the maximum of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// The configured slots: the initial limit.
    pub initial_limit: u32,
    /// The back end's connections: the limit never exceeds them.
    pub maximum: u32,
}

/// A policy that decides how many attempts may run at once, based on the gate's own measurements.
pub trait ConcurrencyLimit: Debug + Send {
    /// The limit in force; at least one.
    fn limit(&self) -> u32;

    /// Applies the bounds of a new configuration.
    fn set_bounds(&mut self, bounds: LimitBounds);

    /// Records that the number of running attempts changed to `running` at `now`.
    fn running_changed(&mut self, now: Timestamp, running: u32);

    /// Records that an attempt has to wait because the limit is reached.
    fn blocked(&mut self);

    /// Records a latency: the time until the back end started to answer, or until an attempt ended without an answer.
    fn measured(&mut self, now: Timestamp, class: &ClassName, latency: Duration);

    /// Records that the back end itself refused an attempt before running it.
    fn refused_by_back_end(&mut self, now: Timestamp);

    /// Whether the measurements of the most recent periods show congestion.
    fn congested(&self) -> bool;
}
