//! What a node reads of the platform's store next, and when.
//!
//! List and watch: everything is read once, then only the changes after the revision that was reached. The first list may
//! come from a copy of the store that lags, which costs a tenth; the watch behind it brings what the copy lacked. After an
//! outage the watch goes on where it stood. Everything is read again only if the store no longer has the changes in between.

use std::time::Duration;

use crate::replica::Position;
use crate::settings::Bounds;

/// The pause after the first failed call in a row; it doubles with each further one.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause of a node that has no view yet, and can serve nobody before it has read the store.
const LONGEST_PAUSE_UNKNOWING: Duration = Duration::from_millis(800);
/// The longest pause of a node with a view, as a part of the time after which a machine that reaches the store again must keep
/// all bounds: the store is read at least once in that time.
const LONGEST_PAUSE_PART: f64 = 0.5;
/// An outage of the store in which registrations may have run out. A shorter one is a call or two that failed; a longer one may
/// have begun some time before it was noticed.
const OUTAGE_FROM: Duration = Duration::from_millis(500);
/// How long after the end of an outage targets whose registrations ran out meanwhile may take to be registered again; the
/// platform promises about two seconds.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the store is asked to wait for a change, as a part of the time after which bounds hold again. All readers' watches may hang
/// at once on connections that stay open, and then nobody learns of a change: the rest is left to connect anew.
const WAIT_PART: f64 = 0.4;
/// The same as a part of the bound on revocation, where keys must be refused that were taken away: all nodes live on what the readers
/// know, which is up to two waits and a gathering old.
const REVOCATION_WAIT_PART: f64 = 0.15;
/// How often a target's registration may be late after the store came back from an older copy, beyond one heartbeat.
const WRITTEN_AGAIN_MARGIN: Duration = Duration::from_secs(1);

/// What is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Everything, from a copy that may lag behind.
    StaleList,
    /// Everything, as the store holds it now.
    List,
    /// The changes after this revision.
    Watch {
        /// The revision up to which the view is whole.
        after: u64,
    },
}

/// Decides what is read next, and how long to wait before.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReader {
    has_lost_history: bool,
    failures: u32,
}

impl StoreReader {
    /// What is read next by a node whose view reaches to `position`.
    pub fn next(&self, position: Position) -> NextRead {
        match position.is_known() {
            _ if self.has_lost_history => NextRead::List,
            false => NextRead::StaleList,
            true => NextRead::Watch { after: position.revision },
        }
    }

    /// The store was read.
    pub fn read_succeeded(&mut self) {
        *self = StoreReader::default();
    }

    /// The store no longer has the changes after the revision that was reached, or its revisions have started again.
    pub fn history_lost(&mut self) {
        self.has_lost_history = true;
    }

    /// A call failed. Returns the longest pause before the next one.
    pub fn read_failed(&mut self, has_view: bool, bounds: &Bounds) -> Duration {
        let doubled = SHORTEST_PAUSE * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let longest = if has_view { bounds.recovery.mul_f64(LONGEST_PAUSE_PART) } else { LONGEST_PAUSE_UNKNOWING };
        doubled.min(longest)
    }
}

/// The longest time for which the store may be asked to wait for a change, by what readers alone must keep.
pub fn max_watch_timeout(bounds: &Bounds) -> Duration {
    let for_keys = bounds.revocation.map_or(Duration::MAX, |bound| bound.mul_f64(REVOCATION_WAIT_PART));
    bounds.recovery.mul_f64(WAIT_PART).min(for_keys)
}

/// Within what time targets are registered again that an older copy of the store lacks, since they were registered after it was made.
pub fn reregistration_timeout(bounds: &Bounds) -> Duration {
    REREGISTRATION_TIMEOUT.max(bounds.heartbeat + WRITTEN_AGAIN_MARGIN)
}

/// Whether registrations may have run out in an outage of this length.
pub fn may_have_expired(outage: Duration) -> bool {
    outage >= OUTAGE_FROM
}
