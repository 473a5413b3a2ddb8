//! For how long a target is kept that has no registration.

use std::time::Duration;

use derive_more::Display;
use quillhatch_types::Timestamp;

/// For how long a target is kept after its node has last reported that it can't read the store: one heartbeat of the target, and the lag of
/// the list. Shorter than the time after a cut from which a machine must keep the bound on drains again (3 s).
pub const PARTITION_GRACE: Duration = Duration::from_millis(2900);

/// Why a target is kept whose registration is missing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GraceReason {
    /// Many were gone at once.
    #[display("many are missing")]
    ManyMissing,
    /// Its machine can't read the store and so can't renew the registration.
    #[display("its machine is cut off")]
    MachinePartitioned,
    /// It ran out in an outage of the store, after which it must come back by itself.
    #[display("after an outage")]
    AfterOutage,
}

/// For how long a target is kept whose registration is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    /// When it ends.
    pub until: Timestamp,
    /// Why there is one.
    pub reason: GraceReason,
}

impl GracePeriod {
    pub(super) fn cut_off(until: Timestamp) -> Self {
        GracePeriod { until, reason: GraceReason::MachinePartitioned }
    }
}
