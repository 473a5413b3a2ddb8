//! Answers the questions of other nodes for what has changed in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use quillhatch_mesh::feed::long_poll_timeout;
use quillhatch_mesh::replica::Position;
use quillhatch_mesh::targets::PARTITION_GRACE;
use quillhatch_messages::generated::replica as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::Timestamp;
use tokio::time::timeout;

use super::codec::{decode_position, encode_kept, encode_update};
use crate::body::{read_up_to, Body, ReadBody};
use crate::node::Node;
use crate::present_target;
use crate::reach::own_reach;

/// The largest question in bytes.
const LARGEST_QUESTION: usize = 1024;

/// The last update that was encoded: the nodes that ask one parent mostly stand at one position.
#[derive(Default)]
pub struct EncodedUpdate {
    from: Position,
    to: Position,
    message: wire::ReplicaUpdate,
}

/// Answers a question as soon as there is something new, or after the time for which it may be held.
pub async fn answer(node: &Rc<Node>, body: Option<Incoming>) -> Response<Body> {
    let arrived = node.now();
    let Some(question) = read_question(body).await else { return refusal(StatusCode::BAD_REQUEST) };
    let from = question.position.as_ref().map(decode_position).unwrap_or_default();
    let hold = Duration::from_millis(u64::from(question.hold_ms)).min(long_poll_timeout(false, &node.settings.bounds));
    if node.position().is_known() && !node.is_stopping() {
        // Over its time there is nothing new, which is the answer.
        let _ = timeout(hold, reach_beyond(node, from)).await;
    }
    if !node.position().is_known() || node.is_stopping() {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    let kept = if question.wants_kept { unregistered(node) } else { Vec::new() };
    Response::new(Body::Buffered(render(node, from, arrived, kept)))
}

async fn read_question(body: Option<Incoming>) -> Option<wire::ReplicaQuestion> {
    let Ok(ReadBody::Complete(bytes)) = read_up_to(body?, LARGEST_QUESTION).await else { return None };
    decode(&bytes).ok()
}

fn refusal(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Ends once this node's replica reaches beyond `from`, or has no way to the store. A question that came before is held while the node looks
/// for another way: it mostly finds one at once.
async fn reach_beyond(node: &Node, from: Position) {
    if node.feed.loss.get().since().is_some() {
        return;
    }
    loop {
        let advanced = node.feed.advanced.notified();
        if node.position() > from || node.feed.loss.get().is_confirmed() || node.is_stopping() {
            return;
        }
        advanced.await;
    }
}

fn render(node: &Node, from: Position, arrived: Timestamp, kept: Vec<wire::KeptTarget>) -> Bytes {
    let now = node.now();
    let lost = node.feed.loss.get().since().map_or(0, |since| now.since(since).as_millis().max(1) as u64);
    let read = node.feed.read_at.get().unwrap_or_default();
    let proof = node.tenancy.own_proof(&node.configuration.borrow(), arrived);
    let answer = wire::ReplicaAnswer {
        update: encoded_update(node, from),
        lost_ms: lost,
        read_ms: age_at(arrived, read),
        kept,
        proof: proof
            .map(|proof| wire::ReplicaProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms }),
    };
    encode(&answer).into()
}

/// The targets that serve without a registration: those that are kept, and the own one of a node that is cut off.
fn unregistered(node: &Node) -> Vec<wire::KeptTarget> {
    let now = node.now();
    let targets = node.targets.borrow();
    let present = node.present.borrow();
    let own = present.as_ref().filter(|_| own_reach(node).store_unreachable).and_then(|present| targets.get(present));
    let own = own.map(|target| (target, now + PARTITION_GRACE));
    let all = own.into_iter().chain(targets.retained()).filter(|(target, _)| !present_target::leaves(node, &target.id));
    all.map(|(target, until)| encode_kept(target, now.until(until))).collect()
}

/// How long before `arrived` the moment `at` was, in milliseconds and rounded up; negative if it was after it.
fn age_at(arrived: Timestamp, at: Timestamp) -> i64 {
    let before = arrived.since(at).as_millis() as i64;
    let after = at.since(arrived).as_millis() as i64;
    before - after + 1
}

fn encoded_update(node: &Node, from: Position) -> Option<wire::ReplicaUpdate> {
    let to = node.position();
    if from >= to {
        return None;
    }
    let mut last = node.feed.encoded.borrow_mut();
    if (last.from, last.to) != (from, to) {
        let update = node.replica.borrow().update_since(from, node.now())?;
        *last = EncodedUpdate { from, to, message: encode_update(&update) };
    }
    Some(last.message.clone())
}
