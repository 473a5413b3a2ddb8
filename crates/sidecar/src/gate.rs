//! The gate: takes calls of other nodes for this node's target, and hands over what the target can work on.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::gate::{Arrival, Refusal};
use quillhatch_mesh::parents::{Lineage, RunningCall};
use quillhatch_mesh::queue::{Rank, Ticket};
use quillhatch_mesh::routing::find_route;
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use tokio::sync::oneshot;

use crate::body::{read_up_to, Body, BodyError, Read};
use crate::edge::remove_connection_headers;
use crate::hop::{Forwarded, Outcome, Report, HOP};
use crate::node::{Admitted, Node};
use crate::pool::{ExchangeError, Lease};
use crate::presence::PRESENCE_PATH;
use crate::present_target;
use crate::views::{self, VIEW_PATH};

/// The largest answer that is read whole before any of it is passed on, in bytes.
const KEPT_ANSWER_BYTES: usize = 64 * 1024;
/// The level below which all gates serve the same roots first.
const SAME_ROOTS_BELOW: f64 = 0.9;
/// How long a target's own answer at the deadline is waited for.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(20);
/// The least time left with which a call goes to the target.
const SHORTEST_TIME: Duration = Duration::from_millis(3);

struct Call {
    id: Option<HeaderValue>,
    expected: String,
    route: Option<Arc<str>>,
    deadline: Timestamp,
}

/// Serves one request of another node.
pub async fn serve(node: Rc<Node>, parts: Parts, body: Option<Incoming>, peer: SocketAddr) -> Response<Body> {
    if parts.uri.path() == VIEW_PATH && !parts.headers.contains_key(HOP) {
        return views::receive(&node, body).await;
    }
    if parts.uri.path() == PRESENCE_PATH && !parts.headers.contains_key(HOP) {
        return Response::new(Body::empty());
    }
    let arrived = node.now();
    let headers = &parts.headers;
    let forwarded = header(headers, HOP).and_then(Forwarded::decode);
    let time = header(headers, headers::DEADLINE_MS).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let (Some(forwarded), Some(time)) = (forwarded, time) else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    views::hand_over_if_needed(&node, peer.ip(), forwarded.reach);
    let call = Call {
        id: headers.get(headers::REQUEST_ID).cloned(),
        expected: header(headers, headers::EXPECT_INSTANCE).unwrap_or_default().to_owned(),
        route: route_name(&node, &parts),
        deadline: arrived + time,
    };
    if let (Some(route), Some(caller)) = (&call.route, header(headers, headers::CALLER_SERVICE)) {
        node.callers.borrow_mut().count(route, caller);
    }
    let outcome = match admit(&node, &call, &forwarded, arrived).await {
        Ok(slot) => run(&node, &call, parts, body, slot, forwarded.lineage).await,
        Err(refusal) => Err((outcome_of(refusal), "not admitted".to_owned())),
    };
    match outcome {
        Ok(mut response) => {
            node.counters.gate_ended("answered");
            report(&node, &call, Outcome::Answered, &mut response);
            response
        }
        Err((outcome, why)) => {
            node.counters.gate_ended(outcome.name());
            log_failure(&node, &call, outcome, &why, arrived);
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            report(&node, &call, outcome, &mut response);
            response
        }
    }
}

fn route_name(node: &Node, parts: &Parts) -> Option<Arc<str>> {
    let configuration = node.current_configuration()?;
    let authority = header(&parts.headers, "host").unwrap_or_default();
    find_route(&configuration, authority, parts.uri.path()).map(|route| route.name.clone())
}

fn outcome_of(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Full => Outcome::Full,
        Refusal::Closed => Outcome::Closed,
    }
}

fn log_failure(node: &Node, call: &Call, outcome: Outcome, why: &str, arrived: Timestamp) {
    node.log_failure(|| {
        let load = node.gate.borrow().load();
        let id = call.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        format!(
            "\"event\":\"gate\",\"id\":\"{id}\",\"outcome\":\"{}\",\"why\":{why:?},\"expected\":\"{}\",\"running\":{},\"limit\":{},\"waiting\":{},\"ms\":{}",
            outcome.name(), call.expected, load.running, load.limit, load.waiting, node.now().since(arrived).as_millis()
        )
    });
}

fn report(node: &Node, call: &Call, outcome: Outcome, response: &mut Response<Body>) {
    let now = node.now();
    let load = node.gate.borrow().load();
    let own = {
        let mut pressure = node.pressure.borrow_mut();
        pressure.observe(load, now);
        pressure.level()
    };
    let called = call.route.as_ref().map_or(1.0, |route| {
        let graph = node.graph.borrow();
        let level = node.levels.borrow().least(graph.called_by(route), now);
        level
    });
    let version = node.configuration.borrow().version();
    let present = match outcome {
        Outcome::Closed | Outcome::Rejected => {
            present_target::present(node).filter(|present| present.id != call.expected)
        }
        _ => None,
    };
    let services = node.current_configuration().map_or(0, |configuration| configuration.services.len());
    let is_called_by_targets =
        call.route.as_ref().is_some_and(|route| node.callers.borrow().is_called_by_targets(route, services));
    let report = Report {
        outcome,
        load,
        level: own.min(called),
        is_called_by_targets,
        version,
        reach: views::own_reach(node),
        present,
    };
    if let Ok(value) = HeaderValue::from_str(&report.encode()) {
        response.headers_mut().insert(HOP, value);
    }
}

