//! How long a target without a registration is retained in the list.

use std::time::Duration;

use derive_more::Display;
use quillhatch_types::Timestamp;

/// How long a target is retained after its node last reported that it can't reach the store: one heartbeat of the
/// target, and the lag of the list. It is shorter than the time after a partition within which a machine must meet the
/// bound on drains again (3 s).
pub const PARTITION_GRACE: Duration = Duration::from_millis(2900);

/// Why a target is retained although its registration is missing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GraceReason {
    /// Many registrations disappeared at once.
    #[display("many are missing")]
    ManyMissing,
    /// The target's machine is partitioned from the store, so it can't renew the registration.
    #[display("its machine is cut off")]
    MachinePartitioned,
    /// The registration expired in an outage of the store; a target that still runs registers again afterwards.
    #[display("after an outage")]
    AfterOutage,
}

/// The time for which a target is retained although its registration is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    /// When it ends.
    pub until: Timestamp,
    /// Its reason.
    pub reason: GraceReason,
}

impl GracePeriod {
    pub(super) fn for_partition(until: Timestamp) -> Self {
        GracePeriod { until, reason: GraceReason::MachinePartitioned }
    }
}
