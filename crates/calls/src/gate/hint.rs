//! Gives the back end's own health and load reports a bounded weight.
//!
//! These reports lag and mislead. They may lower the limit by at most [`MAX_REDUCTION`], only while the gate's own
//! measurements show congestion too, and only for as long as they are fresh.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::io::LoadHint;

/// The largest share by which a report lowers the limit.
pub(super) const MAX_REDUCTION: f64 = 0.2;
/// The reported load from which a report counts, as a share of capacity.
const MIN_LOAD: f64 = 0.9;
/// The span of reported load over which the weight rises to its bound.
const LOAD_RANGE: f64 = 0.2;
/// The age at which a report is forgotten.
const MAX_HINT_AGE: Duration = Duration::from_secs(2);

/// The last report and when it came.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HintWeight {
    last: Option<(Timestamp, LoadHint)>,
}

impl HintWeight {
    pub(super) fn record(&mut self, now: Timestamp, hint: LoadHint) {
        self.last = Some((now, hint));
    }

    /// The factor by which the limit is multiplied.
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
