//! Settings of a group, and switches that disable single mechanisms in tests.

use std::time::Duration;

use derive_more::{Display, Error};

/// Maximum size in bytes of one command, and of all entries in one append message.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Maximum number of voters in a message.
pub const MAX_VOTERS: usize = 32;

/// Timeouts and limits of a group. All nodes of a group must use the same timeouts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupSettings {
    /// Interval between a leader's heartbeats to its followers.
    pub heartbeat: Duration,
    /// Minimum time without contact to a leader before a voter starts an election.
    ///
    /// For this time after its last contact to a leader, a follower grants no vote to another candidate.
    pub election_timeout_minimum: Duration,
    /// Maximum time without contact to a leader before a voter starts an election.
    pub election_timeout_maximum: Duration,
    /// Duration of a leader's lease, counted from when it sent the messages that a quorum acknowledged.
    ///
    /// It must be shorter than `election_timeout_minimum`; the difference is the allowance for clock drift.
    pub lease: Duration,
    /// How long a node waits for the whole electorate before a majority of it may form a group.
    pub formation_wait: Duration,
    /// Interval at which a node without a leader sends inquiries to its peers.
    pub formation_retry: Duration,
    /// Time without a leader after which a member abandons its group if a majority wants to form a new one.
    pub abandon_after: Duration,
    /// Number of log entries at which the host is asked for a snapshot; proposals are refused at twice this number.
    pub log_entries: usize,
    /// Log size in bytes at which the host is asked for a snapshot; proposals are refused at twice this size.
    pub log_bytes: usize,
    /// Maximum size in bytes of a snapshot, from the host or from a leader.
    pub snapshot_bytes: usize,
    /// The enabled mechanisms; all of them outside tests.
    pub mechanisms: GroupMechanisms,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_timeout_minimum: Duration::from_millis(600),
            election_timeout_maximum: Duration::from_millis(1_200),
            lease: Duration::from_millis(500),
            formation_wait: Duration::from_secs(5),
            formation_retry: Duration::from_millis(250),
            abandon_after: Duration::from_secs(30),
            log_entries: 1_024,
            log_bytes: 1024 * 1024,
            snapshot_bytes: 16 * 1024 * 1024,
            mechanisms: GroupMechanisms::default(),
        }
    }
}

impl GroupSettings {
    /// Checks that the timeouts are consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns the first pair of settings that contradict each other.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.lease >= self.election_timeout_minimum {
            return Err(SettingsError::LeaseOutlastsElection);
        }
        if self.election_timeout_minimum > self.election_timeout_maximum {
            return Err(SettingsError::ElectionRangeReversed);
        }
        if self.heartbeat * 2 > self.election_timeout_minimum {
            return Err(SettingsError::HeartbeatTooSlow);
        }
        Ok(())
    }
}

/// Why the timeouts are rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A new leader could be elected while the old one still holds its lease.
    #[display("the lease must be shorter than the shortest election timeout")]
    LeaseOutlastsElection,
    /// The range of election timeouts is empty.
    #[display("the shortest election timeout is above the longest")]
    ElectionRangeReversed,
    /// One lost heartbeat would start an election.
    #[display("the heartbeat must be at most half of the shortest election timeout")]
    HeartbeatTooSlow,
}

/// Switches for single mechanisms, so that a test can show which failure each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupMechanisms {
    /// A voter runs a pre-vote to check that it could win before it increments the term.
    pub pre_vote: bool,
    /// A leader without contact to a quorum steps down, and a voter in contact with a leader grants no vote to another
    /// candidate.
    pub check_quorum: bool,
    /// A restarted node is a different voter from its earlier run.
    pub incarnation_identity: bool,
    /// Only one change of voters is pending at a time, and it needs a majority of the old and of the new voters.
    pub one_at_a_time: bool,
    /// Every quorum covers a majority of the electorate's addresses, so that it intersects the voters of every
    /// formation.
    pub electorate_quorum: bool,
    /// A voter grants its vote only to a candidate whose log is at least as up to date as its own.
    pub complete_log_vote: bool,
    /// A voter votes for at most one candidate per term.
    pub single_vote: bool,
    /// A node that consented to the formation of a group no longer takes part in an older group.
    pub forming_fence: bool,
    /// A group that was formed without proof that nothing was lost sets `claims_lost`.
    pub loss_statement: bool,
}

impl Default for GroupMechanisms {
    fn default() -> Self {
        Self {
            pre_vote: true,
            check_quorum: true,
            incarnation_identity: true,
            one_at_a_time: true,
            electorate_quorum: true,
            complete_log_vote: true,
            single_vote: true,
            forming_fence: true,
            loss_statement: true,
        }
    }
}
