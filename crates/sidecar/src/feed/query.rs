//! Queries another node for changes of the platform's store, and applies its response.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::{Request, StatusCode};
use quillhatch_mesh::feed::{response_timeout, SourceStatus};
use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::replica::{Position, ReplicaState, UpdateError};
use quillhatch_mesh::targets::parse_target_id;
use quillhatch_messages::generated::replica as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::Timestamp;
use tokio::time::timeout;

use super::codec::{decode_configuration, decode_target, decode_update, encode_position, MalformedUpdate};
use super::FEED_PATH;
use crate::body::{read_whole, Body};
use crate::node::Node;
use crate::pool::ExchangeError;
use crate::store::{apply_update, on_targets_changed, take_configuration};

/// The maximum size of a response, in bytes: a configuration of a megabyte and some ten thousand targets.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a query to another node has failed.
#[derive(Debug, Display)]
pub(super) enum QueryError {
    /// The query timed out.
    #[display("the query timed out")]
    TimedOut,
    /// The request failed, or the response ended early.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The other node has no data or is stopping.
    #[display("status {_0}")]
    Status(StatusCode),
    /// The response can't be decoded.
    #[display("the response can't be decoded")]
    Undecodable,
    /// The update in the response is malformed.
    #[display("{_0}")]
    Malformed(MalformedUpdate),
    /// The update can't be applied to this node's replica.
    #[display("the update can't be applied: {_0:?}")]
    Update(UpdateError),
}

/// What a query requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requested {
    /// Changes; the other node holds the query while there are none.
    Changes {
        /// The maximum hold time.
        hold: Duration,
    },
    /// Changes at once, and also the targets that run without a registration.
    Unregistered,
}

/// Queries the node at `peer` and applies its response.
pub(super) async fn query(node: &Rc<Node>, peer: IpAddr, requested: Requested) -> Result<SourceStatus, QueryError> {
    let sent = node.now();
    let response = exchange(node, peer, requested).await?;
    if let Some(document) = &response.configuration {
        take_configuration(node, decode_configuration(document).map_err(QueryError::Malformed)?);
    }
    if let Some(update) = &response.update {
        let update = decode_update(update).map_err(QueryError::Malformed)?;
        // This node may have read a lagging replica of the store itself; the other node has had the time to catch up.
        node.targets_known.set(true);
        match apply_update(node, update) {
            // A later update may have arrived meanwhile.
            Ok(()) | Err(UpdateError::Outdated) => {}
            Err(error) => return Err(QueryError::Update(error)),
        }
    }
    retain_unregistered(node, &response.kept);
    if let Some(proof) = &response.proof {
        let proof = FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms };
        node.tenancy.record_replica_proof(proof, &node.configuration.borrow(), sent);
        log_if_behind(node, peer, proof);
    }
    let lost_for = Duration::from_millis(response.lost_ms);
    let now = node.now();
    let lost_since =
        (response.lost_ms > 0).then(|| Timestamp::ZERO + now.since(Timestamp::ZERO).saturating_sub(lost_for));
    Ok(SourceStatus { store_read_at: store_read_at(sent, response.read_ms), lost_since })
}

/// Logs that the other node's configuration is newer than this node's although its response was applied.
fn log_if_behind(node: &Node, peer: IpAddr, proof: FreshnessProof) {
    let in_force = node.configuration.borrow().version();
    if in_force >= proof.version {
        return;
    }
    let Position { era, revision } = node.position();
    let newest = proof.version;
    node.log_failure(|| {
        format!("\"event\":\"configuration-behind\",\"peer\":\"{peer}\",\"newest\":{newest},\"version\":{in_force},\"position\":\"{era}.{revision}\"")
    });
}

/// Converts the age of a store read, `age_ms` before this node's query arrived at the other node, to this node's clock.
/// The query was sent at `sent`. A read from before the start of this process's clock counts as made at the start.
fn store_read_at(sent: Timestamp, age_ms: i64) -> Option<Timestamp> {
    let sent_ms = i64::try_from(sent.since(Timestamp::ZERO).as_millis()).ok()?;
    let read_ms = sent_ms.saturating_sub(age_ms).max(0);
    Some(Timestamp::ZERO + Duration::from_millis(u64::try_from(read_ms).ok()?))
}

/// Adds targets that run without a registration to the list of targets. Malformed ones are skipped.
fn retain_unregistered(node: &Rc<Node>, retained: &[wire::KeptTarget]) {
    if retained.is_empty() {
        return;
    }
    let now = node.now();
    for wire::KeptTarget { target, left_ms } in retained {
        let Some(target) = target else { continue };
        let (Ok(id), Ok(registration)) = (parse_target_id(&target.id), decode_target(target)) else { continue };
        let remaining = Duration::from_millis(u64::from(*left_ms));
        node.targets.borrow_mut().retain_unregistered(id, registration, remaining, now);
    }
    node.grace_changed.notify_one();
    on_targets_changed(node);
}

async fn exchange(node: &Rc<Node>, peer: IpAddr, requested: Requested) -> Result<wire::ReplicaAnswer, QueryError> {
    let ReplicaState { position, version } = node.replica.borrow().state();
    let hold = match requested {
        Requested::Changes { hold } => hold,
        Requested::Unregistered => Duration::ZERO,
    };
    let message = wire::ReplicaQuestion {
        position: position.is_known().then(|| encode_position(position)),
        hold_ms: hold.as_millis() as u32,
        wants_kept: requested == Requested::Unregistered,
        configuration: Some(wire::HeldConfiguration { version }),
    };
    let request =
        Request::post(FEED_PATH).header("host", peer.to_string()).body(Body::Buffered(encode(&message).into()));
    let request = request.expect("the path and the host are valid in a request");
    let address = SocketAddr::new(peer, node.settings.inbound.port());
    let exchange = async {
        let (response, lease) = node.peers.exchange(address, request).await.map_err(QueryError::Exchange)?;
        let status = response.status();
        let bytes = read_whole(response.into_body(), MAX_RESPONSE_BYTES).await.map_err(|_| QueryError::Undecodable)?;
        lease.release();
        if status != StatusCode::OK {
            return Err(QueryError::Status(status));
        }
        decode(&bytes).map_err(|_| QueryError::Undecodable)
    };
    let time_limit = response_timeout(hold, &node.settings.bounds);
    timeout(time_limit, exchange).await.unwrap_or(Err(QueryError::TimedOut))
}
