//! A concurrency limit that does not adapt.

use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

use super::{ConcurrencyLimit, LimitBounds};

/// A limit that is always the configured slots; comparisons with it show the effect of adapting.
#[derive(Clone, Debug)]
pub struct FixedLimit {
    limit: u32,
}

impl FixedLimit {
    /// Creates a limit at the initial limit of `bounds`.
    pub fn new(bounds: LimitBounds) -> Self {
        FixedLimit { limit: bounds.initial_limit.clamp(1, bounds.maximum.max(1)) }
    }
}

impl ConcurrencyLimit for FixedLimit {
    fn limit(&self) -> u32 {
        self.limit
    }

    fn set_bounds(&mut self, bounds: LimitBounds) {
        *self = FixedLimit::new(bounds);
    }

    fn running_changed(&mut self, _now: Timestamp, _running: u32) {}

    fn blocked(&mut self) {}

    fn measured(&mut self, _now: Timestamp, _class: &ClassName, _latency: Duration) {}

    fn refused_by_back_end(&mut self, _now: Timestamp) {}

    fn congested(&self) -> bool {
        false
    }
}