/// A slot of the target; given back when dropped.
pub struct Slot {
    node: Rc<Node>,
    route: Option<Arc<str>>,
    running: Option<RunningCall>,
    since: Timestamp,
}

impl Slot {
    fn new(node: &Rc<Node>, route: Option<Arc<str>>) -> Self {
        if let Some(route) = &route {
            node.graph.borrow_mut().started(route, node.now());
        }
        Slot { node: Rc::clone(node), route, running: None, since: node.now() }
    }

    /// The call goes to the target, which is told to end it at `deadline`.
    fn begin(&mut self, deadline: Timestamp, lineage: Lineage) {
        if let Some(route) = self.route.clone() {
            self.running = Some(self.node.parents.borrow_mut().started(deadline, route, lineage));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(running) = self.running.take() {
            let held = self.node.now().since(self.since);
            self.node.pressure.borrow_mut().held(held);
            self.node.parents.borrow_mut().ended(running);
        }
        if let Some(route) = &self.route {
            self.node.graph.borrow_mut().ended(route, self.node.now());
        }
        self.node.gate.borrow_mut().finish();
        hand_out(&self.node);
    }
}

/// Hands free slots to the calls that wait.
pub fn hand_out(node: &Rc<Node>) {
    loop {
        let next = node.gate.borrow_mut().admit_next();
        let Some(ticket) = next else { return };
        let waiting = node.waiting.borrow_mut().remove(&ticket);
        if waiting.is_none_or(|waiting| waiting.send(true).is_err()) {
            node.gate.borrow_mut().finish();
        }
    }
}

/// Tells waiting calls that their time to wait is over, or that the gate is closed.
pub fn dismiss(node: &Rc<Node>) {
    loop {
        let now = node.now();
        let ticket = {
            let mut gate = node.gate.borrow_mut();
            gate.expire(now).or_else(|| gate.evict())
        };
        let Some(ticket) = ticket else { return };
        refuse_waiting(node, ticket);
    }
}

fn refuse_waiting(node: &Node, ticket: Ticket) {
    if let Some(waiting) = node.waiting.borrow_mut().remove(&ticket) {
        // The call may have left.
        let _ = waiting.send(false);
    }
}

/// Takes a waiting call out of the queue if its caller leaves.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Admitted>,
}

impl Waiting<'_> {
    async fn admitted(&mut self) -> Admitted {
        (&mut self.receiver).await.unwrap_or(false)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        match self.receiver.try_recv() {
            // It was given a slot that nobody takes.
            Ok(true) => {
                self.node.gate.borrow_mut().finish();
                hand_out(self.node);
            }
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.waiting.borrow_mut().remove(&self.ticket);
                self.node.gate.borrow_mut().leave(self.ticket);
            }
            // It was refused, or its answer was taken.
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
    }
}

async fn admit(node: &Rc<Node>, call: &Call, forwarded: &Forwarded, now: Timestamp) -> Result<Slot, Refusal> {
    present_target::verify(node).await;
    if !present_target::takes(node, &call.expected) {
        return Err(Refusal::Closed);
    }
    let Lineage { priority, position } = forwarded.lineage;
    // In the order of arrival while all that arrives can be served.
    let position = if node.pressure.borrow().level() < SAME_ROOTS_BELOW { position } else { 0 };
    let rank = Rank { priority, is_root: forwarded.is_root, position };
    let (arrival, displaced) = node.gate.borrow_mut().arrive(rank, forwarded.patience, now);
    if let Some(ticket) = displaced {
        refuse_waiting(node, ticket);
    }
    match arrival {
        Arrival::Runs => Ok(Slot::new(node, call.route.clone())),
        Arrival::Refused(refusal) => Err(refusal),
        Arrival::Waits(ticket) => {
            let (sender, receiver) = oneshot::channel();
            node.waiting.borrow_mut().insert(ticket, sender);
            node.pressure.borrow_mut().observe(node.gate.borrow().load(), now);
            node.gate_changed.notify_one();
            if !(Waiting { node, ticket, receiver }).admitted().await {
                let closed = node.gate.borrow().is_closed();
                return Err(if closed { Refusal::Closed } else { Refusal::Full });
            }
            let slot = Slot::new(node, call.route.clone());
            if present_target::takes(node, &call.expected) {
                Ok(slot)
            } else {
                Err(Refusal::Closed)
            }
        }
    }
}

type Failure = (Outcome, String);

