//! The gate: accepts calls of other nodes for the local target, and admits as many as the target has slots for.

mod retained_target;
mod slots;
mod suspects;
mod target_crash;
mod target_status;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONTENT_ENCODING, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::callers::CallerKind;
use quillhatch_mesh::configuration::{Retryability, Route};
use quillhatch_mesh::gate::GateRefusal;
use quillhatch_mesh::parents::InheritedContext;
use quillhatch_mesh::quarantine::RequestSignature;
use quillhatch_mesh::routing::find_route;
use quillhatch_mesh::target_limit::RateLimited;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;

use crate::body::{read_up_to, Body};
use crate::counters::Counters;
use crate::feed::{self, FEED_PATH};
use crate::headers::{header_text, remove_hop_by_hop_headers};
use crate::hop::{GateOutcome, HopContext, HopReport, HOP_HEADER};
use crate::liveness::LIVENESS_PATH;
use crate::local_target;
use crate::logging::JsonText;
use crate::node::Node;
use crate::pool::{ExchangeError, SentFlag};
use crate::relay::relay_response;
use crate::store_view;
use crate::stream::{RelayedCall, StreamTimes};
pub use retained_target::{watch_retained_target, RetainedTargetState};
use slots::admit;
pub use slots::{admit_waiting_calls, evict_waiting_calls, Slot};
pub use target_crash::{target_identified, target_restarted};
use target_status::record_response;
pub use target_status::{forget_status_before, record_health_check, LocalTargetStatus};

/// The maximum size of a request body that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_REQUEST_BYTES: usize = 64 * 1024;
/// How long past the deadline the gate waits for a response that the target sends at the deadline.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(20);
/// The minimum time until the deadline with which a call is forwarded to the target.
const MIN_FORWARD_TIME: Duration = Duration::from_millis(3);

/// A call from another node.
struct Call {
    id: Option<HeaderValue>,
    /// The identity of the target that the call is meant for.
    expected: String,
    route: Option<Arc<str>>,
    /// Whether it may run more than once. A call of an unknown route may not.
    retryability: Retryability,
    arrived: Timestamp,
    /// Until when the edge waits for the response.
    deadline: Timestamp,
    /// The deadline that the target gets, not later than `deadline`.
    work_deadline: Timestamp,
    /// From when a streamed response is late: from the timeout of its route on, as at the edge.
    stream_late_at: Timestamp,
}

