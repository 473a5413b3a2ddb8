//! Asks another node for what has changed in the platform's store, and takes its answer over.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use quillhatch_mesh::feed::{response_timeout, SourceStatus};
use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::replica::UpdateError;
use quillhatch_messages::generated::replica as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::Timestamp;
use tokio::time::timeout;

use super::codec::{decode_target, decode_update, encode_position, MalformedUpdate};
use super::FEED_PATH;
use crate::body::Body;
use crate::node::Node;
use crate::pool::ExchangeError;
use crate::store::{changed, take};

/// Why another node's answer is of no use.
#[derive(Debug, Display)]
pub(super) enum QuestionError {
    /// There was no answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// There was no whole answer.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// It knows nothing, or stops.
    #[display("status {_0}")]
    Status(StatusCode),
    /// The answer can't be understood.
    #[display("the answer can't be read")]
    Unreadable,
    /// The update in the answer can't be understood.
    #[display("{_0}")]
    Malformed(MalformedUpdate),
    /// The update does not fit this node's replica.
    #[display("the update does not fit: {_0:?}")]
    Update(UpdateError),
}

/// What another node is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asked {
    /// What is new; the question may be held if there is nothing.
    News {
        /// For how long.
        hold: Duration,
    },
    /// Besides, the targets that serve without a registration.
    Unregistered,
}

/// Asks the node at `peer` and takes over what it tells.
pub(super) async fn ask(node: &Rc<Node>, peer: IpAddr, asked: Asked) -> Result<SourceStatus, QuestionError> {
    let sent = node.now();
    let answer = exchange(node, peer, asked).await?;
    if let Some(update) = &answer.update {
        let update = decode_update(update).map_err(QuestionError::Malformed)?;
        // What this node has read itself may be from a copy that lags; the other one has had the time to catch up.
        node.targets_known.set(true);
        match take(node, update) {
            // Others may have told more meanwhile.
            Ok(()) | Err(UpdateError::Outdated) => {}
            Err(error) => return Err(QuestionError::Update(error)),
        }
    }
    retain_unregistered(node, &answer.kept);
    if let Some(proof) = &answer.proof {
        let proof = FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms };
        node.tenancy.learnt(proof, &node.configuration.borrow(), sent);
    }
    let lost = Duration::from_millis(answer.lost_ms);
    let now = node.now();
    let lost_since = (answer.lost_ms > 0).then(|| Timestamp::ZERO + now.since(Timestamp::ZERO).saturating_sub(lost));
    Ok(SourceStatus { store_read_at: read_at(sent, answer.read_ms), lost_since })
}

/// When the store was read that was read `age_ms` before this node's question, sent at `sent`, has arrived. What was read before this
/// process's clock begins counts as read then.
fn read_at(sent: Timestamp, age_ms: i64) -> Option<Timestamp> {
    let sent_ms = i64::try_from(sent.since(Timestamp::ZERO).as_millis()).ok()?;
    let read_ms = sent_ms.saturating_sub(age_ms).max(0);
    Some(Timestamp::ZERO + Duration::from_millis(u64::try_from(read_ms).ok()?))
}

/// Lists targets that serve without a registration. One that can't be read is left out.
fn retain_unregistered(node: &Rc<Node>, kept: &[wire::KeptTarget]) {
    if kept.is_empty() {
        return;
    }
    let now = node.now();
    for wire::KeptTarget { target, left_ms } in kept {
        let Some(target) = target else { continue };
        let Ok(registration) = decode_target(target) else { continue };
        let (id, left) = (Arc::from(target.id.as_str()), Duration::from_millis(u64::from(*left_ms)));
        node.targets.borrow_mut().retain_unregistered(id, registration, left, now);
    }
    node.grace_changed.notify_one();
    changed(node);
}

async fn exchange(node: &Rc<Node>, peer: IpAddr, asked: Asked) -> Result<wire::ReplicaAnswer, QuestionError> {
    let position = node.position();
    let hold = match asked {
        Asked::News { hold } => hold,
        Asked::Unregistered => Duration::ZERO,
    };
    let question = wire::ReplicaQuestion {
        position: position.is_known().then(|| encode_position(position)),
        hold_ms: hold.as_millis() as u32,
        wants_kept: asked == Asked::Unregistered,
    };
    let request =
        Request::post(FEED_PATH).header("host", peer.to_string()).body(Body::Buffered(encode(&question).into()));
    let request = request.expect("the path and the host are made of plain characters");
    let address = SocketAddr::new(peer, node.settings.inbound.port());
    let exchange = async {
        let (response, lease) = node.peers.exchange(address, request).await.map_err(QuestionError::Exchange)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let bytes = body.map_err(|_| QuestionError::Unreadable)?.to_bytes();
        lease.release();
        if status != StatusCode::OK {
            return Err(QuestionError::Status(status));
        }
        decode(&bytes).map_err(|_| QuestionError::Unreadable)
    };
    let longest = response_timeout(hold, &node.settings.bounds);
    timeout(longest, exchange).await.unwrap_or(Err(QuestionError::TimedOut))
}
