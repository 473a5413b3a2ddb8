//! Responses that the node itself generates.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use quillhatch_mesh::configuration::Route;
use quillhatch_mesh::shutdown::ShutdownSchedule;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use rand::Rng;

use super::run::Progress;
use super::Call;
use crate::body::Body;
use crate::counters::Counters;
use crate::logging::JsonText;
use crate::node::Node;

/// The range of `Retry-After`, as fractions of the call's latency objective: late enough for a short shortage to be
/// over, and early enough for a response in time. With 0.6 to 1.4 s for calls refused at entry more responses were
/// late: on two test days with a shortage of 18 s the score was 0.745 instead of 0.754 and 0.730 instead of 0.735.
const RETRY_AFTER_FRACTION: std::ops::Range<f64> = 0.15..0.4;

/// The `Retry-After` of a root call that a stopping node refuses.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The final response to a call that no target has responded to. If the call has not run, the response tells its caller
/// to retry after `retry_after`.
pub(super) fn give_up(
    node: &Node,
    call: &Call,
    progress: &Progress,
    why: &'static str,
    retry_after: Duration,
) -> Response<Body> {
    let now = node.now();
    let (version, may_have_run) = (node.configuration.borrow().version(), progress.may_have_run());
    let line = || {
        let at_work = progress.left_at_work.as_deref().unwrap_or_default();
        let (tried, is_stopping) = (progress.tried.len(), node.is_stopping());
        format!(
            "\"event\":\"given-up\",\"id\":{},\"route\":{},\"why\":\"{why}\",\"may_have_run\":{may_have_run},\"at_work\":{},\"tried\":{tried},\"ms\":{},\"version\":{version},\"stopping\":{is_stopping}",
            JsonText(&call.id), JsonText(&call.route.name), JsonText(at_work), now.since(call.arrived).as_millis()
        )
    };
    match may_have_run && node.is_stopping() {
        true => node.log_stop_failure(line),
        false => node.log_failure(line),
    }
    if progress.left_at_work.is_some() {
        Counters::increment(&node.counters.given_up_at_work);
    }
    if !may_have_run {
        if let Some(tenant) = &call.tenant {
            node.tenancy.refund(tenant, now);
        }
        return refuse(node, &call.id, why, retry_after, call.arrived);
    }
    let status = if why == "late" { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    local_response(node, &call.id, status, why, call.arrived)
}

/// The final response to a call that a target may be at work on, while ready responses wait behind it and the process
/// ends soon.
pub(super) fn give_up_blocking(node: &Node, id: &str) -> Response<Body> {
    let call = node.calls.find(id);
    let arrived = call.as_ref().map_or_else(|| node.now(), |call| call.began);
    let target = call.and_then(|call| call.target);
    node.log_stop_failure(|| {
        let at_work = target.as_deref().unwrap_or_default();
        let ms = node.now().since(arrived).as_millis();
        format!(
            "\"event\":\"given-up\",\"id\":{},\"why\":\"blocking\",\"at_work\":{},\"ms\":{ms},\"stopping\":true",
            JsonText(id),
            JsonText(at_work)
        )
    });
    Counters::increment(&node.counters.given_up_at_work);
    local_response(node, id, StatusCode::GATEWAY_TIMEOUT, "blocking", arrived)
}

/// A random `Retry-After` for a call of `route` that has not run.
pub(super) fn retry_delay(node: &Node, route: &Route) -> Duration {
    route.latency_objective.mul_f64(node.random.borrow_mut().gen_range(RETRY_AFTER_FRACTION))
}

/// When to retry a call that a stopping node refuses: an external caller at once, since another node serves it; the
/// local target once the process has ended, since no other node takes its calls.
pub(super) fn retry_delay_while_stopping(call: &Call, schedule: ShutdownSchedule, now: Timestamp) -> Duration {
    if call.is_nested {
        return now.until(schedule.process_end());
    }
    STOPPING_RETRY_AFTER
}

/// A 503 response: the call has not run and may be retried after `retry_after`.
pub(super) fn refuse(
    node: &Node,
    id: &str,
    why: &'static str,
    retry_after: Duration,
    arrived: Timestamp,
) -> Response<Body> {
    refuse_with_status(node, StatusCode::SERVICE_UNAVAILABLE, id, why, retry_after, arrived)
}

/// As [`refuse`], with another status that means that the call has not run.
pub(super) fn refuse_with_status(
    node: &Node,
    status: StatusCode,
    id: &str,
    why: &'static str,
    retry_after: Duration,
    arrived: Timestamp,
) -> Response<Body> {
    let mut response = local_response(node, id, status, why, arrived);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A response without a body, counted under the outcome `why`.
pub(super) fn local_response(
    node: &Node,
    id: &str,
    status: StatusCode,
    why: &'static str,
    arrived: Timestamp,
) -> Response<Body> {
    node.counters.count_edge_call(why, node.now().since(arrived));
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(id) {
        if !id.is_empty() {
            response.headers_mut().insert(headers::REQUEST_ID, value);
        }
    }
    response
}
