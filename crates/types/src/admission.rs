//! The order in which calls are refused under overload.
//!
//! All nodes use the same order for the same root call, so that the hops of a call chain refuse the same roots and
//! little work is done for calls that are refused further down.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How important a class of calls is; a lower value is refused later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Calls that must be served while anything is served.
    #[display("protected")]
    Protected,
    /// Calls that a person waits for.
    #[display("interactive")]
    Interactive,
    /// Calls that can wait or be repeated later.
    #[display("bulk")]
    Bulk,
}

impl Priority {
    /// All priorities, the most important first.
    pub const ALL: [Priority; 3] = [Priority::Protected, Priority::Interactive, Priority::Bulk];

    /// The position in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The number of ranks in one band; a band is one priority's first tries or its retries.
pub const RANKS_PER_BAND: u16 = 1024;

/// The number of bands: first tries and retries of each priority.
pub const BANDS: u16 = 6;

/// The place of a call in the order of refusal; a lower rank is refused later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdmissionRank(pub u16);

impl AdmissionRank {
    /// Ranks by priority first, then first tries before retries, then by `position`, the hash of the root call.
    pub fn new(priority: Priority, retry: bool, position: u16) -> Self {
        let band = priority.index() as u16 * 2 + u16::from(retry);
        AdmissionRank(band * RANKS_PER_BAND + position % RANKS_PER_BAND)
    }
}

/// The limit below which calls are admitted: a call runs if its rank is lower than the level.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdmissionLevel(pub u16);

impl AdmissionLevel {
    /// Admits every call.
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
