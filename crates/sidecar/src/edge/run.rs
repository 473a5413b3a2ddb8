//! Sends a call to one target after another until there is an answer or nothing more to try.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::configuration::Repeatability;
use quillhatch_mesh::routing::choose_service;
use quillhatch_mesh::targets::{Target, TargetId};

use super::answers::{self, refuse};
use super::attempt::{attempt, is_worth_leaving, Attempt};
use super::Call;
use crate::body::Body;
use crate::counters::Counters;
use crate::node::Node;
use crate::presence;

/// The least time left with which a call is sent.
const SHORTEST_TIME: Duration = Duration::from_millis(4);
/// The gates that may refuse a call before it is given up.
const MOST_FULL_GATES: usize = 2;
/// The pause before targets that could not be reached are tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(40);
/// When a caller is told to come back whose route has no service with a share.
const NO_DESTINATION_PAUSE: Duration = Duration::from_millis(300);

/// What has become of a call so far.
#[derive(Default)]
struct Progress {
    /// The targets that were tried.
    tried: Vec<TargetId>,
    /// The gates that had no room.
    full: usize,
    /// The attempts that may have run.
    runs: u32,
}

impl Progress {
    fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether the call may be sent to one more target after an attempt that may have run.
    fn may_run_again(&self, call: &Call) -> bool {
        call.route.repeatability == Repeatability::Repeatable && self.runs < call.route.maximum_attempts
    }
}

/// Brings back the answer to a call.
pub(super) async fn run(node: &Rc<Node>, call: Call, body: Body) -> Response<Body> {
    let service = choose_service(&call.route, &mut *node.random.borrow_mut()).cloned();
    let Some(service) = service else {
        return refuse(node, &call.id, "no-destination", NO_DESTINATION_PAUSE, call.arrived);
    };
    node.count_call(&service, call.lineage.is_retry);
    let offer_until = call.arrived + call.route.objective.mul_f64(super::attempt::UNOFFERED_PART);
    let mut call = call;
    let mut body = Some(body);
    let mut progress = Progress::default();
    let give_up_for = |call: &Call, progress: &Progress, why, pause| {
        answers::give_up(node, call, progress.may_have_run(), why, progress.tried.len(), pause)
    };
    let give_up =
        |call: &Call, progress: &Progress, why| give_up_for(call, progress, why, answers::come_back(node, &call.route));
    loop {
        let now = node.now();
        if now.until(call.deadline) < SHORTEST_TIME {
            let why = if progress.may_have_run() { "late" } else { "late-not-run" };
            return give_up(&call, &progress, why);
        }
        let Some(target) = choose_target(node, &call, &service, &progress.tried) else {
            if progress.full == 0 && now < offer_until && !progress.may_have_run() {
                tokio::time::sleep(UNREACHABLE_PAUSE).await;
                progress.tried.clear();
                continue;
            }
            node.cuts.borrow_mut().record_report(&call.route.name, AdmissionLevel::from_priority_share(0.0), now);
            return give_up(&call, &progress, "no-target");
        };
        let runs_once = call.route.repeatability == Repeatability::AtMostOnce;
        if runs_once && !presence::is_there_now(node, &target).await {
            node.log_failure(|| attempt_line(&call, &target, "silent, not sent"));
            progress.tried.push(target.id.clone());
            continue;
        }
        let Some(sent) = body.as_ref().and_then(Body::copy_if_whole).or_else(|| body.take()) else {
            return give_up(&call, &progress, "body-gone");
        };
        let may_leave = || {
            let can_be_sent_again = body.is_some() && progress.runs == 0 && call.route.maximum_attempts > 1;
            can_be_sent_again
                && has_other_target(node, &service, &target, &progress.tried)
                && is_worth_leaving(node, &call)
                && node.try_repeat(&service)
        };
        let ended = attempt(node, &call, &target, sent, may_leave).await;
        progress.tried.push(target.id.clone());
        match ended {
            Attempt::Answer(response) => {
                note_answer(node, &call, &target, &response, progress.tried.len());
                return *response;
            }
            Attempt::Full => {
                progress.full += 1;
                // Where the whole service is short of room, the others have none either.
                if progress.full >= MOST_FULL_GATES || !has_room(node, &call) {
                    return give_up(&call, &progress, "full");
                }
            }
            Attempt::NotRun(why) => {
                node.log_failure(|| attempt_line(&call, &target, why));
                node.balance.borrow_mut().record_refusal(&target.id, node.now());
            }
            Attempt::Followed => {}
            Attempt::Rejected => {
                node.log_failure(|| attempt_line(&call, &target, "rejected"));
                // It refuses quickly and would attract calls, each of which costs a repeat.
                node.balance.borrow_mut().record_refusal(&target.id, node.now());
                if !node.try_repeat(&service) {
                    return give_up(&call, &progress, "rejected");
                }
                note_repeat(node, &mut call);
            }
            // The other gates of the service know the same.
            Attempt::Quarantined(left) => return give_up_for(&call, &progress, "quarantined", left),
            Attempt::Broken(why) => {
                node.log_failure(|| attempt_line(&call, &target, &why));
                progress.runs += 1;
                if !progress.may_run_again(&call) || !node.try_repeat(&service) {
                    return give_up(&call, &progress, "broken");
                }
                note_repeat(node, &mut call);
            }
            Attempt::Left => {
                // Its repeat was spent when it was left.
                node.log_failure(|| attempt_line(&call, &target, "slow, left for another"));
                progress.runs += 1;
                note_repeat(node, &mut call);
            }
            Attempt::Late => {
                progress.runs += 1;
                return give_up(&call, &progress, "late");
            }
        }
    }
}

