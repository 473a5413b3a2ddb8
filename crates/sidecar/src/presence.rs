//! Whether a node that gives no answer is there at all.
//!
//! A machine that is frozen or cut off takes connections or swallows bytes and says nothing, and a call to it would wait
//! until its deadline. So a node of which nothing is heard for longer than its calls take is asked on a connection of its
//! own; the question is put once, whoever waits for its answer.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::targets::Target;
use quillhatch_types::Timestamp;

use crate::body::Body;
use crate::node::Node;

/// The path at which a node says that it is there.
pub const PRESENCE_PATH: &str = "/quillhatch/presence";
/// How long the answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long the absence of an answer is believed.
const BELIEVED_FOR: Duration = Duration::from_millis(300);

/// How long ago a node must have been heard of to be taken as there.
const HEARD_LATELY: Duration = Duration::from_millis(60);

/// What is known of a node's presence.
#[derive(Clone, Copy, Debug)]
pub struct Presence {
    asked: Timestamp,
    is_there: bool,
}

/// Whether the node beside `target`, of which nothing was heard since `since`, is there.
pub async fn is_there(node: &Rc<Node>, target: &Target, since: Timestamp) -> bool {
    if !node.has(Mechanism::PresenceProbes) {
        return true;
    }
    let peer = target.registration.address.ip();
    let _asking = node.asking_presence.lock(peer).await;
    if node.balance.borrow().heard(&target.id) > since {
        return true;
    }
    let known = node.presences.borrow().get(&peer).copied();
    if known.is_some_and(|known| !known.is_there && node.now().since(known.asked) < BELIEVED_FOR) {
        return false;
    }
    let is_there = tokio::time::timeout(ANSWER_TIMEOUT, ask(node, peer)).await.unwrap_or(false);
    let presence = Presence { asked: node.now(), is_there };
    node.presences.borrow_mut().insert(peer, presence);
    if is_there {
        node.balance.borrow_mut().answered_presence(&target.id, presence.asked);
    } else {
        node.log(&format!("\"event\":\"node-silent\",\"peer\":\"{peer}\",\"target\":\"{}\"", target.id));
        node.balance.borrow_mut().silent(&target.id, node.now());
    }
    is_there
}

/// Whether the node beside `target` was heard of a moment ago, or says now that it is there.
///
/// A call that may run only once can't leave a node that turns out to be silent, so this comes before it is sent.
pub async fn is_there_now(node: &Rc<Node>, target: &Target) -> bool {
    let heard = node.balance.borrow().heard(&target.id);
    let now = node.now();
    now.since(heard) < HEARD_LATELY || is_there(node, target, now).await
}

async fn ask(node: &Rc<Node>, peer: IpAddr) -> bool {
    let request = Request::get(PRESENCE_PATH).header("host", peer.to_string()).body(Body::empty());
    let Ok(request) = request else { return false };
    let address = SocketAddr::new(peer, node.settings.inbound.port());
    let Ok((response, lease)) = node.peers.exchange(address, request).await else { return false };
    let is_whole = response.into_body().collect().await.is_ok();
    lease.release();
    is_whole
}
