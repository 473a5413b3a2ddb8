//! The gate: takes calls of other nodes for this node's target, and hands over what the target can work on.

mod kept_target;
mod slots;
mod suspects;
mod target_end;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONTENT_ENCODING, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::callers::CallerKind;
use quillhatch_mesh::gate::Refusal;
use quillhatch_mesh::parents::InheritedContext;
use quillhatch_mesh::quarantine::RequestSignature;
use quillhatch_mesh::routing::find_route;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;

use crate::body::{read_up_to, Body};
use crate::feed::{self, FEED_PATH};
use crate::headers::{remove_connection_headers, text};
use crate::hop::{Forwarded, Outcome, Report, HOP};
use crate::node::Node;
use crate::pool::{ExchangeError, SentFlag};
use crate::presence::PRESENCE_PATH;
use crate::present_target;
use crate::reach;
use crate::relay::{relay_answer, relay_answer_holding};
pub use kept_target::{watch_kept_target, KeptTargetState};
use slots::admit;
pub use slots::{dismiss, hand_out, Slot};
pub use target_end::{identified, target_restarted};

/// The largest request that is read whole before it is handed over, in bytes.
const KEPT_REQUEST_BYTES: usize = 64 * 1024;
/// How long a target's own answer at the deadline is waited for.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(20);
/// The least time left with which a call goes to the target.
const SHORTEST_TIME: Duration = Duration::from_millis(3);

/// A call of another node.
struct Call {
    id: Option<HeaderValue>,
    expected: String,
    route: Option<Arc<str>>,
    arrived: Timestamp,
    deadline: Timestamp,
}

/// Serves one request of another node.
pub async fn serve(node: Rc<Node>, parts: Parts, body: Option<Incoming>) -> Response<Body> {
    if parts.uri.path() == FEED_PATH && !parts.headers.contains_key(HOP) {
        return feed::answer(&node, body).await;
    }
    if parts.uri.path() == PRESENCE_PATH && !parts.headers.contains_key(HOP) {
        return Response::new(Body::empty());
    }
    node.notice_suspension();
    let arrived = node.now();
    let headers = &parts.headers;
    let forwarded = text(headers, HOP).and_then(Forwarded::decode);
    let time = text(headers, headers::DEADLINE_MS).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let (Some(forwarded), Some(time)) = (forwarded, time) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    reach::heard(&node, forwarded.machine, forwarded.reach);
    let call = Call {
        id: headers.get(headers::REQUEST_ID).cloned(),
        expected: text(headers, headers::EXPECT_INSTANCE).unwrap_or_default().to_owned(),
        route: route_name(&node, &parts),
        arrived,
        deadline: arrived + time,
    };
    if let (Some(route), Some(caller)) = (&call.route, text(headers, headers::CALLER_SERVICE)) {
        node.callers.borrow_mut().count_call(route, caller);
    }
    let outcome = pass(&node, &call, &forwarded, parts, body).await;
    note_health(&node, &outcome);
    match outcome {
        Ok(mut response) => {
            node.counters.gate_ended("answered");
            report(&node, &call, Outcome::Answered, &mut response);
            response
        }
        Err(Failure { outcome, why, retry_after }) => {
            node.counters.gate_ended(outcome.name());
            log_failure(&node, &call, outcome, &why, arrived);
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if let Some(left) = retry_after {
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(left.as_secs().max(1)));
            }
            report(&node, &call, outcome, &mut response);
            response
        }
    }
}

fn route_name(node: &Node, parts: &Parts) -> Option<Arc<str>> {
    let configuration = node.current_configuration()?;
    let authority = text(&parts.headers, "host").unwrap_or_default();
    find_route(&configuration, authority, parts.uri.path()).map(|route| route.name.clone())
}

fn outcome_of(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Overloaded => Outcome::Full,
        Refusal::Closed => Outcome::Closed,
    }
}

/// Counts whether the target gave a good answer. One that is late may be late for the calls that it made.
fn note_health(node: &Node, outcome: &Result<Response<Body>, Failure>) {
    let now = node.now();
    let mut health = node.health.borrow_mut();
    match outcome {
        Ok(response) if response.status() == StatusCode::GATEWAY_TIMEOUT => {}
        Ok(response) if response.status().is_server_error() => health.record_error(now),
        Ok(_) => health.record_good(now),
        Err(Failure { outcome: Outcome::Rejected | Outcome::Broken, .. }) => health.record_bad(now),
        Err(_) => {}
    }
}

fn log_failure(node: &Node, call: &Call, outcome: Outcome, why: &str, arrived: Timestamp) {
    node.log_failure(|| {
        let load = node.gate.borrow().load();
        let id = call.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        format!(
            "\"event\":\"gate\",\"id\":{id:?},\"outcome\":\"{}\",\"why\":{why:?},\"expected\":\"{}\",\"running\":{},\"limit\":{},\"waiting\":{},\"ms\":{}",
            outcome.name(), call.expected, load.running, load.limit, load.waiting, node.now().since(arrived).as_millis()
        )
    });
}