impl Call {
    /// The id of its request, or an empty string if it has none.
    fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Serves one request that arrived at the inbound address.
pub async fn serve(node: Rc<Node>, parts: Parts, body: Option<Incoming>) -> Response<Body> {
    if parts.uri.path() == FEED_PATH && !parts.headers.contains_key(HOP_HEADER) {
        return feed::serve_query(&node, body).await;
    }
    if parts.uri.path() == LIVENESS_PATH && !parts.headers.contains_key(HOP_HEADER) {
        return Response::new(Body::empty());
    }
    node.detect_suspension();
    let arrived = node.now();
    let headers = &parts.headers;
    let context = header_text(headers, HOP_HEADER).and_then(HopContext::decode);
    let timeout =
        header_text(headers, headers::DEADLINE_MS).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let (Some(context), Some(timeout)) = (context, timeout) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    store_view::record_peer_view(&node, context.edge_ip, context.store_view);
    let route = route_of(&node, &parts);
    let call = Call {
        id: headers.get(headers::REQUEST_ID).cloned(),
        expected: header_text(headers, headers::EXPECT_INSTANCE).unwrap_or_default().to_owned(),
        route: route.as_ref().map(|route| route.name.clone()),
        retryability: route.as_ref().map_or(Retryability::AtMostOnce, |route| route.retryability),
        arrived,
        deadline: arrived + timeout,
        work_deadline: arrived + context.work_time.map_or(timeout, |work_time| work_time.min(timeout)),
        stream_late_at: arrived + route.map_or(timeout, |route| timeout.max(route.timeout)) + DEADLINE_ALLOWANCE,
    };
    if let (Some(route), Some(caller)) = (&call.route, header_text(headers, headers::CALLER_SERVICE)) {
        node.caller_counts.borrow_mut().count_call(route, caller);
    }
    let outcome = admit_and_forward(&node, &call, &context, parts, body).await;
    record_health(&node, &outcome);
    match outcome {
        Ok(TargetResponse { outcome, mut response }) => {
            node.counters.count_gate_call(outcome.name());
            attach_report(&node, &call, outcome, &mut response);
            response
        }
        Err(Failure { outcome, why, retry_after }) => {
            node.counters.count_gate_call(outcome.name());
            log_failure(&node, &call, outcome, &why, arrived);
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let retry_after = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
            if let Some(value) = retry_after.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            attach_report(&node, &call, outcome, &mut response);
            response
        }
    }
}

fn route_of(node: &Node, parts: &Parts) -> Option<Arc<Route>> {
    let configuration = node.current_configuration()?;
    let authority = header_text(&parts.headers, "host").unwrap_or_default();
    find_route(&configuration, authority, parts.uri.path()).cloned()
}

fn outcome_of(refusal: GateRefusal) -> GateOutcome {
    match refusal {
        GateRefusal::Overloaded => GateOutcome::Full,
        GateRefusal::Closed => GateOutcome::Closed,
    }
}

/// Records whether the target responded well. A target that exceeds the deadline is not counted, since the calls that
/// it made may be the cause.
fn record_health(node: &Node, outcome: &Result<TargetResponse, Failure>) {
    let now = node.now();
    let mut health = node.target_health.borrow_mut();
    match outcome.as_ref().map(|responded| &responded.response) {
        Ok(response) if response.status() == StatusCode::GATEWAY_TIMEOUT => {}
        Ok(response) if response.status().is_server_error() => health.record_error(now),
        Ok(_) => health.record_good(now),
        Err(Failure { outcome: GateOutcome::Rejected | GateOutcome::NoResponse, .. }) => health.record_bad(now),
        Err(_) => {}
    }
}

fn log_failure(node: &Node, call: &Call, outcome: GateOutcome, why: &str, arrived: Timestamp) {
    node.log_failure(|| {
        let load = node.gate.borrow().load();
        let id = call.id_text();
        format!(
            "\"event\":\"gate\",\"id\":{},\"outcome\":\"{}\",\"why\":{},\"expected\":{},\"running\":{},\"limit\":{},\"waiting\":{},\"ms\":{}",
            JsonText(id), outcome.name(), JsonText(why), JsonText(&call.expected), load.running, load.limit, load.waiting, node.now().since(arrived).as_millis()
        )
    });
}

/// Sets the header with the gate's report in a response.
fn attach_report(node: &Node, call: &Call, outcome: GateOutcome, response: &mut Response<Body>) {
    let now = node.now();
    let load = node.gate.borrow().load();
    let admission_level = call.route.as_ref().map_or(AdmissionLevel::FULL, |route| {
        node.own_admission_level(route).lower_of(node.callee_admission_level(route, now))
    });
    let current_target = match outcome {
        GateOutcome::Closed | GateOutcome::Rejected => {
            local_target::available_target(node).filter(|target| target.id != call.expected)
        }
        _ => None,
    };
    let caller_kind = call.route.as_ref().map_or(CallerKind::Unknown, |route| {
        let targets = node.targets.borrow();
        node.caller_counts.borrow_mut().caller_kind(route, || targets.service_shares())
    });
    let health = node.target_health.borrow_mut().good_share(now);
    let (store_view, proof) =
        (store_view::own_store_view(node), node.tenancy.peer_proof(&node.configuration.borrow(), call.arrived));
    let rate_limit = node.target_limiter.borrow_mut().report(&call.expected, now);
    let report = HopReport {
        outcome,
        load,
        admission_level,
        health,
        caller_kind,
        store_view,
        proof,
        current_target,
        rate_limit,
        drain_notice: node.targets.borrow().drain_notice(&call.expected),
        retry_level: call.route.as_ref().map_or(AdmissionLevel::FULL, |route| node.callee_retry_level(route, now)),
    };
    if let Ok(value) = HeaderValue::from_str(&report.encode()) {
        response.headers_mut().insert(HOP_HEADER, value);
    }
}

/// The response of the target.
struct TargetResponse {
    /// `Answered` or `Interrupted`.
    outcome: GateOutcome,
    response: Response<Body>,
}

/// Why the gate has no response from the target.
struct Failure {
    outcome: GateOutcome,
    why: String,
    /// When the request may be retried, if that is known.
    retry_after: Option<Duration>,
}

impl Failure {
    fn new(outcome: GateOutcome, why: impl Into<String>) -> Self {
        Failure { outcome, why: why.into(), retry_after: None }
    }
}

impl From<GateRefusal> for Failure {
    fn from(refusal: GateRefusal) -> Self {
        Failure::new(outcome_of(refusal), "not admitted")
    }
}

impl From<RateLimited> for Failure {
    fn from(refusal: RateLimited) -> Self {
        let retry_after = Some(refusal.wait);
        Failure { outcome: GateOutcome::RateLimited, why: "rate limit of the target".to_owned(), retry_after }
    }
}

/// Reads the request, waits for its admission, and forwards it to the target.
async fn admit_and_forward(
    node: &Rc<Node>,
    call: &Call,
    context: &HopContext,
    parts: Parts,
    body: Option<Incoming>,
) -> Result<TargetResponse, Failure> {
    // Read before the call takes a slot: the quarantine check needs the signature, which covers the body.
    let body = match body.filter(|body| !body.is_end_stream()) {
        None => Body::empty(),
        Some(incoming) => {
            let reading = read_up_to(incoming, MAX_BUFFERED_REQUEST_BYTES);
            match node.clock.timeout_at(call.deadline, reading).await {
                Ok(Ok(read)) => read.into_body(),
                Ok(Err(error)) => return Err(Failure::new(GateOutcome::Closed, error.to_string())),
                Err(_) => return Err(Failure::new(GateOutcome::Closed, "request body not received in time")),
            }
        }
    };
    let signature = suspects::signature_of(&parts, &body);
    suspects::check_quarantine(node, &signature)?;
    let slot = admit(node, call, context, call.arrived).await?;
    // While the call waited for a slot, requests with its signature may have crashed targets.
    suspects::check_quarantine(node, &signature)?;
    forward(node, call, parts, body, slot, RunRecord { inherited: context.inherited.clone(), signature }).await
}

/// What is recorded of a call while it runs at the target.
struct RunRecord {
    inherited: InheritedContext,
    signature: RequestSignature,
}

/// Forwards an admitted call to the target and passes on its response.
async fn forward(
    node: &Rc<Node>,
    call: &Call,
    mut parts: Parts,
    body: Body,
    mut slot: Slot,
    record: RunRecord,
) -> Result<TargetResponse, Failure> {
    let now = node.now();
    let time_until_stop = node.shutdown().and_then(|schedule| schedule.work_time(call.work_deadline, now));
    let remaining = time_until_stop.unwrap_or(now.until(call.work_deadline));
    if remaining < MIN_FORWARD_TIME {
        return Err(Failure::new(GateOutcome::Full, "too little time until the deadline"));
    }
    node.target_limiter.borrow_mut().take(node.now())?;
    remove_hop_by_hop_headers(&mut parts.headers);
    parts.headers.remove(HOP_HEADER);
    if let Ok(value) = HeaderValue::from_str(&remaining.as_millis().to_string()) {
        parts.headers.insert(headers::DEADLINE_MS, value);
    }
    let request = Request::from_parts(parts, body);
    let target_timeout = Duration::from_millis(remaining.as_millis() as u64);
    let RunRecord { inherited, signature } = record;
    slot.start_run(call, node.now() + target_timeout, inherited, signature);
    Counters::increment(&node.counters.target_requests);
    let sent = SentFlag::default();
    let exchange = node.target.exchange_tracking_sent(node.settings.local_target, request, &sent);
    let exchange = node.clock.timeout_at(call.deadline + DEADLINE_ALLOWANCE, exchange).await;
    let (response, lease) = match exchange {
        // The call was still waiting for a connection, so the target has not received it.
        Err(_) if !sent.is_set() => {
            node.target_limiter.borrow_mut().refund();
            local_target::mark_unverified(node);
            return Err(Failure::new(GateOutcome::Closed, "no connection in time"));
        }
        Err(_) => return Err(Failure::new(GateOutcome::DeadlineExceeded, "no response before the deadline")),
        Ok(Err(error @ (ExchangeError::ConnectionRefused | ExchangeError::NotSent(_)))) => {
            node.target_limiter.borrow_mut().refund();
            local_target::mark_unverified(node);
            return Err(Failure::new(GateOutcome::Closed, error.to_string()));
        }
        Ok(Err(ExchangeError::NoResponse(why))) => {
            slot.connection_lost();
            return Err(Failure::new(GateOutcome::NoResponse, format!("{why}, signature {}", signature.narrow)));
        }
        Ok(Ok(exchanged)) => exchanged,
    };
    let sent_at = lease.sent_at();
    let is_of_this_call = response.headers().get(headers::REQUEST_ID) == call.id.as_ref();
    if !is_of_this_call {
        return Err(Failure::new(GateOutcome::NoResponse, "response to another request"));
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST || response.headers().contains_key(headers::REQUEST_NOT_RUN)
    {
        let status = response.status();
        let responder = local_target::reported_id(node, response.headers());
        if let Some(id) = &responder {
            local_target::record_identity(node, id.clone());
        }
        if status != StatusCode::MISDIRECTED_REQUEST || responder.is_some() {
            record_response(node, responder.as_deref().unwrap_or(&call.expected), sent_at, response.headers());
        }
        lease.release_after(response.into_body());
        return Err(Failure::new(GateOutcome::Rejected, format!("target refused the call with status {status}")));
    }
    record_response(node, &call.expected, sent_at, response.headers());
    let has_stamp = response.headers().contains_key(headers::SERVER_STAMP);
    if response.status().is_success() && (!has_stamp || response.headers().contains_key(CONTENT_ENCODING)) {
        return Err(Failure::new(GateOutcome::NoResponse, "response is encoded or has no server stamp"));
    }
    let status = response.status();
    let work_ends_at = call.deadline + DEADLINE_ALLOWANCE;
    let id = call.id_text().to_owned();
    let times = StreamTimes { late_at: call.stream_late_at, work_ends_at: Some(work_ends_at) };
    let relayed =
        relay_response(response, lease, Some(slot), RelayedCall { node: Rc::clone(node), id, times, measured: None });
    let is_interrupted = time_until_stop.is_some() && status == StatusCode::GATEWAY_TIMEOUT;
    let outcome = if is_interrupted { GateOutcome::Interrupted } else { GateOutcome::Answered };
    match node.clock.timeout_at(work_ends_at, relayed).await {
        Ok(Ok(response)) => Ok(TargetResponse { outcome, response }),
        Ok(Err(why)) => Err(Failure::new(GateOutcome::NoResponse, why)),
        Err(_) => {
            slots::response_unfinished(node);
            Err(Failure::new(GateOutcome::DeadlineExceeded, "response did not end before the deadline"))
        }
    }
}
