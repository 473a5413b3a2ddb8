//! What a node reads of the platform's store next, and when.
//!
//! List and watch: everything is read once, then only the changes after the revision that was reached. The first list may
//! come from a copy of the store that lags, which costs a tenth; the watch behind it brings what the copy lacked. After an
//! outage the watch goes on where it stood. Everything is read again only if the store no longer has the changes in between,
//! or if the view was taken from another node meanwhile.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::limits::place_of;
use crate::settings::Bounds;
use crate::targets::TargetTable;

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
pub const REGISTERED_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// How long the store is asked to wait for a change by a node that renews its watch seldom.
///
/// A watch that hangs is noticed by what other nodes tell, long before this time is over.
pub const RARE_WAIT: Duration = Duration::from_secs(25);
/// How long it is asked to wait by a node that renews its watch often, as a part of the time after which bounds hold again:
/// the rest is left to connect anew, and for the news to reach the other nodes with the calls between them.
const OFTEN_WAIT_PART: f64 = 0.4;
/// The same as a part of the bound on revocation, where keys must be refused that were taken away: all nodes live on what these know, which
/// is up to two waits and a gathering old.
const REVOCATION_WAIT_PART: f64 = 0.15;
/// The fewest nodes of a fleet that renew their watches often.
const FEWEST_OFTEN: usize = 3;

/// What is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Everything, from a copy that may lag behind.
    LaggingCopy,
    /// Everything, as the store holds it now.
    Everything,
    /// The changes after this revision.
    Changes {
        /// The revision up to which the view is whole.
        after: u64,
    },
}

/// Decides what is read next, and how long to wait before.
#[derive(Clone, Debug)]
pub struct StoreReader {
    next: NextRead,
    views_taken: u64,
    failures: u32,
}

impl Default for StoreReader {
    fn default() -> Self {
        StoreReader { next: NextRead::LaggingCopy, views_taken: 0, failures: 0 }
    }
}

impl StoreReader {
    /// What is read next.
    pub fn next(&self) -> NextRead {
        self.next
    }

    /// The store was read; the view is whole up to `revision`.
    pub fn reached(&mut self, revision: u64) {
        self.next = NextRead::Changes { after: revision };
        self.failures = 0;
    }

    /// The store no longer has the changes after the revision that was reached.
    pub fn history_lost(&mut self) {
        self.next = NextRead::Everything;
    }

    /// The view was replaced by another node's, which may list targets for longer than the store does.
    pub fn view_replaced(&mut self) {
        self.next = NextRead::Everything;
        self.views_taken += 1;
    }

    /// How often the view was replaced. An answer to a call that was sent before the last time may be older than the view.
    pub fn views_taken(&self) -> u64 {
        self.views_taken
    }

    /// A call failed. Returns the longest pause before the next one.
    pub fn failed(&mut self, has_view: bool, bounds: &Bounds) -> Duration {
        let doubled = SHORTEST_PAUSE * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let longest = if has_view { bounds.contact.mul_f64(LONGEST_PAUSE_PART) } else { LONGEST_PAUSE_UNKNOWING };
        doubled.min(longest)
    }
}

/// How long the store is asked to wait for a change by the node on `machine`.
///
/// After an outage all watches may hang at once, each on a connection that stays open and silent, and then no node learns of a
/// change that it could tell the others. So some nodes renew their watches often: in each zone the one whose address has the
/// least hash, and the least of all. The list of targets decides, without a message; nodes with different lists disagree on
/// one or two, which does no harm.
pub fn watch_wait(machine: IpAddr, targets: &TargetTable, bounds: &Bounds) -> Duration {
    if renews_often(machine, targets) {
        let for_keys = bounds.revocation.map_or(RARE_WAIT, |bound| bound.mul_f64(REVOCATION_WAIT_PART));
        bounds.contact.mul_f64(OFTEN_WAIT_PART).min(RARE_WAIT).min(for_keys)
    } else {
        RARE_WAIT
    }
}

fn renews_often(machine: IpAddr, targets: &TargetTable) -> bool {
    let mut least_of_zone: HashMap<&str, (u64, IpAddr)> = HashMap::new();
    let mut all = Vec::with_capacity(targets.len());
    for target in targets.iter() {
        let ip = target.registration.address.ip();
        let place = (place_of(ip), ip);
        all.push(place);
        let least = least_of_zone.entry(&target.registration.zone).or_insert(place);
        *least = place.min(*least);
    }
    all.sort_unstable();
    all.dedup();
    let mut often = least_of_zone.values().chain(all.iter().take(FEWEST_OFTEN));
    often.any(|(_, ip)| *ip == machine)
}

/// Whether registrations may have run out in an outage of this length.
pub fn may_have_lapsed(outage: Duration) -> bool {
    outage >= OUTAGE_FROM
}
