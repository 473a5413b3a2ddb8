//! The identity of the local target: the target that runs on this node's machine.
//!
//! The platform's list of targets lags, and a target that restarts may have a new identity at the same address. So the
//! node queries the target itself when the process starts and after the target was unreachable. The target's own
//! response overrides the list.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HOST};
use hyper::{Request, StatusCode};
use quillhatch_mesh::targets::{parse_target_id, TargetId, TargetTable};
use quillhatch_platform::headers;

use crate::body::Body;
use crate::gate;
use crate::headers::header_text;
use crate::hop::LocalTarget;
use crate::logging::JsonText;
use crate::node::Node;
use crate::pool::ExchangeError;

/// The timeout of an identity query to the target.
const IDENTITY_QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The local target, if its identity is known and it accepts calls.
pub fn available_target(node: &Node) -> Option<LocalTarget> {
    let id = node.local_target_id.borrow().clone()?;
    let is_draining = node.targets.borrow().is_draining(&id);
    (!is_draining && !is_retained_and_draining(node, &id))
        .then(|| LocalTarget { id: id.to_string(), service: node.settings.service.clone() })
}

/// Whether the gate accepts calls addressed to the target with the identity `expected`.
pub fn accepts_calls_for(node: &Node, expected: &str) -> bool {
    let targets = node.targets.borrow();
    let listed = targets.get(expected);
    if node.local_target_id.borrow().as_deref() == Some(expected) {
        return !targets.is_draining(expected);
    }
    if node.identity_verified.get() {
        return false;
    }
    if !node.targets_known.get() {
        return node.local_target_id.borrow().is_none();
    }
    listed.is_some_and(|target| {
        !targets.is_draining(expected) && target.registration.address == node.settings.local_target
    })
}

/// Queries the target's identity, unless it was verified since the target was last unreachable. Concurrent calls wait
/// for the same query.
pub async fn verify_identity(node: &Rc<Node>) {
    if node.identity_verified.get() {
        return;
    }
    let _guard = node.identity_query_lock.lock().await;
    if node.identity_verified.get() {
        return;
    }
    if let Identity::Known(id) = query_identity(node).await {
        record_identity(node, id);
    }
}

/// The result of an identity query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The target responded with this identity.
    Known(TargetId),
    /// The connection was refused: no target listens at the address.
    Refused,
    /// The query failed in another way, timed out, or the response names no identity.
    Unknown,
}

/// The target's response to a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthResponse {
    /// The target's identity.
    pub identity: Identity,
    /// Whether the target is draining or reports itself unhealthy. A target that only refuses the request because it is
    /// out of capacity is neither.
    pub is_draining: bool,
}

impl HealthResponse {
    fn no_response(identity: Identity) -> Self {
        HealthResponse { identity, is_draining: false }
    }
}

/// The identity that a response of the target names, if it can be one.
pub fn reported_id(node: &Node, response_headers: &HeaderMap) -> Option<TargetId> {
    match parse_target_id(header_text(response_headers, headers::INSTANCE_ID)?) {
        Ok(id) => Some(id),
        Err(error) => {
            node.log_failure(|| format!("\"event\":\"target-id-unusable\",\"why\":{}", JsonText(&error)));
            None
        }
    }
}

/// Queries the target's identity.
pub async fn query_identity(node: &Rc<Node>) -> Identity {
    query_health(node).await.identity
}

/// Queries the target's health check for its identity and whether it is draining.
pub async fn query_health(node: &Rc<Node>) -> HealthResponse {
    let unknown = HealthResponse::no_response(Identity::Unknown);
    let Some(path) = health_path(node) else { return unknown };
    let address = node.settings.local_target;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let Ok(request) = request else { return unknown };
    let exchange = async {
        let (response, lease) = match node.target.exchange(address, request).await {
            Ok(exchanged) => exchanged,
            Err(ExchangeError::ConnectionRefused) => return HealthResponse::no_response(Identity::Refused),
            Err(_) => return HealthResponse::no_response(Identity::Unknown),
        };
        let id = reported_id(node, response.headers());
        if let Some(id) = &id {
            gate::record_health_check(node, id, lease.sent_at(), response.headers());
        }
        let is_full = response.headers().contains_key(headers::REQUEST_NOT_RUN);
        let is_draining = response.status() == StatusCode::SERVICE_UNAVAILABLE && !is_full;
        lease.release_after(response.into_body());
        HealthResponse { identity: id.map_or(Identity::Unknown, Identity::Known), is_draining }
    };
    tokio::time::timeout(IDENTITY_QUERY_TIMEOUT, exchange).await.unwrap_or(unknown)
}

