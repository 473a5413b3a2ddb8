//! Settings of the owner and of the voter, with their defaults.

use std::time::Duration;

use quillhatch_types::ServiceConfiguration;

use crate::message::MAX_ANSWER_BYTES;

/// How long a released claim is retained, so that a delayed duplicate of its first record does not restore it.
pub const RELEASED_RETENTION: Duration = Duration::from_secs(10);

/// The default limit on the recorded answers that one owner or voter retains per service, in bytes.
pub const ANSWER_CAPACITY_BYTES: usize = 32 * 1024 * 1024;

/// Settings of a [`ClaimOwner`](crate::ClaimOwner).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerSettings {
    /// How long a claim is retained after its call ended or, if no end was reported, after its deadline.
    pub retention: Duration,
    /// The maximum number of claims that the owner holds; further new claims are refused.
    pub capacity: usize,
    /// The maximum size of an answer that is recorded, in bytes.
    pub replay_limit_bytes: usize,
    /// The maximum total size of recorded answers, in bytes; further claims finish without an answer.
    pub answer_capacity_bytes: usize,
    /// The time after which an unanswered message is sent again. It doubles with each try, up to a maximum, when the
    /// end of a claim is sent.
    pub retry_interval: Duration,
    /// How many times the record of a new claim is sent before the claim is released and the call refused.
    pub record_tries: u8,
    /// How many times the end of a claim is sent to a voter that does not answer.
    pub settle_tries: u8,
    /// The retry-after time sent to callers while a slot is being taken over or moved.
    pub moving_retry_after: Duration,
}

/// Settings of a [`ClaimVoter`](crate::ClaimVoter).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterSettings {
    /// The maximum number of claims that the voter holds; further new claims are refused.
    pub capacity: usize,
    /// The maximum total size of recorded answers, in bytes; further claims finish without an answer.
    pub answer_capacity_bytes: usize,
}

impl OwnerSettings {
    /// Derives the settings from a service's configuration.
    pub fn from_configuration(service: &ServiceConfiguration) -> Self {
        OwnerSettings {
            retention: service.claim_retention,
            capacity: service.claim_capacity as usize,
            replay_limit_bytes: (service.replay_limit_bytes as usize).min(MAX_ANSWER_BYTES),
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
    /// Derives the settings from a service's configuration.
    pub fn from_configuration(service: &ServiceConfiguration) -> Self {
        VoterSettings { capacity: service.claim_capacity as usize, ..VoterSettings::default() }
    }
}

impl Default for VoterSettings {
    fn default() -> Self {
        VoterSettings { capacity: 100_000, answer_capacity_bytes: ANSWER_CAPACITY_BYTES }
    }
}
