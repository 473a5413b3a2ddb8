//! What a target registers of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// Identifies a target. One that starts again mostly has a new one; else its [`Registration::started`] tells its lives apart.
pub type TargetId = Arc<str>;

/// The registration of a target in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens; its node listens at the same IP address.
    pub address: SocketAddr,
    /// The zone in which it stands.
    pub zone: Arc<str>,
    /// The calls that it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// For how long it will be slow after its start.
    pub cold_for: Duration,
    /// When the target started, in milliseconds of its own clock; zero if it does not tell.
    pub started: u64,
    /// How often it has written its registration since.
    pub sequence: u64,
}

impl Registration {
    /// Orders what one target has written: by its lives, and within a life by its writes.
    pub fn write_order(&self) -> (u64, u64) {
        (self.started, self.sequence)
    }
}

/// A listed target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its identity.
    pub id: TargetId,
    /// Its registration.
    pub registration: Registration,
    /// Until when it is slow after its start.
    pub cold_until: Timestamp,
    /// When it was listed first; of two targets at one address the later one is the present one.
    pub listed_at: Timestamp,
}
