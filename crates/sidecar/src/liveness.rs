//! Liveness probes of nodes that don't respond.
//!
//! A machine that is frozen or partitioned accepts connections or packets and never responds, so a call to it would
//! wait until its deadline. A node from which nothing was received for longer than its calls take is therefore probed
//! on a separate connection. Concurrent callers share one probe.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::targets::Target;
use quillhatch_types::Timestamp;

use crate::body::Body;
use crate::logging::JsonText;
use crate::node::Node;

/// The path at which a node responds to liveness probes.
pub const LIVENESS_PATH: &str = "/quillhatch/presence";
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the result of a failed probe is reused.
pub const FAILURE_CACHE_TIME: Duration = Duration::from_millis(300);
/// The maximum age of the last contact with a node for which the node counts as live without a probe.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(60);

/// The result of the last probe of a node.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResult {
    finished_at: Timestamp,
    is_live: bool,
}

/// Whether the node of `target`, from which nothing was received since `since`, is live. Probes it unless a recent
/// probe failed.
pub async fn is_live(node: &Rc<Node>, target: &Target, since: Timestamp) -> bool {
    if !node.is_enabled(Mechanism::LivenessProbes) {
        return true;
    }
    let peer = target.registration.address.ip();
    let _guard = node.probe_locks.lock(peer).await;
    if node.load_balancer.borrow().last_contact(&target.id) > since {
        return true;
    }
    let last = node.probe_results.borrow().get(&peer).copied();
    if last.is_some_and(|last| !last.is_live && node.now().since(last.finished_at) < FAILURE_CACHE_TIME) {
        return false;
    }
    let is_live = tokio::time::timeout(PROBE_TIMEOUT, probe(node, peer)).await.unwrap_or(false);
    let result = ProbeResult { finished_at: node.now(), is_live };
    node.probe_results.borrow_mut().insert(peer, result);
    if is_live {
        node.load_balancer.borrow_mut().record_contact(&target.id, result.finished_at);
    } else {
        node.log(&format!("\"event\":\"node-silent\",\"peer\":\"{peer}\",\"target\":{}", JsonText(&target.id)));
        node.load_balancer.borrow_mut().record_unresponsive(&target.id, node.now());
    }
    is_live
}

/// Whether something was received from the node of `target` within `MAX_CONTACT_AGE`, or it responds to a probe now.
///
/// A call that may run only once can't be retried elsewhere after it was sent to a node that doesn't respond, so this
/// check precedes it.
pub async fn is_live_now(node: &Rc<Node>, target: &Target) -> bool {
    let last_contact = node.load_balancer.borrow().last_contact(&target.id);
    let now = node.now();
    now.since(last_contact) < MAX_CONTACT_AGE || is_live(node, target, now).await
}

async fn probe(node: &Rc<Node>, peer: IpAddr) -> bool {
    let request = Request::get(LIVENESS_PATH).header("host", peer.to_string()).body(Body::empty());
    let Ok(request) = request else { return false };
    let address = SocketAddr::new(peer, node.settings.inbound.port());
    let Ok((response, lease)) = node.peers.exchange(address, request).await else { return false };
    lease.release_after(response.into_body());
    true
}
