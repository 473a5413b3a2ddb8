//! Settings of the owner and of the voter, with their defaults.

use std::time::Duration;

use quillhatch_types::ServiceConfiguration;

use crate::message::MAXIMUM_ANSWER_BYTES;

/// How long a released claim is remembered, so that a late copy of its first record does not bring it back.
pub const RELEASED_RETENTION: Duration = Duration::from_secs(10);

/// The bytes of recorded answers that one owner or voter keeps per service, if nothing else is set.
pub const ANSWER_CAPACITY_BYTES: usize = 32 * 1024 * 1024;

/// Settings of a [`ClaimOwner`](crate::ClaimOwner).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerSettings {
    /// How long a claim is kept after its call ended or, if it never did, after its deadline.
    pub retention: Duration,
    /// The largest number of claims the owner holds; new ones are refused beyond it.
    pub capacity: usize,
    /// The largest answer that is recorded, in bytes.
    pub replay_limit_bytes: usize,
    /// The largest sum of recorded answers, in bytes; beyond it claims finish without an answer.
    pub answer_capacity_bytes: usize,
    /// The time after which an unanswered message is sent again; doubled for each further try of a finished claim.
    pub retry_interval: Duration,
    /// How often the record of a new claim is sent before the claim is given up.
    pub record_tries: u8,
    /// How often the end of a claim is sent to a voter that does not answer.
    pub settle_tries: u8,
    /// What callers are told to wait when a slot is being taken over or moved.
    pub moving_retry_after: Duration,
}

/// Settings of a [`ClaimVoter`](crate::ClaimVoter).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSettings {
    /// The largest number of claims; new ones are refused beyond it.
    pub capacity: usize,
    /// The largest sum of recorded answers, in bytes; beyond it claims finish without an answer.
    pub answer_capacity_bytes: usize,
}

impl OwnerSettings {
    /// The settings that a service's configuration asks for.
    pub fn from_configuration(service: &ServiceConfiguration) -> Self {
        OwnerSettings {
            retention: service.claim_retention,
            capacity: service.claim_capacity as usize,
            replay_limit_bytes: (service.replay_limit_bytes as usize).min(MAXIMUM_ANSWER_BYTES),
            ..OwnerSettings::default()
        }
    }
}

impl Default for OwnerSettings {
    fn default() -> Self {
        OwnerSettings {
            retention: Duration::from_secs(3600),
            capacity: 100_000,
            replay_limit_bytes: 4096,
            answer_capacity_bytes: ANSWER_CAPACITY_BYTES,
            retry_interval: Duration::from_millis(40),
            record_tries: 4,
            settle_tries: 8,
            moving_retry_after: Duration::from_millis(100),
        }
    }
}

impl VoterSettings {
    /// The settings that a service's configuration asks for.
    pub fn from_configuration(service: &ServiceConfiguration) -> Self {
        VoterSettings { capacity: service.claim_capacity as usize, ..VoterSettings::default() }
    }
}

impl Default for VoterSettings {
    fn default() -> Self {
        VoterSettings { capacity: 100_000, answer_capacity_bytes: ANSWER_CAPACITY_BYTES }
    }
}
