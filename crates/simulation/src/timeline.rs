//! When things happen in a run: warm-up, normal load, causes, and the time after them.

use crate::engine::Instant;

/// Microseconds in a second.
pub const SECOND: Instant = 1_000_000;

/// Microseconds in a millisecond.
pub const MILLISECOND: Instant = 1_000;

/// Nodes form their groups before callers come.
pub const ARRIVALS_START: Instant = 2 * SECOND;

/// From here on, until [`CAUSE_START`], the normal level is measured.
pub const BASELINE_START: Instant = 6 * SECOND;

/// The first cause of trouble begins.
pub const CAUSE_START: Instant = 10 * SECOND;

/// The last cause of trouble ends.
pub const CAUSE_END: Instant = 18 * SECOND;

/// Callers stop coming.
pub const ARRIVALS_END: Instant = 33 * SECOND;

/// The run ends; what is still open then has failed.
pub const RUN_END: Instant = 46 * SECOND;

/// The width of one point of the goodput timeline.
pub const BUCKET: Instant = 100 * MILLISECOND;
