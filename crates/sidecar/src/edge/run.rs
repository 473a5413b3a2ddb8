//! Sends a call to one target after another until one responds or no further attempt is allowed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::balance::{Choice, Exclusions};
use quillhatch_mesh::configuration::Retryability;
use quillhatch_mesh::routing::choose_service;
use quillhatch_mesh::shutdown::ShutdownSchedule;
use quillhatch_mesh::targets::{Target, TargetId};
use quillhatch_types::Timestamp;
use rand::Rng;

use super::attempt::Attempt;
use super::hedge::{hedged_attempt, EndedAttempt, HedgedEnd};
use super::responses::{self, refuse};
use super::Call;
use crate::body::Body;
use crate::calls_in_progress::CallTicket;
use crate::counters::Counters;
use crate::liveness;
use crate::logging::JsonText;
use crate::node::Node;

/// The minimum time until the deadline with which an attempt is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(4);
/// How many full gates may refuse a call before it is given up.
const MAX_FULL_GATES: usize = 2;
/// The delay before targets that could not be reached are tried again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(40);
/// The `Retry-After` of a call whose route has no service with a share of its traffic.
const NO_DESTINATION_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The factor by which the wait for a rate limit is varied, so that refused callers don't return together.
const RATE_LIMIT_WAIT_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// The attempts of a call so far.
#[derive(Default)]
pub(super) struct Progress {
    /// The targets that were tried.
    pub(super) tried: Vec<TargetId>,
    /// The number of attempts that a full gate refused.
    full: usize,
    /// The number of attempts that may have run.
    runs: u32,
    /// The target of the last attempt that this node has ended while the target may have been working on the call.
    pub(super) left_at_work: Option<TargetId>,
    /// The shortest delay after which a target whose rate limit refused the call accepts it again.
    rate_limited: Option<Duration>,
    /// The response of a target that has ended the call early, in case no other one serves it.
    interrupted: Option<TargetResponse>,
}

impl Progress {
    pub(super) fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether the call may be retried after an attempt that may have run.
    fn may_retry(&self, call: &Call) -> bool {
        call.route.retryability == Retryability::Retryable && self.runs < call.route.max_attempts
    }

    /// Whether the call may be sent to another target while an attempt is in progress.
    pub(super) fn may_retry_beside(&self, call: &Call) -> bool {
        call.route.retryability == Retryability::Retryable && self.runs + 1 < call.route.max_attempts
    }
}

/// The response of a target to a call.
struct TargetResponse {
    target: Arc<Target>,
    response: Response<Body>,
}

/// Why no target is tried any more.
struct GivenUp {
    why: &'static str,
    /// When the call may be retried if it has not run.
    retry_after: Duration,
}

impl GivenUp {
    /// The call may be retried after the usual delay of its route.
    fn new(node: &Node, call: &Call, why: &'static str) -> Self {
        GivenUp { why, retry_after: responses::retry_delay(node, &call.route) }
    }
}

/// Serves a call and returns the target's response, or the node's own if there is none.
pub(super) async fn run(node: &Rc<Node>, ticket: &CallTicket, mut call: Call, body: Body) -> Response<Body> {
    let service = choose_service(&call.route, &mut *node.random.borrow_mut()).cloned();
    let Some(service) = service else {
        return refuse(node, &call.id, "no-destination", NO_DESTINATION_RETRY_AFTER, call.arrived);
    };
    node.count_call(&service, call.inherited.is_retry);
    let mut progress = Progress::default();
    let served = try_targets(node, ticket, &mut call, body, &service, &mut progress).await;
    let interrupted = progress.interrupted.take();
    match served.or_else(|given_up| interrupted.ok_or(given_up)) {
        Ok(TargetResponse { target, response }) => {
            record_response(node, &call, &target, &response, progress.tried.len());
            response
        }
        Err(GivenUp { why, retry_after }) => responses::give_up(node, &call, &progress, why, retry_after),
    }
}

