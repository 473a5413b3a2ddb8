//! The status that a target reports in its responses.

/// The state of a target according to one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// The requests per second that it accepts from all machines together, if it has a limit.
    pub rate_limit: Option<f64>,
    /// Whether it is draining.
    pub is_draining: bool,
}
