//! Who the target beside this node is.
//!
//! The platform's list lags, and a target that starts again is another one at the same address. So the target itself is
//! asked when the process starts and after the target was out of reach, and what it says goes before the list.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use quillhatch_mesh::targets::{TargetId, TargetTable};
use quillhatch_platform::headers;

use crate::body::Body;
use crate::gate;
use crate::headers::text;
use crate::hop::PresentTarget;
use crate::node::Node;
use crate::pool::ExchangeError;

/// How long the target may take to tell its identity.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// The target beside this node, if it is known and takes calls.
pub fn available_target(node: &Node) -> Option<PresentTarget> {
    let id = node.local_target_id.borrow().clone()?;
    let is_draining = node.targets.borrow().get(&id).is_some_and(|target| target.registration.draining);
    (!is_draining && !is_retained_and_draining(node, &id))
        .then(|| PresentTarget { id: id.to_string(), service: node.settings.service.clone() })
}

/// Whether calls for the target with this identity are taken.
pub fn accepts_calls_for(node: &Node, expected: &str) -> bool {
    let targets = node.targets.borrow();
    let listed = targets.get(expected);
    if node.local_target_id.borrow().as_deref() == Some(expected) {
        return !listed.is_some_and(|target| target.registration.draining);
    }
    if node.identity_verified.get() {
        return false;
    }
    if !node.targets_known.get() {
        return node.local_target_id.borrow().is_none();
    }
    listed.is_some_and(|target| {
        !target.registration.draining && target.registration.address == node.settings.local_target
    })
}

/// Asks the target who it is, unless it has told since it was last out of reach. Calls that arrive meanwhile wait for the
/// one question.
pub async fn verify_identity(node: &Rc<Node>) {
    if node.identity_verified.get() {
        return;
    }
    let _asking = node.identity_query_lock.lock().await;
    if node.identity_verified.get() {
        return;
    }
    if let Identity::Known(id) = query_identity(node).await {
        record_identity(node, &id);
    }
}

/// What the target's machine answers when it is asked for the target's identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// A target with this identity is there.
    Known(String),
    /// No target listens.
    Refused,
    /// Nothing is known: no answer in time, or one that names no identity.
    Unknown,
}

/// What the target's health check tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthResponse {
    /// Who the target is.
    pub identity: Identity,
    /// Whether it is leaving, or takes itself for unhealthy. A target that is only full does not tell.
    pub is_draining: bool,
}

impl HealthResponse {
    fn without_answer(identity: Identity) -> Self {
        HealthResponse { identity, is_draining: false }
    }
}

/// Asks the target for its identity.
pub async fn query_identity(node: &Rc<Node>) -> Identity {
    query_health(node).await.identity
}

/// Asks the target for its identity and whether it is leaving.
pub async fn query_health(node: &Rc<Node>) -> HealthResponse {
    let unknown = HealthResponse::without_answer(Identity::Unknown);
    let Some(path) = health_path(node) else { return unknown };
    let address = node.settings.local_target;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let Ok(request) = request else { return unknown };
    let exchange = async {
        let (response, lease) = match node.target.exchange(address, request).await {
            Ok(answered) => answered,
            Err(ExchangeError::Refused) => return HealthResponse::without_answer(Identity::Refused),
            Err(_) => return HealthResponse::without_answer(Identity::Unknown),
        };
        let id = text(response.headers(), headers::INSTANCE_ID).map(str::to_owned);
        let is_full = response.headers().contains_key(headers::REQUEST_NOT_RUN);
        let is_draining = response.status() == StatusCode::SERVICE_UNAVAILABLE && !is_full;
        if response.into_body().collect().await.is_ok() {
            lease.keep();
        }
        HealthResponse { identity: id.map_or(Identity::Unknown, Identity::Known), is_draining }
    };
    tokio::time::timeout(VERIFY_TIMEOUT, exchange).await.unwrap_or(unknown)
}