/// Tries one target after the other.
async fn try_targets(
    node: &Rc<Node>,
    ticket: &CallTicket,
    call: &mut Call,
    body: Body,
    service: &Arc<str>,
    progress: &mut Progress,
) -> Result<TargetResponse, GivenUp> {
    let dispatch_until = call.arrived + call.route.latency_objective.mul_f64(super::attempt::DISPATCH_FRACTION);
    let mut body = Some(body);
    loop {
        let now = node.now();
        if let Some(schedule) = node.shutdown() {
            if !can_finish(node, call, schedule, now) {
                let retry_after = responses::retry_delay_while_stopping(call, schedule, now);
                return Err(GivenUp { why: "stopping", retry_after });
            }
        }
        if now.until(call.deadline) < MIN_ATTEMPT_TIME {
            let why = if progress.may_have_run() { "late" } else { "late-not-run" };
            return Err(GivenUp::new(node, call, why));
        }
        let Some(choice) = choose_target(node, call, service, progress, None) else {
            if let Some(wait) = progress.rate_limited {
                let spread_wait = wait.mul_f64(node.random.borrow_mut().gen_range(RATE_LIMIT_WAIT_SPREAD));
                let retry_after = spread_wait.max(responses::retry_delay(node, &call.route));
                return Err(GivenUp { why: "rate-limited", retry_after });
            }
            if progress.full == 0 && now < dispatch_until && !progress.may_have_run() {
                tokio::time::sleep(UNREACHABLE_RETRY_DELAY).await;
                progress.tried.clear();
                continue;
            }
            node.admission_levels.borrow_mut().record_report(
                &call.route.name,
                AdmissionLevel::from_priority_share(0.0),
                now,
            );
            return Err(GivenUp::new(node, call, "no-target"));
        };
        let target = &choice.target;
        let runs_once = call.route.retryability == Retryability::AtMostOnce;
        if runs_once && !liveness::is_live_now(node, target).await {
            node.log_failure(|| {
                failed_attempt_line(call, target, "node did not respond to the liveness probe; not sent")
            });
            progress.tried.push(target.id.clone());
            continue;
        }
        let Some(attempt_body) = body.as_ref().and_then(Body::clone_if_buffered).or_else(|| body.take()) else {
            return Err(GivenUp::new(node, call, "body-gone"));
        };
        ticket.set_target(Some(&target.id));
        let bodies = (attempt_body, body.as_ref());
        let HedgedEnd { last, other } = hedged_attempt(node, call, &choice, bodies, service, progress).await;
        if let Some(EndedAttempt { target, outcome }) = other {
            node.log_failure(|| failed_attempt_line(call, &target, outcome.failure()));
            if outcome.is_not_run() {
                node.load_balancer.borrow_mut().record_refusal(&target.id, node.now());
            } else {
                progress.runs += 1;
            }
            progress.tried.push(target.id.clone());
            call.inherited.is_retry = true;
        }
        let EndedAttempt { target, outcome } = last;
        let target = &target;
        if outcome.is_not_run() {
            ticket.set_target(None);
        }
        if outcome.may_be_at_work() {
            progress.left_at_work = Some(target.id.clone());
        }
        progress.tried.push(target.id.clone());
        match outcome {
            Attempt::Response(response) => {
                return Ok(TargetResponse { target: Arc::clone(target), response: *response });
            }
            Attempt::Interrupted(response) => {
                progress.runs += 1;
                let responded = TargetResponse { target: Arc::clone(target), response: *response };
                let may_retry = progress.may_retry(call) && has_other_target(node, service, target, &progress.tried);
                if !may_retry || !node.try_retry(service, &call.route.name) {
                    return Ok(responded);
                }
                node.log_failure(|| failed_attempt_line(call, target, "node of the target is stopping"));
                progress.interrupted = Some(responded);
                record_retry(node, call);
            }
            Attempt::Full => {
                progress.full += 1;
                // If the whole service is out of capacity, its other gates are full too.
                if progress.full >= MAX_FULL_GATES || !has_spare_capacity(node, call) {
                    return Err(GivenUp::new(node, call, "full"));
                }
            }
            Attempt::NotRun(why) => {
                node.log_failure(|| failed_attempt_line(call, target, why));
                node.load_balancer.borrow_mut().record_refusal(&target.id, node.now());
            }
            Attempt::TargetReplaced => {}
            Attempt::RateLimited(wait) => {
                progress.rate_limited = Some(progress.rate_limited.map_or(wait, |shortest| shortest.min(wait)));
            }
            Attempt::Rejected => {
                node.log_failure(|| failed_attempt_line(call, target, "rejected"));
                // The target refuses quickly, so it would attract calls, each of which costs a retry.
                node.load_balancer.borrow_mut().record_refusal(&target.id, node.now());
                if !node.try_retry(service, &call.route.name) {
                    return Err(GivenUp::new(node, call, "rejected"));
                }
                record_retry(node, call);
            }
            // The other gates of the service have the same quarantine entries.
            Attempt::Quarantined(retry_after) => return Err(GivenUp { why: "quarantined", retry_after }),
            Attempt::Unresponsive => {
                // No retry was possible when the probe failed.
                node.log_failure(|| failed_attempt_line(call, target, outcome.failure()));
                progress.runs += 1;
                return Err(GivenUp::new(node, call, "broken"));
            }
            Attempt::NoResponse(_) => {
                node.log_failure(|| failed_attempt_line(call, target, outcome.failure()));
                progress.runs += 1;
                if !progress.may_retry(call) || !node.try_retry(service, &call.route.name) {
                    return Err(GivenUp::new(node, call, "broken"));
                }
                record_retry(node, call);
            }
            Attempt::DeadlineExceeded => {
                progress.runs += 1;
                return Err(GivenUp::new(node, call, "late"));
            }
        }
    }
}

