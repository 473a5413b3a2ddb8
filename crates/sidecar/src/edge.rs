//! The edge: takes a call from a caller or from this node's own target and brings back an answer.

use std::cell::Cell;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use quillhatch_mesh::admission::{admission_probability, Entrant};
use quillhatch_mesh::configuration::{Configuration, Repeatability, Route};
use quillhatch_mesh::parents::{Lineage, Origin};
use quillhatch_mesh::routing::{choose_service, find_route};
use quillhatch_mesh::targets::{Target, TargetId};
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;
use rand::Rng;

use crate::body::{read_up_to, Body, Read};
use crate::counters::Counters;
use crate::hop::{Forwarded, Outcome, Report, HOP};
use crate::node::Node;
use crate::pool::{ExchangeError, Lease};
use crate::presence;
use crate::views;

/// The largest request that is kept to be sent again, in bytes.
const KEPT_REQUEST_BYTES: usize = 64 * 1024;
/// How long a target's own answer at the deadline is waited for.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(40);
/// The least time left with which a call is sent.
const SHORTEST_TIME: Duration = Duration::from_millis(4);
/// The gates that may refuse a call before it is given up.
const MOST_FULL_GATES: usize = 2;
/// The part of its objective for which a call may go without being offered to a target.
const UNOFFERED_PART: f64 = 0.22;
/// The part of its time that a call made by a target may wait at a gate.
const INNER_PATIENCE_PART: f64 = 0.6;
/// The pause before targets that could not be reached are tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(40);
/// The share of the longest deadline of a route below which a caller is taken to ask again.
const REPEAT_BELOW: f64 = 0.97;

/// Headers that speak of one connection only.
pub fn is_connection_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer" | "transfer-encoding" | "upgrade"
    )
}

struct Call {
    id: String,
    route: Arc<Route>,
    method: Method,
    uri: hyper::Uri,
    headers: HeaderMap,
    is_inner: bool,
    lineage: Lineage,
    arrived: Timestamp,
    deadline: Timestamp,
}

