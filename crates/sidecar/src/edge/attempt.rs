//! One attempt to serve a call at one target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::balance::Choice;
use quillhatch_mesh::configuration::Retryability;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::targets::{Target, TargetId};
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;

use super::Call;
use crate::body::Body;
use crate::headers::header_text;
use crate::hop::{GateOutcome, HopContext, HopReport, HOP_HEADER};
use crate::liveness;
use crate::logging::JsonText;
use crate::node::Node;
use crate::peer_io::PeerBody;
use crate::pool::{ConnectionLease, ExchangeError, SentFlag};
use crate::relay::relay_response;
use crate::store_view;
use crate::stream::{MeasuredCall, RelayedCall, StreamTimes};

/// How long past the deadline the edge waits for a response that the target sends at the deadline: longer than the gate
/// waits.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(40);
/// The fraction of its remaining time that a nested call may spend in a gate's queue.
const NESTED_QUEUE_FRACTION: f64 = 0.6;
/// The fraction of its latency objective within which a root call must be dispatched to a target. Until then it may
/// wait in a gate's queue, or for a target that can be reached.
pub(super) const DISPATCH_FRACTION: f64 = 0.22;

/// The minimum admission level of a route, as a share of the priorities, at which its service has spare capacity. A
/// call that takes long is then slow because of its target, and one more attempt does not add to an overload.
const SPARE_CAPACITY_MIN_LEVEL: f64 = 0.95;
/// The minimum time until the deadline for another target to be tried beside a slow one, as a multiple of the mean
/// response time of the route.
const MIN_REMAINING_FACTOR: u32 = 2;

/// The number of failed liveness probes after which an attempt ends that can't be retried: a node that stands still for
/// some tenths of a second fails only one.
const MAX_FAILED_PROBES: u32 = 2;

/// The retry delay of a quarantined request if the gate's response has no valid `Retry-After` header.
const DEFAULT_QUARANTINE_DELAY: Duration = Duration::from_secs(60);

/// How one attempt ended.
pub(super) enum Attempt {
    /// The target's response.
    Response(Box<Response<Body>>),
    /// The target's response: it has ended the call early, because the node beside it is stopping.
    Interrupted(Box<Response<Body>>),
    /// The call has not run: the gate has no free slot for it.
    Full,
    /// The call has not run and no target has received it, for this reason.
    NotRun(&'static str),
    /// The call has not run: another instance has replaced the target, and is now in the list of targets.
    TargetReplaced,
    /// The call has not run: a target received it and refused it.
    Rejected,
    /// The call has not run: it exceeds the rate limit of the target, and may be retried after this delay.
    RateLimited(Duration),
    /// The call has not run: requests with its signature crash targets. It may be retried after this delay.
    Quarantined(Duration),
    /// The call may have run, and there is no valid response, for this reason.
    NoResponse(String),
    /// The call may have run: the target's node did not respond to a liveness probe, and no other target could be tried.
    Unresponsive,
    /// The call may have run, and its deadline has passed.
    DeadlineExceeded,
}

impl Attempt {
    /// Whether no target has run the call in this attempt.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Attempt::Full
            | Attempt::NotRun(_)
            | Attempt::TargetReplaced
            | Attempt::Rejected
            | Attempt::RateLimited(_)
            | Attempt::Quarantined(_) => true,
            Attempt::Response(_)
            | Attempt::Interrupted(_)
            | Attempt::NoResponse(_)
            | Attempt::Unresponsive
            | Attempt::DeadlineExceeded => false,
        }
    }

    /// Why the attempt did not serve the call, for the log.
    pub(super) fn failure(&self) -> &str {
        match self {
            Attempt::Response(_) => "",
            Attempt::Interrupted(_) => "node of the target is stopping",
            Attempt::Full => "full",
            Attempt::NotRun(why) => why,
            Attempt::TargetReplaced => "target was replaced",
            Attempt::Rejected => "rejected",
            Attempt::RateLimited(_) => "rate-limited",
            Attempt::Quarantined(_) => "quarantined",
            Attempt::NoResponse(why) => why,
            Attempt::Unresponsive => Overdue::SilentNode.failure(),
            Attempt::DeadlineExceeded => "no response before the deadline",
        }
    }

    /// Whether this node has ended the attempt while the target may be working on the call.
    pub(super) fn may_be_at_work(&self) -> bool {
        matches!(self, Attempt::Unresponsive | Attempt::DeadlineExceeded)
    }
}