/// Whether a call that is sent now can finish before the process of this node, which is stopping, ends. External
/// callers have no other node until the platform has directed them to one, so until then all their calls are sent.
fn can_finish(node: &Node, call: &Call, schedule: ShutdownSchedule, now: Timestamp) -> bool {
    if !call.is_nested && now < schedule.callers_drained_at() {
        return true;
    }
    let duration = node.edge_durations.borrow().needed(&call.route.name, call.route.retryability);
    schedule.can_finish(duration, call.deadline, now)
}

/// Chooses a target that was not tried yet and is not `other`.
pub(super) fn choose_target(
    node: &Node,
    call: &Call,
    service: &str,
    progress: &Progress,
    other: Option<&TargetId>,
) -> Option<Choice> {
    let targets = node.targets.borrow();
    let members = targets.of_service(service);
    let mut random = node.random.borrow_mut();
    let load_balancer = node.load_balancer.borrow();
    let now = node.now();
    let response_time = call.route.latency_objective.min(now.until(call.deadline));
    let zone_preference = load_balancer.zone_preference(&node.settings.zone, &call.route.name, response_time);
    let tried: Vec<TargetId> = progress.tried.iter().chain(other).cloned().collect();
    let excluded = Exclusions { tried: &tried, over_limit: progress.rate_limited.is_some() };
    load_balancer.choose(members, excluded, zone_preference, now, &mut *random)
}

/// Whether the service has another target that is not draining, has no rate limit and was not tried yet.
pub(super) fn has_other_target(node: &Node, service: &str, target: &Target, tried: &[TargetId]) -> bool {
    let targets = node.targets.borrow();
    let load_balancer = node.load_balancer.borrow();
    let not_draining = targets.of_service(service).iter().filter(|other| !other.registration.draining);
    let untried = not_draining.filter(|other| other.id != target.id && !tried.contains(&other.id));
    untried.into_iter().any(|other| load_balancer.rate_limit(&other.id).is_none())
}

/// Whether the services that calls of this route need have spare capacity.
fn has_spare_capacity(node: &Node, call: &Call) -> bool {
    node.admission_levels.borrow().level(&call.route.name, node.now()).admits_all()
}

/// Counts a retry and marks the call as one, so that the calls nested in it count as retries too.
pub(super) fn record_retry(node: &Node, call: &mut Call) {
    call.inherited.is_retry = true;
    Counters::increment(&node.counters.retries);
}

/// Counts and logs a call that a target has responded to.
fn record_response(node: &Node, call: &Call, target: &Target, response: &Response<Body>, tried: usize) {
    let took = node.now().since(call.arrived);
    node.counters.count_edge_call("answered", took);
    if response.status() != StatusCode::GATEWAY_TIMEOUT {
        node.edge_durations.borrow_mut().record(&call.route.name, took);
    }
    let status = response.status().as_u16();
    let line = || {
        format!(
            "\"event\":\"answered\",\"id\":{},\"route\":{},\"target\":{},\"status\":{status},\"ms\":{},\"tried\":{tried}",
            JsonText(&call.id), JsonText(&call.route.name), JsonText(&target.id), took.as_millis()
        )
    };
    if status < 400 {
        node.log_success(line)
    } else {
        node.log_failure(line)
    }
}

/// The log line of an attempt without a response from the target.
fn failed_attempt_line(call: &Call, target: &Target, why: &str) -> String {
    format!(
        "\"event\":\"attempt-failed\",\"id\":{},\"route\":{},\"target\":{},\"why\":{}",
        JsonText(&call.id),
        JsonText(&call.route.name),
        JsonText(&target.id),
        JsonText(why)
    )
}
