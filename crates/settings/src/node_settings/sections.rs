//! The sections of the settings and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use log::LevelFilter;
use quillhatch_types::ServiceName;

use super::Secret;

/// One key shared by all nodes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKey {
    /// The number that frames name the key by.
    pub id: u32,
    /// The key, at least [`MIN_SECRET_BYTES`] bytes.
    pub secret: Secret,
}

/// The shortest fleet key, in bytes: the length of the tag of HMAC-SHA-256 (RFC 2104, section 3).
pub const MIN_SECRET_BYTES: usize = 32;

/// The keys that the node accepts, and the one that it sends with.
///
/// Two keys are accepted so that a key can be replaced without a moment at which two nodes have none in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKeys {
    /// The number of the key that the node sends with; one of `accepted`.
    pub sending_key_id: u32,
    /// The keys that the node accepts: one or two.
    pub accepted: Vec<FleetKey>,
}

impl FleetKeys {
    /// The key that the node sends with.
    pub fn sending_key(&self) -> Option<&FleetKey> {
        self.get(self.sending_key_id)
    }

    /// The accepted key with the number `id`.
    pub fn get(&self, id: u32) -> Option<&FleetKey> {
        self.accepted.iter().find(|key| key.id == id)
    }
}

/// Where and how often the platform is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URLs without a slash at the end, tried in order; at least one.
    pub urls: Vec<String>,
    /// The time between two reads.
    pub poll_interval: Duration,
    /// The longest time that one read may take.
    pub timeout: Duration,
}

impl PlatformSettings {
    /// The default time between two reads.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(1);
    /// The default longest time of one read.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
}

/// The back end beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSettings {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where the node listens for the calls that the back end makes, if it has an own listener for them.
    pub outgoing_address: Option<SocketAddr>,
    /// The path of its health endpoint.
    pub health_path: String,
    /// The path of its load endpoint, if it has one.
    pub load_path: Option<String>,
    /// The time between two looks at these endpoints.
    pub poll_interval: Duration,
}

impl BackendSettings {
    /// The default path of the health endpoint.
    pub const DEFAULT_HEALTH_PATH: &'static str = "/health";
    /// The default time between two looks at the endpoints.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);
}

/// What a caller may use up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The largest request header, in bytes; a larger one is answered with 431.
    pub max_header_bytes: u64,
    /// The largest request body, in bytes, or any size; a larger one is answered with 413.
    pub max_body_bytes: Option<u64>,
    /// The largest request body that is kept in memory so that it can be sent again, in bytes.
    pub retry_buffer_bytes: u64,
    /// The largest number of connections of callers at a time.
    pub max_connections: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            max_header_bytes: 32 << 10,
            max_body_bytes: None,
            retry_buffer_bytes: 64 << 10,
            max_connections: 4096,
        }
    }
}

/// How the node stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// The longest time that a planned stop waits for calls in flight.
    pub grace_period: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        StopSettings { grace_period: Duration::from_secs(120) }
    }
}

/// How a log line is written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object on each line.
    #[display("json")]
    Json,
    /// Text for people.
    #[display("text")]
    Text,
}

/// What is logged and how; lines go to the standard error stream, since machines have no disk to rely on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least important lines that are written.
    pub level: LevelFilter,
    /// How lines are written.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: LevelFilter::Info, format: LogFormat::Json }
    }
}

/// The timings of failure detection and agreement; all nodes of a deployment should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTimings {
    /// The time between two probes of a peer.
    pub probe_interval: Duration,
    /// The time after which a direct probe without an answer has failed.
    pub acknowledge_timeout: Duration,
    /// The time that a suspected peer has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time between two heartbeats of a group's leader.
    pub heartbeat_interval: Duration,
    /// The time for which an owner may act after a majority last confirmed it.
    pub lease: Duration,
    /// The shortest time without a heartbeat after which a voter calls an election.
    pub election_timeout_minimum: Duration,
    /// The longest such time; each voter draws its own between the two.
    pub election_timeout_maximum: Duration,
}

impl Default for ControlTimings {
    fn default() -> Self {
        ControlTimings {
            probe_interval: Duration::from_millis(500),
            acknowledge_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(700),
            heartbeat_interval: Duration::from_millis(100),
            lease: Duration::from_millis(500),
            election_timeout_minimum: Duration::from_millis(600),
            election_timeout_maximum: Duration::from_millis(1200),
        }
    }
}
