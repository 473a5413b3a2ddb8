//! Authentication of calls, tenant rate limits, and the origin of a call in the call graph.

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

use super::responses::{local_response, refuse, refuse_with_status};
use crate::body::Body;
use crate::logging::JsonText;
use crate::node::Node;

/// The `Retry-After` of a call whose API key can't be checked: about the interval at which the store is queried.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// The properties of a request that show who sends it.
#[derive(Clone, Copy)]
pub(super) struct CallerEvidence<'a> {
    /// The address that it comes from.
    pub(super) peer: SocketAddr,
    /// The time until its deadline, if it names one.
    pub(super) time_left: Option<Duration>,
    /// Its headers.
    pub(super) headers: &'a HeaderMap,
}

impl CallerEvidence<'_> {
    /// Whether the call comes from this node's machine, on which the local target runs.
    fn is_local(&self, node: &Node) -> bool {
        self.peer.ip() == node.settings.local_target.ip()
    }
}

/// Authenticates the sender of a call: a tenant, the local target, or anyone.
///
/// # Errors
///
/// Returns why the call is denied.
pub(super) fn identify_sender(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    evidence: CallerEvidence<'_>,
    now: Timestamp,
) -> Result<Sender, Denial> {
    let mut keys = evidence.headers.get_all(headers::API_KEY).iter();
    let (key, has_more) = (keys.next(), keys.next().is_some());
    // No tenant sends several keys in one call, so such a call is checked with an empty key, which no tenant has.
    let key = key.map(|key| if has_more { b"".as_slice() } else { key.as_bytes() });
    let may_be_target = key.is_none()
        && evidence.is_local(node)
        && evidence
            .time_left
            .is_some_and(|time_left| node.parent_tracker.borrow().may_originate(&route.name, time_left, now));
    authenticate(
        configuration,
        route,
        Credentials { key, may_be_target },
        node.tenancy.can_check_keys(configuration, now),
    )
}

/// The response to a call that was denied.
pub(super) fn deny(node: &Node, denial: Denial, route: &Route, id: &str, now: Timestamp) -> Response<Body> {
    let (name, why) = (&route.name, denial.name());
    node.log_failure(|| {
        let age = node.tenancy.freshness.borrow().age(now).map_or(-1, |age| age.as_millis() as i64);
        let version = node.configuration.borrow().version();
        format!(
            "\"event\":\"denied\",\"id\":{},\"route\":{},\"why\":\"{why}\",\"version\":{version},\"configuration_age_ms\":{age}",
            JsonText(id), JsonText(name)
        )
    });
    // A call without a key on a route that targets call may be a nested call whose parent has just ended.
    let may_be_of_ended_parent =
        denial == Denial::NoKey && node.parent_tracker.borrow().is_called_only_by_targets(name);
    if denial == Denial::StaleConfiguration || may_be_of_ended_parent {
        return refuse(node, id, why, STALE_RETRY_AFTER, now);
    }
    local_response(node, id, StatusCode::UNAUTHORIZED, why, now)
}

/// Counts a call towards the rate limit of its tenant, if it has one.
///
/// # Errors
///
/// Returns when to retry if the call exceeds the limit.
pub(super) fn check_limit(node: &Node, tenant: Option<&Tenant>, now: Timestamp) -> Result<(), OverLimit> {
    let Some(tenant) = tenant else { return Ok(()) };
    let random = node.random.borrow_mut().gen();
    node.tenancy.admit(tenant, random, now)
}

/// The response to a call that exceeds its tenant's rate limit.
pub(super) fn refuse_over_limit(
    node: &Node,
    tenant: Option<&Tenant>,
    over: OverLimit,
    id: &str,
    now: Timestamp,
) -> Response<Body> {
    let OverLimit { retry_after, share } = over;
    node.log_failure(|| {
        let name = tenant.map_or("", |tenant| &tenant.name);
        let retry_after_ms = retry_after.as_millis();
        format!(
            "\"event\":\"over-limit\",\"id\":{},\"tenant\":{},\"share\":{share:.3},\"come_back_ms\":{retry_after_ms}",
            JsonText(id),
            JsonText(name)
        )
    });
    refuse_with_status(node, StatusCode::TOO_MANY_REQUESTS, id, "over-limit", retry_after, now)
}

/// The origin of a call. A call of the local target is recorded in the call graph.
pub(super) fn origin_of(
    node: &Node,
    route: &Route,
    evidence: CallerEvidence<'_>,
    sender: &Sender,
    now: Timestamp,
) -> CallOrigin {
    let Some(time_left) = evidence.time_left.filter(|_| evidence.is_local(node)) else { return CallOrigin::Caller };
    let origin = {
        let graph = node.call_graph.borrow();
        let call_rate = |parent: &Arc<str>| graph.call_rate(parent, &route.name);
        let mut tracker = node.parent_tracker.borrow_mut();
        match sender {
            Sender::Tenant(_) => CallOrigin::Caller,
            Sender::Target => tracker.target_call_origin(&route.name, time_left, now, call_rate),
            Sender::Anyone => tracker.origin(&route.name, time_left, now, call_rate),
        }
    };
    match &origin {
        CallOrigin::KnownParent(parent, _) => {
            node.call_graph.borrow_mut().record_call(&route.name, [(parent, 1.0)], now)
        }
        CallOrigin::UnknownParent(Some(estimate)) => {
            let parents = estimate.parent_routes.iter().map(|(parent, likelihood)| (parent, *likelihood));
            node.call_graph.borrow_mut().record_call(&route.name, parents, now);
        }
        CallOrigin::UnknownParent(None) | CallOrigin::Caller => {}
    }
    origin
}