enum Attempt {
    /// The target's answer.
    Answer(Box<Response<Body>>),
    /// It has not run: the gate has no room.
    Full,
    /// It has not run for another reason, and no target has seen it.
    NotRun(&'static str),
    /// It has not run, since another target has followed the one that was meant; that one is listed now.
    Followed,
    /// It has not run, but a target has seen and refused it.
    Rejected,
    /// It may have run, and there is no answer.
    Broken(String),
    /// Its time is over.
    Late,
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
    let arrived = node.now();
    let id = text(&parts.headers, headers::REQUEST_ID).to_owned();
    let Some(configuration) = node.current_configuration() else {
        return refuse(node, &id, "no-configuration", Duration::from_millis(300), arrived);
    };
    let authority = match parts.uri.authority() {
        Some(authority) => authority.as_str().to_owned(),
        None => text(&parts.headers, HOST.as_str()).to_owned(),
    };
    let Some(route) = find_route(&configuration, &authority, parts.uri.path()).cloned() else {
        let version = configuration.version;
        node.log_failure(|| {
            format!("\"event\":\"no-route\",\"id\":\"{id}\",\"host\":{authority:?},\"version\":{version}")
        });
        return own_answer(node, &id, StatusCode::NOT_FOUND, "no-route", arrived);
    };
    if let Some(status) = malformed(&configuration, &parts, incoming.as_ref()) {
        node.log_failure(|| format!("\"event\":\"malformed\",\"id\":\"{id}\",\"status\":{}", status.as_u16()));
        return own_answer(node, &id, status, "malformed", arrived);
    }
    let given = text(&parts.headers, headers::DEADLINE_MS).parse().ok().map(Duration::from_millis);
    let time = given.map_or(route.timeout, |given| given.min(route.timeout));
    let origin = origin(node, &route, peer, given, arrived);
    let lineage = match &origin {
        Origin::Parent(_, lineage) => lineage.clone(),
        Origin::Target => Lineage { priority: likely_priority(node, &route), position: position(&id) },
        Origin::Caller => Lineage { priority: route.priority, position: position(&id) },
    };
    let is_inner = origin != Origin::Caller;
    if !is_inner {
        if let Some(level) = refused_at_entry(node, &configuration, &route, &lineage, given, arrived) {
            let version = configuration.version;
            node.log_failure(|| {
                let name = &route.name;
                format!("\"event\":\"refused\",\"id\":\"{id}\",\"route\":\"{name}\",\"level\":{level:.3},\"version\":{version}")
            });
            return refuse(node, &id, "shed", entry_retry_after(node), arrived);
        }
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
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    for name in [HOP, headers::DEADLINE_MS, headers::EXPECT_INSTANCE, headers::CALLER_SERVICE] {
        headers.remove(name);
    }
    if let Ok(service) = HeaderValue::from_str(&node.settings.service) {
        headers.insert(headers::CALLER_SERVICE, service);
    }
    let deadline = arrived + time;
    let call = Call { id, route, method: parts.method, uri: parts.uri, headers, is_inner, lineage, arrived, deadline };
    let _root = (!is_inner).then(|| Counted::new(&node.root_calls));
    run(node, call, body).await
}

/// Who makes a call; a call of this node's target is noted in the graph of calls.
fn origin(node: &Node, route: &Route, peer: SocketAddr, given: Option<Duration>, now: Timestamp) -> Origin {
    if peer.ip() != node.settings.local_target.ip() {
        return Origin::Caller;
    }
    let Some(given) = given else { return Origin::Caller };
    let origin = node.parents.borrow_mut().origin(&route.name, now + given);
    match &origin {
        Origin::Parent(parent, _) => node.graph.borrow_mut().called(&route.name, Some(parent), now),
        Origin::Target => node.graph.borrow_mut().called(&route.name, None, now),
        Origin::Caller => {}
    }
    origin
}

/// The importance that a call of this node's target inherits where its parent is not known for sure.
fn likely_priority(node: &Node, route: &Route) -> u8 {
    let graph = node.graph.borrow();
    let inherited = graph.likely_parent(&route.name).and_then(|parent| node.parents.borrow().priority_of(parent));
    inherited.unwrap_or(route.priority)
}

/// The position of a call that enters the graph, drawn from its identity.
fn position(id: &str) -> u8 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u8
}

/// The level that refused a call which enters the graph here, if it is refused.
fn refused_at_entry(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    lineage: &Lineage,
    given: Option<Duration>,
    now: Timestamp,
) -> Option<f64> {
    let is_repeat = given.is_some_and(|given| {
        let mut longest = node.longest_deadlines.borrow_mut();
        let longest = longest.entry(route.name.clone()).or_default();
        *longest = given.max(*longest);
        given < longest.mul_f64(REPEAT_BELOW)
    });
    let level = node.levels.borrow().level(&route.name, now);
    if level >= 0.999 {
        return None;
    }
    let unimportance = f64::from(route.priority) / f64::from(configuration.least_priority().max(1));
    let probability = admission_probability(Entrant { level, unimportance, is_repeat });
    (f64::from(lineage.position) / 256.0 >= probability).then_some(level)
}

fn entry_retry_after(node: &Node) -> Duration {
    node.random.borrow_mut().gen_range(Duration::from_millis(600)..Duration::from_millis(1400))
}

fn malformed(configuration: &Configuration, parts: &Parts, body: Option<&Incoming>) -> Option<StatusCode> {
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

async fn run(node: &Rc<Node>, call: Call, body: Body) -> Response<Body> {
    let service = choose_service(&call.route, &mut *node.random.borrow_mut()).cloned();
    let Some(service) = service else {
        return refuse(node, &call.id, "no-destination", Duration::from_millis(300), call.arrived);
    };
    node.count_call(&service);
    let offer_until = call.arrived + call.route.objective.mul_f64(UNOFFERED_PART);
    let mut body = Some(body);
    let mut tried: Vec<TargetId> = Vec::new();
    let (mut full, mut may_have_run, mut runs) = (0, false, 0);
    loop {
        let now = node.now();
        let left = now.until(call.deadline);
        if left < SHORTEST_TIME {
            let why = if may_have_run { "late" } else { "late-not-run" };
            return give_up(node, &call, may_have_run, why, tried.len());
        }
        let chosen = {
            let targets = node.targets.borrow();
            let members = targets.of_service(&service);
            let mut random = node.random.borrow_mut();
            node.balance.borrow().choose(members, &tried, &node.settings.zone, now, &mut *random)
        };
        let Some(target) = chosen else {
            if full == 0 && now < offer_until && !may_have_run {
                tokio::time::sleep(UNREACHABLE_PAUSE).await;
                tried.clear();
                continue;
            }
            node.levels.borrow_mut().report(&call.route.name, 0.0, now);
            return give_up(node, &call, may_have_run, "no-target", tried.len());
        };
        let runs_once = call.route.repeatability == Repeatability::AtMostOnce;
        if runs_once && !presence::is_there_now(node, &target).await {
            node.log_failure(|| attempt_line(&call, &target, "silent, not sent"));
            tried.push(target.id.clone());
            continue;
        }
        let Some(sent) = body.as_ref().and_then(Body::copy_if_whole).or_else(|| body.take()) else {
            return give_up(node, &call, may_have_run, "body-gone", tried.len());
        };
        match attempt(node, &call, &target, sent).await {
            Attempt::Answer(response) => {
                let took = node.now().since(call.arrived);
                node.counters.edge_ended("answered", took);
                let status = response.status().as_u16();
                let line = || {
                    format!(
                        "\"event\":\"answered\",\"id\":\"{}\",\"route\":\"{}\",\"target\":\"{}\",\"status\":{status},\"ms\":{},\"tried\":{}",
                        call.id, call.route.name, target.id, took.as_millis(), tried.len() + 1
                    )
                };
                if status < 400 {
                    node.log_success(line)
                } else {
                    node.log_failure(line)
                }
                return *response;
            }
            Attempt::Full => {
                full += 1;
                tried.push(target.id.clone());
                if full >= MOST_FULL_GATES {
                    return give_up(node, &call, may_have_run, "full", tried.len());
                }
            }
            Attempt::NotRun(why) => {
                node.log_failure(|| attempt_line(&call, &target, why));
                node.balance.borrow_mut().refused(&target.id, node.now());
                tried.push(target.id.clone());
            }
            Attempt::Followed => tried.push(target.id.clone()),
            Attempt::Rejected => {
                node.log_failure(|| attempt_line(&call, &target, "rejected"));
                tried.push(target.id.clone());
                if !node.try_repeat(&service) {
                    return give_up(node, &call, may_have_run, "rejected", tried.len());
                }
                Counters::add(&node.counters.repeats);
            }
            Attempt::Broken(why) => {
                node.log_failure(|| attempt_line(&call, &target, &why));
                may_have_run = true;
                runs += 1;
                tried.push(target.id.clone());
                let may_repeat =
                    call.route.repeatability == Repeatability::Repeatable && runs < call.route.maximum_attempts;
                if !may_repeat || !node.try_repeat(&service) {
                    return give_up(node, &call, true, "broken", tried.len());
                }
                Counters::add(&node.counters.repeats);
            }
            Attempt::Late => return give_up(node, &call, true, "late", tried.len()),
        }
    }
}

fn attempt_line(call: &Call, target: &Target, why: &str) -> String {
    format!(
        "\"event\":\"attempt-failed\",\"id\":\"{}\",\"route\":\"{}\",\"target\":\"{}\",\"why\":{why:?}",
        call.id, call.route.name, target.id
    )
}

struct InFlight<'a> {
    node: &'a Node,
    target: &'a TargetId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.balance.borrow_mut().ended(self.target);
    }
}

