//! Settings of a group and the switches that take one mechanism out for a test.

use std::time::Duration;

use derive_more::{Display, Error};

/// Largest size in bytes of one command and of the entries of one append message.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Largest number of voters that a message may name.
pub const MAX_VOTERS: usize = 32;

/// Times and bounds of a group; all nodes of a group must use the same times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupSettings {
    /// How often a leader shows itself to its followers.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which a voter campaigns. A follower helps no other candidate for this time.
    pub election_timeout_minimum: Duration,
    /// Longest time without a leader after which a voter campaigns.
    pub election_timeout_maximum: Duration,
    /// How long a leader may rely on a majority's answer, from the moment that it sent the question.
    ///
    /// It must be shorter than `election_timeout_minimum`; the difference is the allowance for clocks of unequal rate.
    pub lease: Duration,
    /// How long a node waits for all of the electorate before a majority of it may form a group.
    pub formation_wait: Duration,
    /// How often a node without a leader asks its peers.
    pub formation_retry: Duration,
    /// After how long without a leader a member gives its group up when a majority wants to form a new one.
    pub abandon_after: Duration,
    /// Entries kept in the log before the host is asked for a snapshot; proposals are refused at twice this number.
    pub log_entries: usize,
    /// Bytes kept in the log before the host is asked for a snapshot; proposals are refused at twice this number.
    pub log_bytes: usize,
    /// Largest snapshot that is taken in, in bytes.
    pub snapshot_bytes: usize,
    /// The mechanisms in force; all of them outside tests.
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
    /// Checks that the times fit each other.
    ///
    /// # Errors
    ///
    /// Says which pair of settings contradicts the other.
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

/// Why a set of times cannot be used.
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

/// Switches that take one mechanism out, so that a test can show what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupMechanisms {
    /// A voter asks whether it could win before it raises the term.
    pub pre_vote: bool,
    /// A leader without contact to a majority steps down, and voters in contact with a leader elect no other.
    pub check_quorum: bool,
    /// A restarted node is another voter than the one that it was.
    pub incarnation_identity: bool,
    /// One change of voters at a time, agreed by a majority of the old and of the new voters.
    pub one_at_a_time: bool,
    /// Every quorum covers a majority of the electorate's addresses, so that it meets every forming.
    pub electorate_quorum: bool,
    /// A vote goes only to a candidate whose log is at least as complete.
    pub complete_log_vote: bool,
    /// A voter votes once in a term.
    pub single_vote: bool,
    /// A node that takes part in a forming takes no part in an older group any more.
    pub forming_fence: bool,
    /// A group formed without proof that nothing was lost says so.
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
