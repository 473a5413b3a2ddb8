//! A simulated node: its decisions, its faults, and the requests that it waits for.

use std::net::IpAddr;
use std::time::Duration;

use quillhatch_mesh::feed::{FeedRole, SoloReads, SourceChoice, StandbyReader, StoreAccessLoss};
use quillhatch_mesh::replica::{Position, Replica, ReplicaState};
use quillhatch_mesh::store_reader::{NextRead, StoreReader};
use quillhatch_types::Timestamp;

/// How the store responds to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    #[default]
    Available,
    /// Calls to the store fail at once.
    Refused,
    /// Calls to the store hang.
    Unresponsive,
}

/// A fault of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeFault {
    #[default]
    None,
    /// Its connections are refused.
    Crashed,
    /// It is frozen or unreachable: connections to it hang.
    Unresponsive,
    /// It always reports that it has access to the store and no changes, whatever its state.
    FalseStatus,
}

/// A query to another node that has no response yet.
pub(super) struct PendingQuery {
    pub(super) peer: usize,
    pub(super) is_upstream: bool,
    pub(super) sent: Timestamp,
    pub(super) long_poll: Duration,
    pub(super) from: ReplicaState,
}

/// A call to the store that has no response yet.
pub(super) struct PendingRead {
    pub(super) sent: Timestamp,
    pub(super) timeout: Duration,
    pub(super) read: NextRead,
}

/// A simulated node.
pub struct SimNode {
    pub machine: IpAddr,
    pub zone: String,
    pub replica: Replica,
    pub role: FeedRole,
    pub store_access: StoreAccess,
    pub fault: NodeFault,
    pub loss: StoreAccessLoss,
    /// Whether its last call to the store failed.
    pub own_call_failed: bool,
    pub store_read_at: Option<Timestamp>,
    /// Whether the last response of the store contained changes.
    pub(super) last_read_had_changes: bool,
    pub(super) source_choice: SourceChoice,
    pub(super) store_reader: StoreReader,
    pub(super) query: Option<PendingQuery>,
    pub(super) read: Option<PendingRead>,
    pub(super) standby_reader: StandbyReader,
    pub(super) standby_read: Option<PendingRead>,
    /// The position after which the standby watch was started.
    pub(super) standby_position: Position,
    pub(super) next_standby_read_at: Timestamp,
    pub(super) next_query_at: Timestamp,
    pub(super) next_read_at: Timestamp,
    pub(super) is_isolated: bool,
    /// Whether a source in the current round of failures was [`SourceVerdict::Unverified`].
    ///
    /// [`SourceVerdict::Unverified`]: quillhatch_mesh::feed::SourceVerdict::Unverified
    pub(super) has_unverified_source: bool,
    /// Whether any source in the current round of failures has responded.
    pub(super) has_response: bool,
    pub(super) solo_reads: SoloReads,
    pub(super) jitter: f64,
    /// When this node learned that another node has a later position, and which node.
    pub(super) ahead_peer: Option<(Timestamp, usize)>,
    /// The number of queries that it has responded to.
    pub answered_queries: usize,
    /// The number of changes in those responses.
    pub sent_changes: usize,
}

impl SimNode {
    /// A node that has just started and knows nothing.
    pub(super) fn new(machine: IpAddr, zone: String, jitter: f64) -> Self {
        SimNode {
            machine,
            zone,
            replica: Replica::default(),
            role: FeedRole::default(),
            store_access: StoreAccess::Available,
            fault: NodeFault::None,
            loss: StoreAccessLoss::default(),
            own_call_failed: false,
            store_read_at: Some(Timestamp::ZERO),
            last_read_had_changes: false,
            source_choice: SourceChoice::default(),
            store_reader: StoreReader::default(),
            query: None,
            read: None,
            standby_reader: StandbyReader::default(),
            standby_read: None,
            standby_position: Position::default(),
            next_standby_read_at: Timestamp::ZERO,
            next_query_at: Timestamp::ZERO,
            next_read_at: Timestamp::ZERO,
            is_isolated: false,
            has_unverified_source: false,
            has_response: false,
            solo_reads: SoloReads::default(),
            jitter,
            ahead_peer: None,
            answered_queries: 0,
            sent_changes: 0,
        }
    }

    pub fn position(&self) -> Position {
        self.replica.position()
    }

    pub fn is_connected(&self) -> bool {
        self.fault == NodeFault::None && self.store_access == StoreAccess::Available
    }
}