async fn attempt(node: &Rc<Node>, call: &Call, target: &Target, body: Body) -> Attempt {
    let begun = node.now();
    let left = begun.until(call.deadline);
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let patience = if call.is_inner {
        left.mul_f64(INNER_PATIENCE_PART)
    } else {
        begun.until(call.arrived + call.route.objective.mul_f64(UNOFFERED_PART)).min(left)
    };
    let forwarded =
        Forwarded { is_root: !call.is_inner, lineage: call.lineage.clone(), patience, reach: views::own_reach(node) };
    let added = [
        (HOP, forwarded.encode()),
        (headers::DEADLINE_MS, left.as_millis().to_string()),
        (headers::EXPECT_INSTANCE, target.id.to_string()),
    ];
    for (name, value) in added {
        let Ok(value) = HeaderValue::from_str(&value) else { return Attempt::NotRun("unfit header") };
        request.headers_mut().insert(name, value);
    }
    let address = SocketAddr::new(target.announcement.address.ip(), node.settings.inbound.port());
    node.balance.borrow_mut().sent(&target.id);
    let in_flight = InFlight { node, target: &target.id };
    let exchange = node.peers.exchange(address, request);
    let (response, lease) = match exchange_while_present(node, call, target, begun, exchange).await {
        Exchanged::Late => return Attempt::Late,
        Exchanged::Silent => return Attempt::Broken("the node is silent".to_owned()),
        Exchanged::Failed(ExchangeError::NotSent(_)) => return Attempt::NotRun("unreachable"),
        Exchanged::Failed(ExchangeError::NoAnswer(why)) => return Attempt::Broken(why),
        Exchanged::Answered(response, lease) => (*response, lease),
    };
    let report = response.headers().get(HOP).and_then(|value| value.to_str().ok()).and_then(Report::decode);
    let Some(report) = report else { return Attempt::Broken("an answer without a report".to_owned()) };
    let now = node.now();
    node.balance.borrow_mut().reported(&target.id, report.load, now);
    if matches!(report.outcome, Outcome::Answered | Outcome::Full) {
        node.levels.borrow_mut().report(&call.route.name, report.level, now);
    }
    node.parents.borrow_mut().told(&call.route.name, report.is_called_by_targets);
    if report.version > node.heard_version.get().max(node.configuration.borrow().version()) {
        node.heard_version.set(report.version);
        node.behind.notify_one();
    }
    views::hand_over_if_needed(node, target.announcement.address.ip(), report.reach);
    let follows = report.present.as_ref().is_some_and(|present| {
        let mut targets = node.targets.borrow_mut();
        targets.succeed(&target.id, Arc::from(present.id.as_str()), &present.service, now);
        targets.get(&present.id).is_some()
    });
    match report.outcome {
        Outcome::Answered => {
            if response.status().is_success() {
                node.balance.borrow_mut().answered(&target.id, &call.route.name, now.since(begun), now);
            }
            drop(in_flight);
            relay(response, lease).await
        }
        Outcome::Full => {
            finish(response, lease).await;
            Attempt::Full
        }
        Outcome::Closed if follows => {
            finish(response, lease).await;
            Attempt::Followed
        }
        Outcome::Closed => {
            finish(response, lease).await;
            Attempt::NotRun("closed")
        }
        Outcome::Rejected => {
            finish(response, lease).await;
            Attempt::Rejected
        }
        Outcome::Broken => {
            finish(response, lease).await;
            Attempt::Broken("broken at the target".to_owned())
        }
        Outcome::Late => {
            finish(response, lease).await;
            Attempt::Late
        }
    }
}

