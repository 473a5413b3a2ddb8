//! The inherited context of a call, the admission of root calls, and checks of malformed requests.

use std::hash::{DefaultHasher, Hash, Hasher};

use hyper::body::{Body as _, Incoming};
use hyper::http::request::Parts;
use hyper::StatusCode;
use quillhatch_mesh::configuration::{Configuration, Route};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::{CallOrigin, InheritedContext, ALL_ADMITTED_PERMILLE};
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use rand::Rng;

use crate::node::Node;

/// The context of a call with this origin. A nested call inherits it from its parent; a root call starts one with
/// `priority`.
pub(super) fn inherited_context(node: &Node, priority: u8, origin: &CallOrigin, id: &str) -> InheritedContext {
    let new_root = InheritedContext {
        priority,
        position: position(id),
        is_retry: false,
        admitted_permille: ALL_ADMITTED_PERMILLE,
    };
    match origin {
        _ if !node.is_enabled(Mechanism::InheritedPriority) => new_root,
        CallOrigin::KnownParent(_, inherited) => inherited.clone(),
        CallOrigin::UnknownParent(Some(estimate)) => InheritedContext {
            priority: estimate.priority,
            is_retry: node.random.borrow_mut().gen_bool(estimate.retry_share.min(1.0)),
            admitted_permille: estimate.admitted_permille,
            ..new_root
        },
        CallOrigin::UnknownParent(None) | CallOrigin::Caller => new_root,
    }
}

/// The position of a root call, a hash of its identity.
fn position(id: &str) -> u8 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u8
}

/// The share of root calls of this route and priority that are admitted.
pub(super) fn admitted_share(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    priority: u8,
    now: Timestamp,
) -> f64 {
    node.admission_levels.borrow().level(&route.name, now).admitted_share(priority, configuration.priority_count())
}

/// Whether a root call is refused at this admitted share. While the share does not change, every node and every retry
/// decides alike for the same call.
pub(super) fn is_refused(inherited: &InheritedContext, share: f64) -> bool {
    f64::from(inherited.position) / 256.0 >= share
}

/// The status with which a malformed or oversized request is refused before it reaches a target.
pub(super) fn malformed_status(
    configuration: &Configuration,
    parts: &Parts,
    body: Option<&Incoming>,
) -> Option<StatusCode> {
    let limits = &configuration.limits;
    // Each header line has four more bytes: the colon, a space and the line break.
    let head_bytes: usize = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if head_bytes + parts.uri.path().len() > limits.header_bytes {
        return Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let length = body.and_then(|body| body.size_hint().exact());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Some(StatusCode::PAYLOAD_TOO_LARGE);
    }
    (!parts.headers.contains_key(headers::REQUEST_ID)).then_some(StatusCode::BAD_REQUEST)
}