fn health_path(node: &Node) -> Option<String> {
    let configuration = node.current_configuration()?;
    let service = configuration.services.get(node.settings.service.as_str())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

/// Takes note of who the target says that it is.
pub fn record_identity(node: &Rc<Node>, id: &str) {
    node.identity_verified.set(true);
    node.identity_received_at.set(node.now());
    let former = node.local_target_id.borrow().clone();
    gate::identified(node, id);
    if former.as_deref() == Some(id) {
        return;
    }
    let former = former.as_deref().unwrap_or_default();
    node.log(&format!("\"event\":\"target-told\",\"target\":\"{id}\",\"before\":\"{former}\""));
    let now = node.now();
    node.targets.borrow_mut().succeed(former, Arc::from(id), &node.settings.service, now);
    *node.local_target_id.borrow_mut() = Some(Arc::from(id));
    update_gate(node);
}

/// The target is out of reach; whoever answers next may be another one.
pub fn mark_unverified(node: &Node) {
    node.identity_verified.set(false);
}

/// The list shows that the target has started again under its identity: whatever it worked on has broken off.
pub fn handle_restart(node: &Rc<Node>, id: &TargetId) {
    gate::target_restarted(node, id);
    mark_unverified(node);
}

/// Whether the list has brought a target at this machine's address since the target told its identity, and after the one that
/// the gate stands before, if that is still listed. Both may change in one answer of the store; compared only with a listed one, the new
/// target was refused for 23 s in a soak.
fn has_successor(node: &Node, targets: &TargetTable) -> bool {
    let present = node.local_target_id.borrow();
    let Some(present) = present.as_ref() else { return false };
    let told = node.identity_received_at.get();
    let since = targets.get(present).map_or(told, |known| known.listed_at.max(told));
    let mut others = targets.at_address(node.settings.local_target).filter(|other| other.id != *present);
    others.any(|other| other.listed_at > since && *other.registration.service == *node.settings.service)
}

/// The target beside this node, if it is kept though it has no registration.
pub fn retained_target(node: &Node) -> Option<TargetId> {
    let present = node.local_target_id.borrow();
    present.as_ref().filter(|id| node.targets.borrow().grace(id).is_some()).cloned()
}

/// Whether the target beside this node has no registration and has told that it is leaving.
pub fn is_retained_and_draining(node: &Node, id: &TargetId) -> bool {
    node.retained_target.leaving.borrow().as_ref() == Some(id) && node.targets.borrow().grace(id).is_some()
}

/// Lets the gate follow the list of targets.
pub fn update_gate(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    if has_successor(node, &targets) {
        // The target started again, and its connections have not shown it yet. It is asked with the next call.
        mark_unverified(node);
    }
    let told = node.local_target_id.borrow().clone().filter(|_| node.identity_verified.get());
    let listed = match &told {
        Some(id) => targets.get(id).cloned(),
        None => targets
            .at_address(node.settings.local_target)
            .filter(|target| !target.registration.draining && *target.registration.service == *node.settings.service)
            .max_by_key(|target| target.listed_at)
            .cloned(),
    };
    drop(targets);
    if let Some(target) = &listed {
        node.gate.borrow_mut().set_slots(target.registration.slots);
    }
    let is_leaving = listed
        .as_ref()
        .is_some_and(|target| target.registration.draining || is_retained_and_draining(node, &target.id));
    // A target that is not listed yet may be told of before; one that was listed and is not has left.
    let has_left =
        listed.is_none() && told.as_ref().is_none_or(|id| node.last_listed_target.borrow().as_ref() == Some(id));
    if let Some(target) = &listed {
        *node.last_listed_target.borrow_mut() = Some(target.id.clone());
        *node.local_target_id.borrow_mut() = Some(target.id.clone());
    }
    if retained_target(node).is_some() {
        node.retained_target.registration_ended.notify_one();
    }
    if is_leaving || has_left || node.is_stopping() {
        node.gate.borrow_mut().close();
    } else {
        node.gate.borrow_mut().open();
    }
    gate::dismiss(node);
    gate::hand_out(node);
}
