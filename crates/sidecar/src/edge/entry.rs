//! What a call inherits, and whether it may enter the graph.

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

/// What a call of this origin inherits from the call that entered the graph; one that enters here has `priority`.
pub(super) fn lineage_of(node: &Node, priority: u8, origin: &CallOrigin, id: &str) -> InheritedContext {
    let own = InheritedContext {
        priority,
        position: position(id),
        is_retry: false,
        admitted_permille: ALL_ADMITTED_PERMILLE,
    };
    match origin {
        _ if !node.has(Mechanism::InheritedPriority) => own,
        CallOrigin::KnownParent(_, lineage) => lineage.clone(),
        CallOrigin::UnknownParent(Some(likely)) => InheritedContext {
            priority: likely.priority,
            is_retry: node.random.borrow_mut().gen_bool(likely.retry_share.min(1.0)),
            admitted_permille: likely.admitted_permille,
            ..own
        },
        CallOrigin::UnknownParent(None) | CallOrigin::Caller => own,
    }
}

/// The position of a call that enters the graph, drawn from its identity.
fn position(id: &str) -> u8 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u8
}

/// The share of calls like this one that enter the graph here.
pub(super) fn admitted_share(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    priority: u8,
    now: Timestamp,
) -> f64 {
    node.cuts.borrow().level(&route.name, now).admitted_share(priority, configuration.priorities())
}

/// Whether a call that enters the graph here is refused. The same ones are let in everywhere and all the while, as long as the
/// share does not change.
pub(super) fn is_refused(lineage: &InheritedContext, share: f64) -> bool {
    f64::from(lineage.position) / 256.0 >= share
}

/// The status with which a request is refused that no target should see.
pub(super) fn malformed(configuration: &Configuration, parts: &Parts, body: Option<&Incoming>) -> Option<StatusCode> {
    let limits = &configuration.limits;
    let head: usize = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if head + parts.uri.path().len() > limits.header_bytes {
        return Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let length = body.and_then(|body| body.size_hint().exact());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Some(StatusCode::PAYLOAD_TOO_LARGE);
    }
    (!parts.headers.contains_key(headers::REQUEST_ID)).then_some(StatusCode::BAD_REQUEST)
}
