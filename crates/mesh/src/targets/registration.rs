//! The registration of a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use quillhatch_types::Timestamp;

/// Identifies a target. A restarted target usually has a new identity; otherwise [`Registration::started`]
/// distinguishes its processes.
pub type TargetId = Arc<str>;

/// A name that can't be a target's identity.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{name:?} can't identify a target: only visible ASCII characters other than quotes, backslashes, commas and semicolons can")]
pub struct TargetIdError {
    /// The name.
    pub name: String,
}

/// Parses a target's identity. It travels in headers, as a value of its own and as one of several, so it must consist of
/// characters that have no meaning there. No target can be reached under another name.
///
/// # Errors
///
/// Returns an error if the name is empty or contains another character.
pub fn parse_target_id(name: &str) -> Result<TargetId, TargetIdError> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"\"\\,;".contains(&byte);
    match !name.is_empty() && name.bytes().all(is_allowed) {
        true => Ok(Arc::from(name)),
        false => Err(TargetIdError { name: name.to_owned() }),
    }
}

/// Identifies one process of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetProcess {
    /// The target.
    pub id: TargetId,
    /// Its [`Registration::started`], as far as it is known.
    pub started: u64,
}

/// A time at which the present process of a target was running, in Unix milliseconds of its machine's clock.
///
/// A target that restarts under its identity may announce something before its registration shows the restart, and the
/// start of the process that announced it is unknown then. This time orders the announcement among the starts of the
/// target's processes: it belongs to the last one that had started by then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningAt(pub u64);

impl RunningAt {
    /// Whether a process with this [`Registration::started`] started later, so that it is another one.
    pub fn precedes(self, started: u64) -> bool {
        started > self.0
    }
}

/// The registration of a target in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The service that the target provides.
    pub service: Arc<str>,
    /// Where the target listens; its node listens at the same IP address.
    pub address: SocketAddr,
    /// The zone of the target's machine.
    pub zone: Arc<str>,
    /// The number of calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target drains: it is about to stop and must get no new calls.
    pub draining: bool,
    /// How long the target will still be slow after its start.
    pub cold_for: Duration,
    /// When the target's process started, in Unix milliseconds of its machine's clock; zero if unknown.
    pub started: u64,
    /// The number of times the process has written its registration.
    pub sequence: u64,
}

impl Registration {
    /// Orders the registrations that one target has written: by the start of its process, then by the sequence of its
    /// writes.
    pub fn write_order(&self) -> (u64, u64) {
        (self.started, self.sequence)
    }

    /// Whether `other` says the same, apart from how long the target will still be slow: that time passes without a write.
    pub fn has_same_content(&self, other: &Registration) -> bool {
        Registration { cold_for: other.cold_for, ..self.clone() } == *other
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
    /// When it was first listed. Of two targets at one address, the one that was listed later is the current one.
    pub listed_at: Timestamp,
}

impl Target {
    /// The registration as it is at `now`, with the rest of the time for which the target is slow after its start.
    pub fn registration_at(&self, now: Timestamp) -> Registration {
        Registration { cold_for: now.until(self.cold_until), ..self.registration.clone() }
    }
}
