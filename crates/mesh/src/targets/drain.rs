//! The drain notices that targets send in their responses.

use std::collections::HashMap;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::{Registration, RunningAt, TargetId};

/// How long a drain notice of a target that is not listed is remembered.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// The notice of a target, in its responses, that it is draining. It is final for the process that sent it.
#[derive(Clone, Copy, Debug)]
struct DrainNotice {
    /// When that process was running; zero if it is not known.
    running_at: RunningAt,
    received: Timestamp,
}

/// The drain notices of all targets. They hold whatever is registered, also while the targets are not listed.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainNotices(HashMap<TargetId, DrainNotice>);

impl DrainNotices {
    /// Records the notice of a process that was running at `running_at`, zero if that is not known. The list shows that
    /// the present process started at `listed_start`. Returns whether the target was not known to be draining.
    pub(super) fn record(&mut self, id: &str, running_at: RunningAt, listed_start: u64, now: Timestamp) -> bool {
        let is_known_time = running_at != RunningAt::default();
        if is_known_time && running_at.precedes(listed_start) {
            return false;
        }
        if let Some(notice) = self.0.get_mut(id) {
            // It may be the notice of a later process, whose registration is not known yet.
            notice.running_at = notice.running_at.max(running_at);
            return false;
        }
        let notice = DrainNotice { running_at: running_at.max(RunningAt(listed_start)), received: now };
        self.0.insert(TargetId::from(id), notice);
        true
    }

    /// Whether the process of a registration has sent a notice. The notice of an earlier process is forgotten.
    pub(super) fn applies_to(&mut self, id: &str, registration: &Registration) -> bool {
        let Some(notice) = self.0.get_mut(id) else { return false };
        if notice.running_at == RunningAt::default() {
            notice.running_at = RunningAt(registration.started);
        }
        if notice.running_at.precedes(registration.started) {
            self.0.remove(id);
            return false;
        }
        true
    }

    /// When the process that sent the notice of a target was running.
    pub(super) fn running_at(&self, id: &str) -> Option<RunningAt> {
        self.0.get(id).map(|notice| notice.running_at)
    }

    /// Forgets old notices of targets that are not listed.
    pub(super) fn forget_old(&mut self, now: Timestamp, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|id, notice| is_listed(id) || now.since(notice.received) < NOTICE_RETENTION);
    }
}