fn report(node: &Node, call: &Call, outcome: Outcome, response: &mut Response<Body>) {
    let now = node.now();
    let load = node.gate.borrow().load();
    let cut = call
        .route
        .as_ref()
        .map_or(AdmissionLevel::FULL, |route| node.own_cut(route).lower_of(node.called_cut(route, now)));
    let present = match outcome {
        Outcome::Closed | Outcome::Rejected => {
            present_target::present(node).filter(|present| present.id != call.expected)
        }
        _ => None,
    };
    let called_by = call.route.as_ref().map_or(CallerKind::Unknown, |route| {
        let targets = node.targets.borrow();
        node.callers.borrow_mut().caller_kind(route, || targets.machine_shares())
    });
    let health = node.health.borrow_mut().good_share(now);
    let (reach, proof) = (reach::own_reach(node), node.tenancy.proof(&node.configuration.borrow(), call.arrived));
    let report = Report { outcome, load, cut, health, called_by, reach, proof, present };
    if let Ok(value) = HeaderValue::from_str(&report.encode()) {
        response.headers_mut().insert(HOP, value);
    }
}

/// Why there is no answer of the target.
struct Failure {
    outcome: Outcome,
    why: String,
    /// After how long the request may be tried again, if that is known.
    retry_after: Option<Duration>,
}

impl Failure {
    fn new(outcome: Outcome, why: impl Into<String>) -> Self {
        Failure { outcome, why: why.into(), retry_after: None }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::new(outcome_of(refusal), "not admitted")
    }
}

/// Reads the request, lets it in, and hands it to the target.
async fn pass(
    node: &Rc<Node>,
    call: &Call,
    forwarded: &Forwarded,
    parts: Parts,
    body: Option<Incoming>,
) -> Result<Response<Body>, Failure> {
    // Before the call takes a slot: whether it may run can depend on what it asks for.
    let body = match body.filter(|body| !body.is_end_stream()) {
        None => Body::empty(),
        Some(incoming) => match read_up_to(incoming, KEPT_REQUEST_BYTES).await {
            Ok(read) => read.into_body(),
            Err(error) => return Err(Failure::new(Outcome::Closed, error.to_string())),
        },
    };
    let signature = suspects::signature_of(&parts, &body);
    suspects::check(node, &signature)?;
    let slot = admit(node, call, forwarded, call.arrived).await?;
    // While it waited for a slot, targets may have ended under its like.
    suspects::check(node, &signature)?;
    run(node, call, parts, body, slot, Passing { lineage: forwarded.lineage.clone(), signature }).await
}

/// What is noted of a call while it is at the target.
struct Passing {
    lineage: InheritedContext,
    signature: RequestSignature,
}

async fn run(
    node: &Rc<Node>,
    call: &Call,
    mut parts: Parts,
    body: Body,
    mut slot: Slot,
    passing: Passing,
) -> Result<Response<Body>, Failure> {
    let left = node.now().until(call.deadline);
    if left < SHORTEST_TIME {
        return Err(Failure::new(Outcome::Full, "no time left"));
    }
    remove_connection_headers(&mut parts.headers);
    parts.headers.remove(HOP);
    if let Ok(value) = HeaderValue::from_str(&left.as_millis().to_string()) {
        parts.headers.insert(headers::DEADLINE_MS, value);
    }
    let request = Request::from_parts(parts, body);
    let told = Duration::from_millis(left.as_millis() as u64);
    let Passing { lineage, signature } = passing;
    slot.begin(node.now() + told, lineage, signature);
    let sent = SentFlag::default();
    let exchange = node.target.exchange_noting(node.settings.local_target, request, &sent);
    let exchange = node.clock.timeout_at(call.deadline + DEADLINE_ALLOWANCE, exchange).await;
    let (response, lease) = match exchange {
        // It still waited for a connection, so the target has not seen it.
        Err(_) if !sent.is_set() => {
            present_target::out_of_reach(node);
            return Err(Failure::new(Outcome::Closed, "no connection in time"));
        }
        Err(_) => return Err(Failure::new(Outcome::Late, "no answer in time")),
        Ok(Err(error @ (ExchangeError::Refused | ExchangeError::NotSent(_)))) => {
            present_target::out_of_reach(node);
            return Err(Failure::new(Outcome::Closed, error.to_string()));
        }
        Ok(Err(ExchangeError::NoAnswer(why))) => {
            slot.lost();
            return Err(Failure::new(Outcome::Broken, format!("{why}, signature {}", signature.narrow)));
        }
        Ok(Ok(answered)) => answered,
    };
    let is_own = response.headers().get(headers::REQUEST_ID) == call.id.as_ref();
    if !is_own {
        return Err(Failure::new(Outcome::Broken, "an answer to another request"));
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST || response.headers().contains_key(headers::REQUEST_NOT_RUN)
    {
        let status = response.status();
        if let Some(id) = text(response.headers(), headers::INSTANCE_ID) {
            present_target::learn(node, id);
        }
        let _ = relay_answer(response, lease).await;
        return Err(Failure::new(Outcome::Rejected, format!("the target said {status}")));
    }
    let is_signed = response.headers().contains_key(headers::SERVER_STAMP);
    if response.status().is_success() && (!is_signed || response.headers().contains_key(CONTENT_ENCODING)) {
        return Err(Failure::new(Outcome::Broken, "an answer without the target's signature"));
    }
    let relayed =
        node.clock.timeout_at(call.deadline + DEADLINE_ALLOWANCE, relay_answer_holding(response, lease, Some(slot)));
    match relayed.await {
        Ok(relayed) => relayed.map_err(|why| Failure::new(Outcome::Broken, why)),
        Err(_) => Err(Failure::new(Outcome::Late, "the answer did not end in time")),
    }
}
