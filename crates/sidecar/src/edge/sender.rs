//! Who sends a call: a tenant, this node's target, or anyone; and whether it may go on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use quillhatch_mesh::authentication::{authenticate, Credentials, Denial, Sender};
use quillhatch_mesh::configuration::{Configuration, Route};
use quillhatch_mesh::limits::OverLimit;
use quillhatch_mesh::parents::CallOrigin;
use quillhatch_mesh::tenants::Tenant;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use rand::Rng;

use super::answers::{own_answer, refuse, refuse_with};
use crate::body::Body;
use crate::node::Node;

/// When a caller is told to come back whose key can't be checked: the store is asked again about so often.
const STALE_PAUSE: Duration = Duration::from_millis(800);

/// What a call shows of who makes it.
#[derive(Clone, Copy)]
pub(super) struct Shown<'a> {
    /// Where it comes from.
    pub(super) peer: SocketAddr,
    /// The time that it is given.
    pub(super) given: Option<Duration>,
    /// Its headers.
    pub(super) headers: &'a HeaderMap,
}

impl Shown<'_> {
    /// Whether it comes from this node's machine, where the target is.
    fn is_local(&self, node: &Node) -> bool {
        self.peer.ip() == node.settings.local_target.ip()
    }
}

/// Who sends a call.
///
/// # Errors
///
/// Returns why it is not let in.
pub(super) fn sender(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    shown: Shown<'_>,
    now: Timestamp,
) -> Result<Sender, Denial> {
    let mut keys = shown.headers.get_all(headers::API_KEY).iter();
    let (key, has_more) = (keys.next(), keys.next().is_some());
    // Nobody holds two keys at once.
    let key = key.map(|key| if has_more { b"".as_slice() } else { key.as_bytes() });
    let may_be_target = key.is_none()
        && shown.is_local(node)
        && shown.given.is_some_and(|given| node.parents.borrow().may_originate(&route.name, given, now));
    authenticate(
        configuration,
        route,
        Credentials { key, may_be_target },
        node.tenancy.can_check_keys(configuration, now),
    )
}

/// The answer to a call that is not let in.
pub(super) fn deny(node: &Node, denial: Denial, route: &Route, id: &str, now: Timestamp) -> Response<Body> {
    let (name, why) = (&route.name, denial.name());
    node.log_failure(|| {
        let age = node.tenancy.freshness.borrow().age(now).map_or(-1, |age| age.as_millis() as i64);
        let version = node.configuration.borrow().version();
        format!(
            "\"event\":\"denied\",\"id\":{id:?},\"route\":\"{name}\",\"why\":\"{why}\",\"version\":{version},\"configuration_age_ms\":{age}"
        )
    });
    // A call without a key on a route of targets may be one whose parent has just ended.
    let is_of_ended_parent = denial == Denial::NoKey && node.parents.borrow().is_called_only_by_targets(name);
    if denial == Denial::Stale || is_of_ended_parent {
        return refuse(node, id, why, STALE_PAUSE, now);
    }
    own_answer(node, id, StatusCode::UNAUTHORIZED, why, now)
}

/// Counts a call towards its tenant's limit, if it has one.
///
/// # Errors
///
/// Returns when to come back if the call is beyond the limit.
pub(super) fn check_limit(node: &Node, tenant: Option<&Tenant>, now: Timestamp) -> Result<(), OverLimit> {
    let Some(tenant) = tenant else { return Ok(()) };
    let draw = node.random.borrow_mut().gen();
    node.tenancy.admit(tenant, draw, now)
}

/// The answer to a call that is beyond its tenant's limit.
pub(super) fn refuse_over_limit(
    node: &Node,
    tenant: Option<&Tenant>,
    over: OverLimit,
    id: &str,
    now: Timestamp,
) -> Response<Body> {
    let OverLimit { come_back, share } = over;
    node.log_failure(|| {
        let name = tenant.map_or("", |tenant| &tenant.name);
        let come_back = come_back.as_millis();
        format!(
            "\"event\":\"over-limit\",\"id\":{id:?},\"tenant\":\"{name}\",\"share\":{share:.3},\"come_back_ms\":{come_back}"
        )
    });
    refuse_with(node, StatusCode::TOO_MANY_REQUESTS, id, "over-limit", come_back, now)
}

/// Who makes a call; a call of this node's target is noted in the graph of calls.
pub(super) fn origin(node: &Node, route: &Route, shown: Shown<'_>, sender: &Sender, now: Timestamp) -> CallOrigin {
    let Some(given) = shown.given.filter(|_| shown.is_local(node)) else { return CallOrigin::Caller };
    let origin = {
        let graph = node.graph.borrow();
        let rate = |parent: &Arc<str>| graph.call_rate(parent, &route.name);
        let mut parents = node.parents.borrow_mut();
        match sender {
            Sender::Tenant(_) => CallOrigin::Caller,
            Sender::Target => parents.target_call_origin(&route.name, given, now, rate),
            Sender::Anyone => parents.origin(&route.name, given, now, rate),
        }
    };
    match &origin {
        CallOrigin::KnownParent(parent, _) => node.graph.borrow_mut().record_call(&route.name, [(parent, 1.0)], now),
        CallOrigin::UnknownParent(Some(likely)) => {
            let parents = likely.parent_routes.iter().map(|(parent, likelihood)| (parent, *likelihood));
            node.graph.borrow_mut().record_call(&route.name, parents, now);
        }
        CallOrigin::UnknownParent(None) | CallOrigin::Caller => {}
    }
    origin
}
