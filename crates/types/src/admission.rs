//! The order in which calls are refused under overload.
//!
//! All nodes use the same order for a given root call. The hops of a call chain therefore refuse the same root calls,
//! and little work is wasted on calls that a later hop refuses.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The importance of a class of calls; a lower value is refused later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Calls that must be served as long as any calls are served.
    #[display("protected")]
    Protected,
    /// Calls that a person waits for.
    #[display("interactive")]
    Interactive,
    /// Calls that can be delayed or retried later.
    #[display("bulk")]
    Bulk,
}

impl Priority {
    /// All priorities, most important first.
    pub const ALL: [Priority; 3] = [Priority::Protected, Priority::Interactive, Priority::Bulk];

    /// The position in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The number of ranks in one band; a band holds either the first attempts or the retries of one priority.
pub const RANKS_PER_BAND: u16 = 1024;

/// The number of bands: first attempts and retries of each priority.
pub const BANDS: u16 = 6;

/// The position of a call in the order of refusal; a lower rank is refused later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdmissionRank(pub u16);

impl AdmissionRank {
    /// Ranks by priority, then first attempts before retries, then by `position`, a hash of the root call.
    pub fn new(priority: Priority, retry: bool, position: u16) -> Self {
        let band = priority.index() as u16 * 2 + u16::from(retry);
        AdmissionRank(band * RANKS_PER_BAND + position % RANKS_PER_BAND)
    }
}

/// The rank below which calls are admitted: a call is admitted if its rank is lower than the level.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdmissionLevel(pub u16);

impl AdmissionLevel {
    /// The level that admits every call.
    pub const OPEN: AdmissionLevel = AdmissionLevel(BANDS * RANKS_PER_BAND);

    /// Whether a call of `rank` is admitted.
    pub fn admits(self, rank: AdmissionRank) -> bool {
        rank.0 < self.0
    }
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self::OPEN
    }
}
