//! Lets the back end's own health and load reports lower the limit, within a bound.
//!
//! These reports can be late or wrong. They lower the limit by at most [`MAX_REDUCTION`], only while the gate's own
//! measurements also show congestion, and only until they reach [`MAX_HINT_AGE`].

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::io::LoadHint;

/// The maximum share by which a report lowers the limit.
pub(super) const MAX_REDUCTION: f64 = 0.2;
/// The reported load above which a report lowers the limit, as a share of capacity.
const MIN_LOAD: f64 = 0.9;
/// The range of reported load, above [`MIN_LOAD`], over which the reduction rises to its maximum.
const LOAD_RANGE: f64 = 0.2;
/// The age above which a report is ignored.
const MAX_HINT_AGE: Duration = Duration::from_secs(2);

/// The last report and when it was received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HintWeight {
    last: Option<(Timestamp, LoadHint)>,
}

impl HintWeight {
    pub(super) fn record(&mut self, now: Timestamp, hint: LoadHint) {
        self.last = Some((now, hint));
    }

    /// The factor to apply to the limit.
    pub(super) fn factor(&self, now: Timestamp, congested: bool) -> f64 {
        let Some((at, hint)) = self.last else { return 1.0 };
        if !congested || now.since(at) > MAX_HINT_AGE {
            return 1.0;
        }
        1.0 - MAX_REDUCTION * severity(hint)
    }
}

fn severity(hint: LoadHint) -> f64 {
    if !hint.healthy {
        return 1.0;
    }
    let load = hint.load.filter(|load| load.is_finite()).unwrap_or(0.0);
    ((load - MIN_LOAD) / LOAD_RANGE).clamp(0.0, 1.0)
}