fn choose_target(node: &Node, call: &Call, service: &str, tried: &[TargetId]) -> Option<Arc<Target>> {
    let targets = node.targets.borrow();
    let members = targets.of_service(service);
    let mut random = node.random.borrow_mut();
    let balance = node.balance.borrow();
    let now = node.now();
    let time = call.route.objective.min(now.until(call.deadline));
    let place = balance.zone_preference(&node.settings.zone, &call.route.name, time);
    balance.choose(members, tried, place, now, &mut *random)
}

/// Whether the service has a target besides this one that was not tried yet.
fn has_other_target(node: &Node, service: &str, target: &Target, tried: &[TargetId]) -> bool {
    let targets = node.targets.borrow();
    let open = targets.of_service(service).iter().filter(|other| !other.registration.draining);
    open.filter(|other| other.id != target.id).any(|other| !tried.contains(&other.id))
}

/// Whether the services that calls of this route need are not short of room.
fn has_room(node: &Node, call: &Call) -> bool {
    node.cuts.borrow().level(&call.route.name, node.now()).admits_all()
}

/// The call is sent to a target once more; whatever is called below it is a repeat too.
fn note_repeat(node: &Node, call: &mut Call) {
    call.lineage.is_retry = true;
    Counters::add(&node.counters.repeats);
}

fn note_answer(node: &Node, call: &Call, target: &Target, response: &Response<Body>, tried: usize) {
    let took = node.now().since(call.arrived);
    node.counters.edge_ended("answered", took);
    let status = response.status().as_u16();
    let line = || {
        format!(
            "\"event\":\"answered\",\"id\":{:?},\"route\":\"{}\",\"target\":\"{}\",\"status\":{status},\"ms\":{},\"tried\":{tried}",
            call.id, call.route.name, target.id, took.as_millis()
        )
    };
    if status < 400 {
        node.log_success(line)
    } else {
        node.log_failure(line)
    }
}

fn attempt_line(call: &Call, target: &Target, why: &str) -> String {
    format!(
        "\"event\":\"attempt-failed\",\"id\":{:?},\"route\":\"{}\",\"target\":\"{}\",\"why\":{why:?}",
        call.id, call.route.name, target.id
    )
}