/// Why an attempt takes longer than usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overdue {
    /// The node of the target has failed a liveness probe.
    SilentNode,
    /// The node is alive, and its target has not responded.
    SlowTarget,
}

impl Overdue {
    /// Why the attempt has failed if another target has responded, for the log.
    pub(super) fn failure(self) -> &'static str {
        match self {
            Overdue::SilentNode => "node did not respond to the liveness probe",
            Overdue::SlowTarget => "target is slow; trying another one",
        }
    }
}

/// Decides what becomes of an attempt that takes longer than usual.
pub(super) trait OverduePolicy {
    /// Whether the response is awaited until the deadline. Otherwise the attempt ends.
    fn goes_on(&self, overdue: Overdue) -> bool;
}

/// An attempt that the load balancer counts as in flight at its target, until it is dropped.
struct InFlight<'a> {
    node: &'a Node,
    target: &'a TargetId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.load_balancer.borrow_mut().attempt_ended(self.target);
    }
}

/// Sends a call to a target and waits for the outcome.
pub(super) async fn attempt(
    node: &Rc<Node>,
    call: &Call,
    choice: &Choice,
    body: Body,
    policy: &impl OverduePolicy,
) -> Attempt {
    let Choice { target, is_over_limit } = choice;
    let started = node.now();
    let remaining = started.until(call.deadline);
    let work_time = node.shutdown().and_then(|schedule| schedule.work_time(call.deadline, started));
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let max_wait = if !node.is_enabled(Mechanism::QueueTimeout) {
        remaining
    } else if call.is_nested {
        work_time.unwrap_or(remaining).mul_f64(NESTED_QUEUE_FRACTION)
    } else {
        started.until(call.arrived + call.route.latency_objective.mul_f64(DISPATCH_FRACTION)).min(remaining)
    };
    let context = HopContext {
        is_root: !call.is_nested,
        inherited: call.inherited.clone(),
        max_wait,
        store_view: store_view::own_store_view(node),
        edge_ip: node.settings.local_target.ip(),
        is_over_limit: *is_over_limit,
        rate_limit: node.load_balancer.borrow().rate_limit(&target.id),
        work_time,
    };
    let added = [
        (HOP_HEADER, context.encode()),
        (headers::DEADLINE_MS, remaining.as_millis().to_string()),
        (headers::EXPECT_INSTANCE, target.id.to_string()),
    ];
    for (name, value) in added {
        let Ok(value) = HeaderValue::from_str(&value) else { return Attempt::NotRun("invalid header value") };
        request.headers_mut().insert(name, value);
    }
    let address = SocketAddr::new(target.registration.address.ip(), node.settings.inbound.port());
    node.load_balancer.borrow_mut().attempt_started(&target.id);
    let in_flight = InFlight { node, target: &target.id };
    let sent = SentFlag::default();
    let exchange = node.peers.exchange_tracking_sent(address, request, &sent);
    let (response, lease) = match exchange_while_alive(node, call, target, (started, &sent), exchange, policy).await {
        // The attempt was still waiting for a connection, so no target has received the call.
        Exchanged::DeadlineExceeded | Exchanged::Unresponsive if !sent.is_set() => {
            return Attempt::NotRun("no connection in time")
        }
        Exchanged::DeadlineExceeded => {
            let now = node.now();
            node.load_balancer.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(started), now);
            return Attempt::DeadlineExceeded;
        }
        Exchanged::Unresponsive => return Attempt::Unresponsive,
        Exchanged::Failed(ExchangeError::ConnectionRefused | ExchangeError::NotSent(_)) => {
            return Attempt::NotRun("unreachable")
        }
        Exchanged::Failed(ExchangeError::NoResponse(why)) => return Attempt::NoResponse(why),
        Exchanged::Response(response, lease) => (*response, lease),
    };
    let report = response.headers().get(HOP_HEADER).and_then(|value| value.to_str().ok()).and_then(HopReport::decode);
    let Some(report) = report else { return Attempt::NoResponse("no valid quillhatch-hop header".to_owned()) };
    let now = node.now();
    {
        let mut load_balancer = node.load_balancer.borrow_mut();
        load_balancer.record_load(&target.id, report.load, report.health, now);
        load_balancer.record_rate_limit(&target.id, report.rate_limit, now);
    }
    if matches!(report.outcome, GateOutcome::Answered | GateOutcome::Full) {
        node.admission_levels.borrow_mut().record_report(&call.route.name, report.admission_level, now);
    }
    node.record_retry_level(&call.route.name, &target.registration.service, call.is_nested, report.retry_level);
    if let Some(running_at) = report.drain_notice {
        if node.targets.borrow_mut().record_drain_notice(&target.id, running_at, now) {
            node.log(&format!(
                "\"event\":\"target-leaving\",\"target\":{},\"leaving\":true,\"running_at\":{}",
                JsonText(&target.id),
                running_at.0
            ));
        }
    }
    node.parent_tracker.borrow_mut().record_caller_kind(&call.route.name, report.caller_kind);
    store_view::record_peer_view(node, target.registration.address.ip(), report.store_view);
    if let Some(proof) = report.proof {
        node.tenancy.record_peer_proof(proof, &node.configuration.borrow(), started);
    }
    let is_replaced = report.current_target.as_ref().is_some_and(|replacement| {
        let mut targets = node.targets.borrow_mut();
        targets.replace_at_address(&target.id, Arc::from(replacement.id.as_str()), &replacement.service, now);
        targets.get(&replacement.id).is_some()
    });
    match report.outcome {
        GateOutcome::Answered | GateOutcome::Interrupted => {
            let took = now.since(started);
            if response.status().is_success() {
                node.load_balancer.borrow_mut().record_response_time(&target.id, &call.route.name, took, now);
            } else if response.status() == StatusCode::GATEWAY_TIMEOUT {
                node.load_balancer.borrow_mut().record_unfinished(&target.id, &call.route.name, took, now);
            }
            drop(in_flight);
            match relay(node, call, target, response, lease).await {
                Attempt::Response(response) if report.outcome == GateOutcome::Interrupted => {
                    Attempt::Interrupted(response)
                }
                relayed => relayed,
            }
        }
        GateOutcome::Full => {
            lease.release_after(response.into_body());
            Attempt::Full
        }
        GateOutcome::Closed if is_replaced => {
            lease.release_after(response.into_body());
            Attempt::TargetReplaced
        }
        GateOutcome::Closed => {
            lease.release_after(response.into_body());
            Attempt::NotRun("closed")
        }
        GateOutcome::Rejected => {
            lease.release_after(response.into_body());
            Attempt::Rejected
        }
        GateOutcome::RateLimited => {
            let retry_after = retry_after(&response).unwrap_or_default();
            lease.release_after(response.into_body());
            Attempt::RateLimited(retry_after)
        }
        GateOutcome::Quarantined => {
            let retry_after = retry_after(&response).unwrap_or(DEFAULT_QUARANTINE_DELAY);
            lease.release_after(response.into_body());
            Attempt::Quarantined(retry_after)
        }
        GateOutcome::NoResponse => {
            lease.release_after(response.into_body());
            Attempt::NoResponse("gate got no valid response from the target".to_owned())
        }
        GateOutcome::DeadlineExceeded => {
            node.load_balancer.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(started), now);
            lease.release_after(response.into_body());
            Attempt::DeadlineExceeded
        }
    }
}