fn health_path(node: &Node) -> Option<String> {
    let configuration = node.current_configuration()?;
    let service = configuration.services.get(node.settings.service.as_str())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

/// Records the identity that the target reported, and updates the target list and the gate if it changed.
pub fn record_identity(node: &Rc<Node>, id: TargetId) {
    node.identity_verified.set(true);
    node.identity_received_at.set(node.now());
    let former = node.local_target_id.borrow().clone();
    gate::target_identified(node, &id);
    if former.as_ref() == Some(&id) {
        return;
    }
    let former = former.as_deref().unwrap_or_default();
    node.log(&format!("\"event\":\"target-told\",\"target\":{},\"before\":{}", JsonText(&id), JsonText(former)));
    let now = node.now();
    node.targets.borrow_mut().replace_at_address(former, id.clone(), &node.settings.service, now);
    *node.local_target_id.borrow_mut() = Some(id);
    update_gate(node);
}

/// Marks the target's identity as unverified: the target was unreachable, and another one may respond next.
pub fn mark_unverified(node: &Node) {
    node.identity_verified.set(false);
}

/// Handles a restart of the target under the same identity, which the list shows: the calls that it was running were
/// interrupted. Its new process has started at `started` ([`quillhatch_mesh::targets::Registration::started`]).
pub fn handle_restart(node: &Rc<Node>, id: &TargetId, started: u64) {
    gate::target_restarted(node, id);
    gate::forget_status_before(node, id, started);
    mark_unverified(node);
}

/// Whether another target of this service was listed at the local target's address after the current target last
/// reported its identity and, if the current one is still listed, after that one was listed.
///
/// One response of the store may remove the current target and add its successor. When only listed targets were
/// compared, the gate refused the successor's calls for 23 s in a soak test.
fn has_successor(node: &Node, targets: &TargetTable) -> bool {
    let current = node.local_target_id.borrow();
    let Some(current) = current.as_ref() else { return false };
    let reported_at = node.identity_received_at.get();
    let since = targets.get(current).map_or(reported_at, |known| known.listed_at.max(reported_at));
    let mut others = targets.at_address(node.settings.local_target).filter(|other| other.id != *current);
    others.any(|other| other.listed_at > since && *other.registration.service == *node.settings.service)
}

/// The local target, if the list retains it without a registration.
pub fn retained_target(node: &Node) -> Option<TargetId> {
    let current = node.local_target_id.borrow();
    current.as_ref().filter(|id| node.targets.borrow().grace_period(id).is_some()).cloned()
}

/// Whether the target `id` is the local one, is retained without a registration, and has reported that it is draining.
pub fn is_retained_and_draining(node: &Node, id: &TargetId) -> bool {
    node.retained_target.draining.borrow().as_ref() == Some(id) && node.targets.borrow().grace_period(id).is_some()
}

/// Updates the local target, the gate's slots and whether the gate is open from the list of targets.
pub fn update_gate(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    if has_successor(node, &targets) {
        // The target restarted, and its connections don't show it yet. The next call queries its identity.
        mark_unverified(node);
    }
    let verified = node.local_target_id.borrow().clone().filter(|_| node.identity_verified.get());
    let listed = match &verified {
        Some(id) => targets.get(id).cloned(),
        None => targets
            .at_address(node.settings.local_target)
            .filter(|target| !target.registration.draining && *target.registration.service == *node.settings.service)
            .max_by_key(|target| target.listed_at)
            .cloned(),
    };
    let is_verified_draining = verified.as_ref().is_some_and(|id| targets.is_draining(id));
    drop(targets);
    if let Some(target) = &listed {
        node.gate.borrow_mut().set_slots(target.registration.slots);
    }
    let is_draining = is_verified_draining
        || listed
            .as_ref()
            .is_some_and(|target| target.registration.draining || is_retained_and_draining(node, &target.id));
    // A verified target may not be listed yet. One that was listed before and no longer is was removed.
    let is_removed =
        listed.is_none() && verified.as_ref().is_none_or(|id| node.last_listed_target.borrow().as_ref() == Some(id));
    if let Some(target) = &listed {
        *node.last_listed_target.borrow_mut() = Some(target.id.clone());
        *node.local_target_id.borrow_mut() = Some(target.id.clone());
    }
    if retained_target(node).is_some() {
        node.retained_target.registration_ended.notify_one();
    }
    if is_draining || is_removed || node.is_stopping() {
        node.gate.borrow_mut().close();
    } else {
        node.gate.borrow_mut().open();
    }
    gate::evict_waiting_calls(node);
    gate::admit_waiting_calls(node);
}
