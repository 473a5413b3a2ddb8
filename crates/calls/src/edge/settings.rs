//! Settings of the edge.

use std::time::Duration;

use quillhatch_types::{SiteName, ZoneName};

use super::backoff::BackoffSettings;
use super::balance::BalanceSettings;
use super::caller::CallerSettings;
use super::ejection::EjectionSettings;
use super::level::LevelSettings;
use super::mechanisms::EdgeMechanisms;

/// The salt of admission ranks until [`super::Edge::set_rank_salt`] sets another.
pub const DEFAULT_RANK_SALT: u64 = 0;

/// Settings of routing to the owner of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// How long a call waits for a table with an owner of its slot.
    pub wait: Duration,
    /// The minimum time between two fetches of the same table.
    pub fetch_interval: Duration,
    /// The delay after which callers that were refused for lack of an owner may retry.
    pub retry_after: Duration,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        OwnerSettings {
            wait: Duration::from_millis(500),
            fetch_interval: Duration::from_millis(100),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Settings of the retry limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// The share of its tokens that a call retains for its own retries when it sends an attempt, in percent; at least
    /// one token is retained.
    pub retained_tokens_percent: u8,
    /// The maximum number of retries that the ratio limit of a class accumulates.
    pub ratio_burst: u32,
    /// The maximum number of times that an interrupted download is resumed.
    pub maximum_resumes: u8,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings { retained_tokens_percent: 25, ratio_burst: 50, maximum_resumes: 3 }
    }
}

/// Settings of an edge.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// The site of the edge's node.
    pub site: SiteName,
    /// The zone of the edge's node.
    pub zone: ZoneName,
    /// Which mechanisms are enabled.
    pub mechanisms: EdgeMechanisms,
    /// The salt of admission ranks; must be the same on all nodes. See [`super::Edge::set_rank_salt`].
    pub rank_salt: u64,
    /// The maximum number of calls in progress; further ones are refused.
    pub maximum_calls: usize,
    /// The retry limits.
    pub retry: RetrySettings,
    /// The delay before a retry.
    pub backoff: BackoffSettings,
    /// Load balancing among targets.
    pub balance: BalanceSettings,
    /// Outlier ejection.
    pub ejection: EjectionSettings,
    /// Admission levels.
    pub level: LevelSettings,
    /// Limits per caller.
    pub caller: CallerSettings,
    /// Routing to the owner of a slot.
    pub owner: OwnerSettings,
}

impl EdgeSettings {
    /// The default settings of a node at `site` in `zone`.
    pub fn new(site: SiteName, zone: ZoneName) -> Self {
        EdgeSettings {
            site,
            zone,
            mechanisms: EdgeMechanisms::default(),
            rank_salt: DEFAULT_RANK_SALT,
            maximum_calls: 50_000,
            retry: RetrySettings::default(),
            backoff: BackoffSettings::default(),
            balance: BalanceSettings::default(),
            ejection: EjectionSettings::default(),
            level: LevelSettings::default(),
            caller: CallerSettings::default(),
            owner: OwnerSettings::default(),
        }
    }
}
