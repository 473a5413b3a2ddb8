//! The edge: takes a call from a caller or from this node's own target and brings back an answer.

mod answers;
mod attempt;
mod entry;
mod run;
mod sender;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use quillhatch_mesh::authentication::Sender;
use quillhatch_mesh::configuration::{Configuration, Route};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::{CallOrigin, InheritedContext, ALL_ADMITTED_PERMILLE};
use quillhatch_mesh::routing::find_route;
use quillhatch_mesh::tenants::Tenant;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;

use crate::body::{read_up_to, Body, Read};
use crate::headers::{remove_connection_headers, text};
use crate::hop::HOP;
use crate::node::Node;
use answers::{come_back, own_answer, refuse};
use entry::{admitted_share, is_refused, lineage_of, malformed};
use sender::{check_limit, deny, origin, refuse_over_limit, sender, Shown};

/// The largest request that is kept to be sent again, in bytes.
const KEPT_REQUEST_BYTES: usize = 64 * 1024;
/// When a caller that comes late to a stopping node is told to come back.
const STOPPING_PAUSE: Duration = Duration::from_millis(200);
/// When a caller that comes before the first configuration is told to come back.
const NO_CONFIGURATION_PAUSE: Duration = Duration::from_millis(300);

/// A call on its way.
pub(super) struct Call {
    pub(super) id: String,
    pub(super) route: Arc<Route>,
    pub(super) method: Method,
    pub(super) uri: hyper::Uri,
    pub(super) headers: HeaderMap,
    pub(super) is_inner: bool,
    pub(super) lineage: InheritedContext,
    /// The tenant that sends it.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
}