async fn run(
    node: &Rc<Node>,
    call: &Call,
    mut parts: Parts,
    body: Option<Incoming>,
    mut slot: Slot,
    lineage: Lineage,
) -> Result<Response<Body>, Failure> {
    let left = node.now().until(call.deadline);
    if left < SHORTEST_TIME {
        return Err((Outcome::Full, "no time left".to_owned()));
    }
    remove_connection_headers(&mut parts.headers);
    parts.headers.remove(HOP);
    if let Ok(value) = HeaderValue::from_str(&left.as_millis().to_string()) {
        parts.headers.insert(headers::DEADLINE_MS, value);
    }
    let body = match body.filter(|body| !body.is_end_stream()) {
        None => Body::empty(),
        Some(incoming) => match read_up_to(incoming, KEPT_ANSWER_BYTES).await {
            Ok(read) => read.into_body(),
            Err(error) => return Err((Outcome::Closed, error.to_string())),
        },
    };
    let request = Request::from_parts(parts, body);
    let told = Duration::from_millis(left.as_millis() as u64);
    slot.begin(node.now() + told, lineage);
    let exchange = node.target.exchange(node.settings.local_target, request);
    let exchange = tokio::time::timeout(left + DEADLINE_ALLOWANCE, exchange).await;
    let (response, lease) = match exchange {
        Err(_) => return Err((Outcome::Late, "no answer in time".to_owned())),
        Ok(Err(ExchangeError::NotSent(why))) => {
            present_target::out_of_reach(node);
            return Err((Outcome::Closed, why));
        }
        Ok(Err(ExchangeError::NoAnswer(why))) => return Err((Outcome::Broken, why)),
        Ok(Ok(answered)) => answered,
    };
    let is_own = response.headers().get(headers::REQUEST_ID) == call.id.as_ref();
    if !is_own {
        return Err((Outcome::Broken, "an answer to another request".to_owned()));
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST || response.headers().contains_key(headers::REQUEST_NOT_RUN)
    {
        let status = response.status();
        if let Some(id) = header(response.headers(), headers::INSTANCE_ID) {
            present_target::learn(node, id);
        }
        let _ = relay_answer(response, lease).await;
        return Err((Outcome::Rejected, format!("the target said {status}")));
    }
    let is_signed = response.headers().contains_key(headers::SERVER_STAMP);
    if response.status().is_success() && (!is_signed || response.headers().contains_key(CONTENT_ENCODING)) {
        return Err((Outcome::Broken, "an answer without the target's signature".to_owned()));
    }
    let relayed = tokio::time::timeout(
        node.now().until(call.deadline) + DEADLINE_ALLOWANCE,
        relay_answer_holding(response, lease, Some(slot)),
    );
    match relayed.await {
        Ok(relayed) => relayed.map_err(|why| (Outcome::Broken, why)),
        Err(_) => Err((Outcome::Late, "the answer did not end in time".to_owned())),
    }
}

/// Passes an answer on: whole if it is short, else as it arrives. The connection is kept after a whole answer.
///
/// # Errors
///
/// Returns why a short answer broke off.
pub async fn relay_answer(response: Response<Incoming>, lease: Lease) -> Result<Response<Body>, String> {
    relay_answer_holding(response, lease, None).await
}

async fn relay_answer_holding(
    response: Response<Incoming>,
    lease: Lease,
    slot: Option<Slot>,
) -> Result<Response<Body>, String> {
    let (mut parts, incoming) = response.into_parts();
    let length = parts.headers.get(hyper::header::CONTENT_LENGTH).cloned();
    remove_connection_headers(&mut parts.headers);
    match read_up_to(incoming, KEPT_ANSWER_BYTES).await.map_err(|error| error.to_string())? {
        Read::Whole(bytes) => {
            if bytes.is_empty() {
                if let Some(length) = length {
                    parts.headers.insert(hyper::header::CONTENT_LENGTH, length);
                }
            }
            lease.keep();
            drop(slot);
            Ok(Response::from_parts(parts, Body::Whole(bytes)))
        }
        Read::Continued(rest) => {
            let remaining = rest.size_hint().exact();
            let held = Held { body: Box::pin(rest), remaining, holding: Some((lease, slot)) };
            Ok(Response::from_parts(parts, Body::streamed(held)))
        }
    }
}

/// A long answer that holds its connection and its slot until it has ended.
struct Held {
    body: Pin<Box<crate::body::Continued>>,
    remaining: Option<u64>,
    holding: Option<(Lease, Option<Slot>)>,
}

impl Held {
    /// Takes note of what was passed on; an answer of known length ends without a further call.
    fn note(&mut self, polled: &Poll<Option<Result<Frame<Bytes>, BodyError>>>) {
        let is_over = match polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(length));
                self.remaining == Some(0)
            }
            _ => false,
        };
        if !is_over {
            return;
        }
        if let Some((lease, _slot)) = self.holding.take() {
            lease.keep();
        }
    }
}

impl HttpBody for Held {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = this.body.as_mut().poll_frame(context);
        this.note(&polled);
        polled
    }

    fn is_end_stream(&self) -> bool {
        // The end must be polled for, so that the connection is given back.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
