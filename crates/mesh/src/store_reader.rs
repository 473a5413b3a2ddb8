//! Which read of the platform's store is next, and how long to wait before it.
//!
//! A node lists and watches: it reads everything once, and then only the changes after the revision that it has
//! reached. The first list may come from a lagging replica of the store, which costs a tenth of a current list; the
//! following watch returns what that replica lacked. After an outage the watch continues from the same revision.
//! Everything is listed again only if the store no longer has the changes in between.

use std::collections::HashSet;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::replica::Position;
use crate::settings::Bounds;

/// The maximum pause after the first failed call in a row; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The limit of that pause for a node that has no view of the store yet, and so can't serve any call.
const MAX_BACKOFF_WITHOUT_VIEW: Duration = Duration::from_millis(800);
/// The limit of that pause for a node with a view, as a fraction of [`Bounds::recovery`]: the store is read at least
/// once in that time.
const MAX_BACKOFF_FRACTION: f64 = 0.5;
/// The minimum duration of an outage of the store in which registrations may have expired. A shorter one is just one or
/// two failed calls; a longer one may have begun some time before it was noticed.
const MIN_OUTAGE_FOR_EXPIRY: Duration = Duration::from_millis(500);
/// How long targets whose registrations expired in an outage may take to be registered again after its end; the
/// platform promises about two seconds.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum timeout of a watch as a fraction of [`Bounds::recovery`]. The watches of all readers may hang at the
/// same time on connections that stay open, and then no node learns of a change; the rest of the time is left for
/// reconnecting.
const WATCH_TIMEOUT_FRACTION: f64 = 0.4;
/// The maximum timeout of a watch as a fraction of the bound on revocation, if there is one. All nodes depend on what
/// the readers know, which may be as old as two watches and a [`Bounds::batch_window`].
const REVOCATION_WATCH_TIMEOUT_FRACTION: f64 = 0.15;
/// How late a target's registration may be, beyond one heartbeat, after the store was restored from a backup.
const REREGISTRATION_TOLERANCE: Duration = Duration::from_secs(1);

/// The next read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Lists everything, from a replica that may lag behind the store.
    StaleList,
    /// Lists everything in its current state.
    List,
    /// Watches for the changes after a revision.
    Watch {
        /// The revision up to which the view is complete.
        after: u64,
    },
}

/// Decides which read is next, and how long to wait before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReader {
    has_lost_history: bool,
    failures: u32,
}

impl StoreReader {
    /// The next read of a node whose view has reached `position`.
    pub fn next(&self, position: Position) -> NextRead {
        match position.is_known() {
            _ if self.has_lost_history => NextRead::List,
            false => NextRead::StaleList,
            true => NextRead::Watch { after: position.revision },
        }
    }

    /// Records that the store was read.
    pub fn read_succeeded(&mut self) {
        *self = StoreReader::default();
    }

    /// Records that the store no longer has the changes after the revision that was reached, or that its revisions have
    /// started anew.
    pub fn history_lost(&mut self) {
        self.has_lost_history = true;
    }

    /// Records that a call failed. Returns the maximum pause before the next one.
    pub fn read_failed(&mut self, has_view: bool, bounds: &Bounds) -> Duration {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let max_backoff =
            if has_view { bounds.recovery.mul_f64(MAX_BACKOFF_FRACTION) } else { MAX_BACKOFF_WITHOUT_VIEW };
        backoff.min(max_backoff)
    }
}

/// A list of the store that doesn't continue.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the list of the store does not continue after the key {after:?}")]
pub struct StalledListing {
    /// The key after which the next page was requested.
    pub after: String,
}

/// The progress of a listing through the pages of the store.
#[derive(Clone, Debug, Default)]
pub struct ListingCursor {
    after: String,
    earlier: HashSet<String>,
}

impl ListingCursor {
    /// The key after which the next page starts; empty for the first page.
    pub fn after(&self) -> &str {
        &self.after
    }

    /// Advances to the page after `last_key`, the last key of the current page, which is not the last page.
    ///
    /// Nothing is assumed about the order of keys in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the page has no key, or if the same page was requested before.
    pub fn advance(&mut self, last_key: Option<String>) -> Result<(), StalledListing> {
        let Some(next) = last_key.filter(|next| *next != self.after && !self.earlier.contains(next)) else {
            return Err(StalledListing { after: self.after.clone() });
        };
        self.earlier.insert(std::mem::replace(&mut self.after, next));
        Ok(())
    }
}

/// The maximum timeout of a watch, by the bounds that readers must meet on their own.
pub fn max_watch_timeout(bounds: &Bounds) -> Duration {
    let for_revocation =
        bounds.revocation.map_or(Duration::MAX, |bound| bound.mul_f64(REVOCATION_WATCH_TIMEOUT_FRACTION));
    bounds.recovery.mul_f64(WATCH_TIMEOUT_FRACTION).min(for_revocation)
}

/// How long targets that a backup of the store lacks, since they were registered after it was made, may take to be
/// registered again after the store was restored from it.
pub fn reregistration_timeout_after_restore(bounds: &Bounds) -> Duration {
    REREGISTRATION_TIMEOUT.max(bounds.heartbeat + REREGISTRATION_TOLERANCE)
}

/// Whether registrations may have expired in an outage of this duration.
pub fn may_have_expired(outage: Duration) -> bool {
    outage >= MIN_OUTAGE_FOR_EXPIRY
}
