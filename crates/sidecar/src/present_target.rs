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
use crate::hop::LocalTarget;
use crate::node::Node;
use crate::pool::ExchangeError;

/// How long the target may take to tell its identity.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// The target beside this node, if it is known and takes calls.
pub fn present(node: &Node) -> Option<LocalTarget> {
    let id = node.present.borrow().clone()?;
    let is_draining = node.targets.borrow().get(&id).is_some_and(|target| target.registration.draining);
    (!is_draining && !leaves(node, &id))
        .then(|| LocalTarget { id: id.to_string(), service: node.settings.service.clone() })
}

/// Whether calls for the target with this identity are taken.
pub fn takes(node: &Node, expected: &str) -> bool {
    let targets = node.targets.borrow();
    let listed = targets.get(expected);
    if node.present.borrow().as_deref() == Some(expected) {
        return !listed.is_some_and(|target| target.registration.draining);
    }
    if node.present_verified.get() {
        return false;
    }
    if !node.targets_known.get() {
        return node.present.borrow().is_none();
    }
    listed.is_some_and(|target| {
        !target.registration.draining && target.registration.address == node.settings.local_target
    })
}

/// Asks the target who it is, unless it has told since it was last out of reach. Calls that arrive meanwhile wait for the
/// one question.
pub async fn verify(node: &Rc<Node>) {
    if node.present_verified.get() {
        return;
    }
    let _asking = node.verifying.lock().await;
    if node.present_verified.get() {
        return;
    }
    if let Identity::Known(id) = ask(node).await {
        learn(node, &id);
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
pub struct HealthAnswer {
    /// Who the target is.
    pub identity: Identity,
    /// Whether it is leaving, or takes itself for unhealthy. A target that is only full does not tell.
    pub is_leaving: bool,
}

impl HealthAnswer {
    fn without_answer(identity: Identity) -> Self {
        HealthAnswer { identity, is_leaving: false }
    }
}

/// Asks the target for its identity.
pub async fn ask(node: &Rc<Node>) -> Identity {
    ask_health(node).await.identity
}

/// Asks the target for its identity and whether it is leaving.
pub async fn ask_health(node: &Rc<Node>) -> HealthAnswer {
    let unknown = HealthAnswer::without_answer(Identity::Unknown);
    let Some(path) = health_path(node) else { return unknown };
    let address = node.settings.local_target;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let Ok(request) = request else { return unknown };
    let exchange = async {
        let (response, lease) = match node.target.exchange(address, request).await {
            Ok(answered) => answered,
            Err(ExchangeError::ConnectionRefused) => return HealthAnswer::without_answer(Identity::Refused),
            Err(_) => return HealthAnswer::without_answer(Identity::Unknown),
        };
        let id = text(response.headers(), headers::INSTANCE_ID).map(str::to_owned);
        let is_full = response.headers().contains_key(headers::REQUEST_NOT_RUN);
        let is_leaving = response.status() == StatusCode::SERVICE_UNAVAILABLE && !is_full;
        if response.into_body().collect().await.is_ok() {
            lease.release();
        }
        HealthAnswer { identity: id.map_or(Identity::Unknown, Identity::Known), is_leaving }
    };
    tokio::time::timeout(VERIFY_TIMEOUT, exchange).await.unwrap_or(unknown)
}

fn health_path(node: &Node) -> Option<String> {
    let configuration = node.current_configuration()?;
    let service = configuration.services.get(node.settings.service.as_str())?;
    (!service.health_path.is_empty()).then(|| service.health_path.clone())
}

/// Takes note of who the target says that it is.
pub fn learn(node: &Rc<Node>, id: &str) {
    node.present_verified.set(true);
    node.present_told_at.set(node.now());
    let former = node.present.borrow().clone();
    gate::target_identified(node, id);
    if former.as_deref() == Some(id) {
        return;
    }
    let former = former.as_deref().unwrap_or_default();
    node.log(&format!("\"event\":\"target-told\",\"target\":\"{id}\",\"before\":\"{former}\""));
    let now = node.now();
    node.targets.borrow_mut().replace_at_address(former, Arc::from(id), &node.settings.service, now);
    *node.present.borrow_mut() = Some(Arc::from(id));
    follow_list(node);
}

/// The target is out of reach; whoever answers next may be another one.
pub fn out_of_reach(node: &Node) {
    node.present_verified.set(false);
}

/// The list shows that the target has started again under its identity: whatever it worked on has broken off.
pub fn restarted(node: &Rc<Node>, id: &TargetId) {
    gate::target_restarted(node, id);
    out_of_reach(node);
}

/// Whether the list has brought a target at this machine's address since the target told its identity, and after the one that
/// the gate stands before, if that is still listed. Both may change in one answer of the store; compared only with a listed one, the new
/// target was refused for 23 s in a soak.
fn has_successor(node: &Node, targets: &TargetTable) -> bool {
    let present = node.present.borrow();
    let Some(present) = present.as_ref() else { return false };
    let told = node.present_told_at.get();
    let since = targets.get(present).map_or(told, |known| known.listed_at.max(told));
    let mut others = targets.at_address(node.settings.local_target).filter(|other| other.id != *present);
    others.any(|other| other.listed_at > since && *other.registration.service == *node.settings.service)
}

/// The target beside this node, if it is kept though it has no registration.
pub fn kept(node: &Node) -> Option<TargetId> {
    let present = node.present.borrow();
    present.as_ref().filter(|id| node.targets.borrow().grace_period(id).is_some()).cloned()
}

/// Whether the target beside this node has no registration and has told that it is leaving.
pub fn leaves(node: &Node, id: &TargetId) -> bool {
    node.kept_target.draining.borrow().as_ref() == Some(id) && node.targets.borrow().grace_period(id).is_some()
}

/// Lets the gate follow the list of targets.
pub fn follow_list(node: &Rc<Node>) {
    let targets = node.targets.borrow();
    if has_successor(node, &targets) {
        // The target started again, and its connections have not shown it yet. It is asked with the next call.
        out_of_reach(node);
    }
    let told = node.present.borrow().clone().filter(|_| node.present_verified.get());
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
    let is_leaving = listed.as_ref().is_some_and(|target| target.registration.draining || leaves(node, &target.id));
    // A target that is not listed yet may be told of before; one that was listed and is not has left.
    let has_left = listed.is_none() && told.as_ref().is_none_or(|id| node.seen_listed.borrow().as_ref() == Some(id));
    if let Some(target) = &listed {
        *node.seen_listed.borrow_mut() = Some(target.id.clone());
        *node.present.borrow_mut() = Some(target.id.clone());
    }
    if kept(node).is_some() {
        node.kept_target.registration_ended.notify_one();
    }
    if is_leaving || has_left || node.is_stopping() {
        node.gate.borrow_mut().close();
    } else {
        node.gate.borrow_mut().open();
    }
    gate::evict_waiting_calls(node);
    gate::admit_waiting_calls(node);
}