/// Counts a call while it is served.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(counter: &'a Cell<usize>) -> Self {
        counter.set(counter.get() + 1);
        Counted(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one request.
pub async fn serve(node: Rc<Node>, parts: Parts, body: Option<Incoming>, peer: SocketAddr) -> Response<Body> {
    let _counted = Counted::new(&node.edge_calls);
    answer(&node, parts, body, peer).await
}

async fn answer(node: &Rc<Node>, parts: Parts, incoming: Option<Incoming>, peer: SocketAddr) -> Response<Body> {
    node.notice_suspension();
    let arrived = node.now();
    let id = text(&parts.headers, headers::REQUEST_ID).unwrap_or_default().to_owned();
    let Some(configuration) = node.current_configuration() else {
        return refuse(node, &id, "no-configuration", NO_CONFIGURATION_PAUSE, arrived);
    };
    let authority = match parts.uri.authority() {
        Some(authority) => authority.as_str().to_owned(),
        None => text(&parts.headers, HOST.as_str()).unwrap_or_default().to_owned(),
    };
    let Some(route) = find_route(&configuration, &authority, parts.uri.path()).cloned() else {
        let version = configuration.version;
        node.log_failure(|| {
            format!("\"event\":\"no-route\",\"id\":{id:?},\"host\":{authority:?},\"version\":{version}")
        });
        return own_answer(node, &id, StatusCode::NOT_FOUND, "no-route", arrived);
    };
    if let Some(status) = malformed(&configuration, &parts, incoming.as_ref()) {
        node.log_failure(|| format!("\"event\":\"malformed\",\"id\":{id:?},\"status\":{}", status.as_u16()));
        return own_answer(node, &id, status, "malformed", arrived);
    }
    let given =
        text(&parts.headers, headers::DEADLINE_MS).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let time = given.map_or(route.timeout, |given| given.min(route.timeout));
    let shown = Shown { peer, given, headers: &parts.headers };
    let sender = match sender(node, &configuration, &route, shown, arrived) {
        Ok(sender) => sender,
        Err(denial) => return deny(node, denial, &route, &id, arrived),
    };
    let tenant = match &sender {
        Sender::Tenant(tenant) => Some(tenant.clone()),
        Sender::Anyone | Sender::Target => None,
    };
    let origin = origin(node, &route, shown, &sender, arrived);
    let priority = configuration.importance(&route, tenant.as_deref());
    let mut lineage = lineage_of(node, priority, &origin, &id);
    let is_inner = origin != CallOrigin::Caller;
    if !is_inner && node.refuses_callers.get() {
        node.log_failure(|| {
            format!("\"event\":\"refused\",\"id\":{id:?},\"route\":\"{}\",\"why\":\"stopping\"", route.name)
        });
        return refuse(node, &id, "stopping", STOPPING_PAUSE, arrived);
    }
    if !is_inner && node.has(Mechanism::EntryAdmission) {
        if let Some(response) = cut_at_entry(node, &configuration, &route, &mut lineage, &id, arrived) {
            return response;
        }
    }
    // After the cut, so that only calls which may run count towards the limit: the other way round the worth of two days of a shortage was
    // 0.702 and 0.689 instead of 0.745 and 0.730.
    if let Err(over) = check_limit(node, tenant.as_deref(), arrived) {
        return refuse_over_limit(node, tenant.as_deref(), over, &id, arrived);
    }
    let body = match incoming.filter(|incoming| !incoming.is_end_stream()) {
        None => Body::empty(),
        Some(incoming) => match read_up_to(incoming, KEPT_REQUEST_BYTES).await {
            Ok(Read::Whole(bytes)) if bytes.len() as u64 > configuration.limits.body_bytes => {
                return own_answer(node, &id, StatusCode::PAYLOAD_TOO_LARGE, "too-large", arrived);
            }
            Ok(read) => read.into_body(),
            Err(_) => return own_answer(node, &id, StatusCode::BAD_REQUEST, "body-broke-off", arrived),
        },
    };
    let headers = forwarded_headers(node, parts.headers, tenant.as_deref());
    let deadline = arrived + time;
    let call =
        Call { id, route, method: parts.method, uri: parts.uri, headers, is_inner, lineage, tenant, arrived, deadline };
    let _root = (!is_inner).then(|| Counted::new(&node.root_calls));
    let response = run::run(node, call, body).await;
    if is_inner && response.status().is_server_error() {
        node.health.borrow_mut().record_downstream_failure(node.now());
    }
    response
}

/// Refuses a call that enters the graph here if a service that it needs is short of slots; one that is let in takes the share with which
/// calls like it were let in along.
fn cut_at_entry(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    lineage: &mut InheritedContext,
    id: &str,
    arrived: Timestamp,
) -> Option<Response<Body>> {
    let share = admitted_share(node, configuration, route, lineage.priority, arrived);
    lineage.admitted_permille = (share * f64::from(ALL_ADMITTED_PERMILLE)).round() as u16;
    if !is_refused(lineage, share) {
        return None;
    }
    node.log_failure(|| {
        let name = &route.name;
        let age = node.cuts.borrow().age(name, arrived).unwrap_or_default().as_millis();
        let (position, version) = (lineage.position, configuration.version);
        format!(
            "\"event\":\"refused\",\"id\":{id:?},\"route\":\"{name}\",\"share\":{share:.3},\"share_age_ms\":{age},\"position\":{position},\"version\":{version}"
        )
    });
    Some(refuse(node, id, "shed", come_back(node, route), arrived))
}

/// The headers that go on to the target: without those of one connection, without the caller's key and without those that the nodes set
/// themselves; with the service at whose machine the call began and the tenant that sends it.
fn forwarded_headers(node: &Node, mut forwarded: HeaderMap, tenant: Option<&Tenant>) -> HeaderMap {
    remove_connection_headers(&mut forwarded);
    for name in [
        HOP,
        headers::DEADLINE_MS,
        headers::EXPECT_INSTANCE,
        headers::CALLER_SERVICE,
        headers::API_KEY,
        headers::TENANT,
    ] {
        forwarded.remove(name);
    }
    if let Some(name) = tenant.and_then(|tenant| HeaderValue::from_str(&tenant.name).ok()) {
        forwarded.insert(headers::TENANT, name);
    }
    if let Ok(service) = HeaderValue::from_str(&node.settings.service) {
        forwarded.insert(headers::CALLER_SERVICE, service);
    }
    forwarded
}
