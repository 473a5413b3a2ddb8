//! Answers queries of other nodes for changes of the platform's store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use quillhatch_mesh::feed::long_poll_timeout;
use quillhatch_mesh::replica::{Position, ReplicaState};
use quillhatch_mesh::targets::PARTITION_GRACE;
use quillhatch_messages::generated::replica as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::Timestamp;
use tokio::time::timeout;

use super::codec::{decode_position, encode_configuration, encode_retained, encode_update};
use crate::body::{read_whole, Body};
use crate::local_target;
use crate::node::Node;
use crate::store_view::own_store_view;

/// The maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 1024;
/// How long the body of a query may take to arrive.
const QUERY_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The update that was encoded last. It is cached because most nodes that query one parent are at the same position.
#[derive(Default)]
pub struct EncodedUpdate {
    from: Position,
    to: ReplicaState,
    message: wire::ReplicaUpdate,
}

/// Answers a query as soon as there are changes, or after its hold time.
pub async fn serve_query(node: &Rc<Node>, body: Option<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let Some(query) = read_query(body).await else { return empty_response(StatusCode::BAD_REQUEST) };
    let position = query.position.as_ref().map(decode_position).unwrap_or_default();
    // A node that doesn't state its version gets configurations by their revisions only.
    let version = query.configuration.as_ref().map_or(u64::MAX, |held| held.version);
    let from = ReplicaState { position, version };
    let hold = Duration::from_millis(u64::from(query.hold_ms)).min(long_poll_timeout(false, &node.settings.bounds));
    if node.position().is_known() && !node.is_stopping() {
        // If the hold time ends first there are no changes, and the response says so.
        let _ = timeout(hold, advance_beyond(node, from)).await;
    }
    if !node.position().is_known() || node.is_stopping() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let retained = if query.wants_kept { unregistered(node) } else { Vec::new() };
    Response::new(Body::Buffered(encode_response(node, from, arrived, retained)))
}

async fn read_query(body: Option<Incoming>) -> Option<wire::ReplicaQuestion> {
    let bytes = timeout(QUERY_READ_TIMEOUT, read_whole(body?, MAX_QUERY_BYTES)).await.ok()?.ok()?;
    decode(&bytes).ok()
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Waits until this node's replica is ahead of `from`, or the node is known to have no access to the store. A query that
/// arrived before the loss is held while the node searches for another source, since it mostly finds one immediately.
async fn advance_beyond(node: &Node, from: ReplicaState) {
    if node.feed.store_loss.get().since().is_some() {
        return;
    }
    loop {
        let view_changed = node.feed.view_changed.notified();
        if node.replica.borrow().state().is_ahead_of(from)
            || node.feed.store_loss.get().is_confirmed()
            || node.is_stopping()
        {
            return;
        }
        view_changed.await;
    }
}

fn encode_response(node: &Node, from: ReplicaState, arrived: Timestamp, retained: Vec<wire::KeptTarget>) -> Bytes {
    let now = node.now();
    let lost_ms = node.feed.store_loss.get().since().map_or(0, |since| now.since(since).as_millis().max(1) as u64);
    let read_at = node.feed.store_read_at.get().unwrap_or_default();
    let update = encoded_update(node, from.position);
    let has_configuration = update.as_ref().is_some_and(|update| update.configuration.is_some());
    let replica = node.replica.borrow();
    let configuration = replica.configuration_after(from.version).filter(|_| !has_configuration);
    let proof = node.tenancy.replica_proof(&node.configuration.borrow(), arrived);
    let response = wire::ReplicaAnswer {
        update,
        configuration: configuration.map(|known| encode_configuration(0, known)),
        lost_ms,
        read_ms: age_at(arrived, read_at),
        kept: retained,
        proof: proof
            .map(|proof| wire::ReplicaProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms }),
    };
    encode(&response).into()
}

/// The targets that run without a registration: those that the list retains, and the local target if this node is
/// partitioned from the store. Draining ones are left out.
fn unregistered(node: &Node) -> Vec<wire::KeptTarget> {
    let now = node.now();
    let targets = node.targets.borrow();
    let local_id = node.local_target_id.borrow();
    let local = local_id.as_ref().filter(|_| own_store_view(node).store_unreachable).and_then(|id| targets.get(id));
    let local = local.map(|target| (target, now + PARTITION_GRACE));
    let all = local
        .into_iter()
        .chain(targets.retained())
        .filter(|(target, _)| !local_target::is_retained_and_draining(node, &target.id));
    all.map(|(target, until)| encode_retained(target, until, now)).collect()
}

/// How long before `arrived` the time `at` was, in milliseconds and rounded up; negative if it was after `arrived`.
fn age_at(arrived: Timestamp, at: Timestamp) -> i64 {
    let before = arrived.since(at).as_millis() as i64;
    let after = at.since(arrived).as_millis() as i64;
    before - after + 1
}

fn encoded_update(node: &Node, from: Position) -> Option<wire::ReplicaUpdate> {
    let to = node.replica.borrow().state();
    if from >= to.position {
        return None;
    }
    let mut last = node.feed.encoded_update.borrow_mut();
    if (last.from, last.to) != (from, to) {
        let update = node.replica.borrow().update_since(from, node.now())?;
        *last = EncodedUpdate { from, to, message: encode_update(&update) };
    }
    Some(last.message.clone())
}
