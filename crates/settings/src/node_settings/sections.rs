//! The sections of the node settings and their default values.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use log::LevelFilter;
use quillhatch_types::ServiceName;

use super::Secret;

/// One key shared by all nodes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKey {
    /// The key number, by which frames refer to the key.
    pub id: u32,
    /// The key, at least [`MIN_SECRET_BYTES`] bytes.
    pub secret: Secret,
}

/// The minimum length of a fleet key, in bytes: the length of the tag of HMAC-SHA-256 (RFC 2104, section 3).
pub const MIN_SECRET_BYTES: usize = 32;

/// The fleet keys that the node accepts, and the one that it signs its own frames with.
///
/// Two keys can be accepted at a time, so that during a key rotation any two nodes always have a key in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKeys {
    /// The number of the key that signs outgoing frames; one of `accepted`.
    pub sending_key_id: u32,
    /// The keys that the node accepts: one or two.
    pub accepted: Vec<FleetKey>,
}

impl FleetKeys {
    /// The key that signs outgoing frames.
    pub fn sending_key(&self) -> Option<&FleetKey> {
        self.get(self.sending_key_id)
    }

    /// The accepted key with the number `id`.
    pub fn get(&self, id: u32) -> Option<&FleetKey> {
        self.accepted.iter().find(|key| key.id == id)
    }
}

/// Where and how often the node polls the platform for the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URLs without a trailing slash, tried in order; at least one.
    pub urls: Vec<String>,
    /// The time between two polls.
    pub poll_interval: Duration,
    /// The timeout of one poll.
    pub timeout: Duration,
}

impl PlatformSettings {
    /// The default time between two polls.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(1);
    /// The default timeout of one poll.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
}

/// The local back end of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSettings {
    /// The address at which the back end accepts connections.
    pub address: SocketAddr,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// The address of a separate listener for the back end's own outgoing calls, if any.
    pub outgoing_address: Option<SocketAddr>,
    /// The path of the health endpoint.
    pub health_path: String,
    /// The path of the load endpoint, if there is one.
    pub load_path: Option<String>,
    /// The time between two polls of these endpoints.
    pub poll_interval: Duration,
}

impl BackendSettings {
    /// The default path of the health endpoint.
    pub const DEFAULT_HEALTH_PATH: &'static str = "/health";
    /// The default time between two polls of the endpoints.
    pub const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);
}

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum size of a request header, in bytes; a larger one is answered with status 431.
    pub max_header_bytes: u64,
    /// The maximum size of a request body, in bytes; a larger one is answered with status 413. `None` for no limit.
    pub max_body_bytes: Option<u64>,
    /// The maximum size of a request body that is buffered in memory for retries, in bytes.
    pub retry_buffer_bytes: u64,
    /// The maximum number of simultaneous connections of callers.
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

/// How the node shuts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// The maximum time that a graceful shutdown waits for calls in flight.
    pub grace_period: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        StopSettings { grace_period: Duration::from_secs(120) }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[display("json")]
    Json,
    /// Human-readable text.
    #[display("text")]
    Text,
}

/// What is logged and how. Log lines go to standard error, because nodes can't rely on a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The most verbose level that is logged.
    pub level: LevelFilter,
    /// The format of log lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: LevelFilter::Info, format: LogFormat::Json }
    }
}

/// The timings of failure detection and of agreement in groups; they should be equal on all nodes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTimings {
    /// The time between two probes of a peer.
    pub probe_interval: Duration,
    /// The time after which an unanswered direct probe has failed.
    pub acknowledge_timeout: Duration,
    /// The time in which a suspected peer can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time between two heartbeats of a group's leader.
    pub heartbeat_interval: Duration,
    /// The time for which an owner may act after its last confirmation by a majority.
    pub lease: Duration,
    /// The minimum time without a heartbeat after which a voter starts an election.
    pub election_timeout_minimum: Duration,
    /// The maximum time without a heartbeat after which a voter starts an election. Each voter chooses its election
    /// timeout at random between the two.
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