/// The delay in a gate's `Retry-After` header, in seconds with fractions.
fn retry_after(response: &Response<PeerBody>) -> Option<Duration> {
    let seconds = header_text(response.headers(), RETRY_AFTER.as_str())?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// How the exchange with the target's node ended.
enum Exchanged {
    /// The head of a response has arrived.
    Response(Box<Response<PeerBody>>, ConnectionLease),
    /// The connection failed.
    Failed(ExchangeError),
    /// The call's deadline has passed.
    DeadlineExceeded,
    /// The node did not respond to the liveness probe. Only for calls that may be retried.
    Unresponsive,
}

impl From<Result<(Response<PeerBody>, ConnectionLease), ExchangeError>> for Exchanged {
    fn from(result: Result<(Response<PeerBody>, ConnectionLease), ExchangeError>) -> Self {
        match result {
            Ok((response, lease)) => Exchanged::Response(Box::new(response), lease),
            Err(error) => Exchanged::Failed(error),
        }
    }
}

/// Whether another target should be tried beside a slow one: the call is nested, so its parent call fails with it, its
/// service has spare capacity, and enough time is left. A stopping node sends no further work.
pub(super) fn should_hedge(node: &Node, call: &Call) -> bool {
    let now = node.now();
    let Some(mean) = node.load_balancer.borrow().mean_response_time(&call.route.name) else { return false };
    node.is_enabled(Mechanism::SlowAttemptRetry)
        && !node.is_stopping()
        && call.is_nested
        && node.admission_levels.borrow().level(&call.route.name, now).priority_share() >= SPARE_CAPACITY_MIN_LEVEL
        && now.until(call.deadline) >= mean * MIN_REMAINING_FACTOR
}

/// Waits for a response until the call's deadline. May end earlier if the target's node fails the liveness probe or if
/// the target is slow, as `policy` decides.
async fn exchange_while_alive(
    node: &Rc<Node>,
    call: &Call,
    target: &Target,
    (started, sent): (Timestamp, &SentFlag),
    exchange: impl Future<Output = Result<(Response<PeerBody>, ConnectionLease), ExchangeError>>,
    policy: &impl OverduePolicy,
) -> Exchanged {
    let mut exchange = pin!(exchange);
    let give_up_at = call.deadline + DEADLINE_ALLOWANCE;
    let probe_delay = node.load_balancer.borrow().liveness_probe_delay(&call.route.name);
    if probe_delay < node.now().until(give_up_at) && call.route.retryability == Retryability::Retryable {
        let probe_at = node.now() + probe_delay;
        if let Ok(result) = node.clock.timeout_at(probe_at, &mut exchange).await {
            return result.into();
        }
        // The machine was suspended for the rest of the call's time.
        if node.now() >= give_up_at {
            return Exchanged::DeadlineExceeded;
        }
        let mut failed_probes = 0;
        loop {
            let is_alive = tokio::select! {
                biased;
                result = &mut exchange => return result.into(),
                is_alive = liveness::is_live(node, target, started) => is_alive,
            };
            // No target has received the call, so another one is tried without a retry.
            if !is_alive && !sent.is_set() {
                return Exchanged::Unresponsive;
            }
            let overdue = if is_alive { Overdue::SlowTarget } else { Overdue::SilentNode };
            if policy.goes_on(overdue) {
                break;
            }
            failed_probes += 1;
            if failed_probes == MAX_FAILED_PROBES {
                return Exchanged::Unresponsive;
            }
            let next_probe_at = node.now() + liveness::FAILURE_CACHE_TIME;
            if next_probe_at >= give_up_at {
                break;
            }
            if let Ok(result) = node.clock.timeout_at(next_probe_at, &mut exchange).await {
                return result.into();
            }
        }
    }
    match node.clock.timeout_at(give_up_at, exchange).await {
        Ok(result) => result.into(),
        Err(_) => Exchanged::DeadlineExceeded,
    }
}

/// Passes a target's response on without the header of the gate. A response that is not streamed must be complete by the
/// deadline; one that is streamed is late from the timeout of its route on.
async fn relay(
    node: &Rc<Node>,
    call: &Call,
    target: &Target,
    response: Response<PeerBody>,
    lease: ConnectionLease,
) -> Attempt {
    let late_at = call.arrived + call.route.timeout + DEADLINE_ALLOWANCE;
    // Its source is a gate, which limits what comes from the target.
    let times = StreamTimes { late_at, work_ends_at: None };
    let measured =
        MeasuredCall { route: Arc::clone(&call.route.name), target: target.id.clone(), arrived: call.arrived };
    let relayed_call = RelayedCall { node: Rc::clone(node), id: call.id.clone(), times, measured: Some(measured) };
    let relayed = relay_response(response, lease, None, relayed_call);
    match node.clock.timeout_at(call.deadline + DEADLINE_ALLOWANCE, relayed).await {
        Ok(Ok(mut response)) => {
            response.headers_mut().remove(HOP_HEADER);
            Attempt::Response(Box::new(response))
        }
        Ok(Err(why)) => Attempt::NoResponse(why),
        Err(_) => Attempt::DeadlineExceeded,
    }
}
