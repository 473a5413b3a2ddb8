//! Answers of the node itself.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use quillhatch_mesh::configuration::Route;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use rand::Rng;

use super::Call;
use crate::body::Body;
use crate::node::Node;

/// The parts of a call's objective between which its caller is told to come back: late enough for a short shortage to be over, and while
/// an answer can still be in time. With 0.6 to 1.4 s for calls refused at entry more answers were late: worth 0.745 instead of 0.754 and 0.730
/// instead of 0.735 on two days of a shortage of 18 s.
const COME_BACK_PART: std::ops::Range<f64> = 0.15..0.4;

/// The final answer to a call that no target has answered. If it has not run, its caller is told to come back after `pause`.
pub(super) fn give_up(
    node: &Node,
    call: &Call,
    may_have_run: bool,
    why: &'static str,
    tried: usize,
    pause: Duration,
) -> Response<Body> {
    let now = node.now();
    let version = node.configuration.borrow().version();
    node.log_failure(|| {
        format!(
            "\"event\":\"given-up\",\"id\":{:?},\"route\":\"{}\",\"why\":\"{why}\",\"may_have_run\":{may_have_run},\"tried\":{tried},\"ms\":{},\"version\":{version}",
            call.id, call.route.name, now.since(call.arrived).as_millis()
        )
    });
    if !may_have_run {
        if let Some(tenant) = &call.tenant {
            node.tenancy.refund(tenant, now);
        }
        return refuse(node, &call.id, why, pause, call.arrived);
    }
    let status = if why == "late" { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    own_answer(node, &call.id, status, why, call.arrived)
}

/// When a caller whose call of `route` has not run is told to come back.
pub(super) fn come_back(node: &Node, route: &Route) -> Duration {
    route.latency_objective.mul_f64(node.random.borrow_mut().gen_range(COME_BACK_PART))
}

/// Tells the caller that the call has not run, and when to come back.
pub(super) fn refuse(node: &Node, id: &str, why: &'static str, pause: Duration, arrived: Timestamp) -> Response<Body> {
    refuse_with(node, StatusCode::SERVICE_UNAVAILABLE, id, why, pause, arrived)
}

/// The same with another status that says that the call has not run.
pub(super) fn refuse_with(
    node: &Node,
    status: StatusCode,
    id: &str,
    why: &'static str,
    pause: Duration,
    arrived: Timestamp,
) -> Response<Body> {
    let mut response = own_answer(node, id, status, why, arrived);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.2}", pause.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// An answer without a body.
pub(super) fn own_answer(
    node: &Node,
    id: &str,
    status: StatusCode,
    why: &'static str,
    arrived: Timestamp,
) -> Response<Body> {
    node.counters.edge_ended(why, node.now().since(arrived));
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(id) {
        if !id.is_empty() {
            response.headers_mut().insert(headers::REQUEST_ID, value);
        }
    }
    response
}