enum Exchanged {
    Answered(Box<Response<Incoming>>, Lease),
    Failed(ExchangeError),
    /// The call's time is over.
    Late,
    /// The node is not there; only told of calls that may be repeated.
    Silent,
}

impl From<Result<(Response<Incoming>, Lease), ExchangeError>> for Exchanged {
    fn from(result: Result<(Response<Incoming>, Lease), ExchangeError>) -> Self {
        match result {
            Ok((response, lease)) => Exchanged::Answered(Box::new(response), lease),
            Err(error) => Exchanged::Failed(error),
        }
    }
}

/// Waits for an exchange until the call's deadline, or until its node turns out not to be there.
async fn exchange_while_present(
    node: &Rc<Node>,
    call: &Call,
    target: &Target,
    begun: Timestamp,
    exchange: impl Future<Output = Result<(Response<Incoming>, Lease), ExchangeError>>,
) -> Exchanged {
    let mut exchange = pin!(exchange);
    let until_end = |node: &Node| node.now().until(call.deadline) + DEADLINE_ALLOWANCE;
    let suspicion = node.balance.borrow().suspicion_after(&call.route.name);
    if suspicion < until_end(node) && call.route.repeatability == Repeatability::Repeatable {
        if let Ok(result) = tokio::time::timeout(suspicion, &mut exchange).await {
            return result.into();
        }
        tokio::select! {
            biased;
            result = &mut exchange => return result.into(),
            is_there = presence::is_there(node, target, begun) => if !is_there { return Exchanged::Silent },
        }
    }
    match tokio::time::timeout(until_end(node), exchange).await {
        Ok(result) => result.into(),
        Err(_) => Exchanged::Late,
    }
}

async fn finish(response: Response<Incoming>, lease: Lease) {
    if response.into_body().collect().await.is_ok() {
        lease.keep();
    }
}

async fn relay(response: Response<Incoming>, lease: Lease) -> Attempt {
    match crate::gate::relay_answer(response, lease).await {
        Ok(mut response) => {
            response.headers_mut().remove(HOP);
            Attempt::Answer(Box::new(response))
        }
        Err(why) => Attempt::Broken(why),
    }
}

/// The final answer to a call that no target has answered.
fn give_up(node: &Node, call: &Call, may_have_run: bool, why: &'static str, tried: usize) -> Response<Body> {
    let now = node.now();
    let version = node.configuration.borrow().version();
    node.log_failure(|| {
        format!(
            "\"event\":\"given-up\",\"id\":\"{}\",\"route\":\"{}\",\"why\":\"{why}\",\"may_have_run\":{may_have_run},\"tried\":{tried},\"ms\":{},\"version\":{version}",
            call.id, call.route.name, now.since(call.arrived).as_millis()
        )
    });
    if !may_have_run {
        let pause = node.random.borrow_mut().gen_range(Duration::from_millis(200)..Duration::from_millis(600));
        return refuse(node, &call.id, why, pause, call.arrived);
    }
    let status = if why == "late" { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    own_answer(node, &call.id, status, why, call.arrived)
}

/// Tells the caller that the call has not run, and when to come back.
fn refuse(node: &Node, id: &str, why: &'static str, pause: Duration, arrived: Timestamp) -> Response<Body> {
    let mut response = own_answer(node, id, StatusCode::SERVICE_UNAVAILABLE, why, arrived);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.2}", pause.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn own_answer(node: &Node, id: &str, status: StatusCode, why: &'static str, arrived: Timestamp) -> Response<Body> {
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

/// Takes off the headers that speak of one connection, and those that `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|token| token.trim().to_ascii_lowercase()))
        .filter(|token| !token.is_empty() && token != "close" && token != "keep-alive")
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    let connection: Vec<HeaderName> = headers.keys().filter(|name| is_connection_header(name)).cloned().collect();
    for name in connection {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
