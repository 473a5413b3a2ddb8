//! A limit that does not adapt.

use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

use super::{ConcurrencyLimit, LimitBounds};

/// Always the configured slots; shows in comparisons what adapting is worth.
#[derive(Clone, Debug)]
pub struct FixedLimit {
    limit: u32,
}

impl FixedLimit {
    /// A limit at the first guess of `bounds`.
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
