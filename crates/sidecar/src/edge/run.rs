//! Sends a call to one target after another until there is an answer or nothing more to try.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use quillhatch_mesh::configuration::Repeatability;
use quillhatch_mesh::routing::choose_service;
use quillhatch_mesh::targets::{Target, TargetId};

use super::answers::{give_up, refuse};
use super::attempt::{attempt, Attempt};
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

/// Brings back the answer to a call.
pub(super) async fn run(node: &Rc<Node>, call: Call, body: Body) -> Response<Body> {
    let service = choose_service(&call.route, &mut *node.random.borrow_mut()).cloned();
    let Some(service) = service else {
        return refuse(node, &call.id, "no-destination", NO_DESTINATION_PAUSE, call.arrived);
    };
    node.count_call(&service, call.lineage.is_repeat);
    let offer_until = call.arrived + call.route.objective.mul_f64(super::attempt::UNOFFERED_PART);
    let mut call = call;
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
                        "\"event\":\"answered\",\"id\":{:?},\"route\":\"{}\",\"target\":\"{}\",\"status\":{status},\"ms\":{},\"tried\":{}",
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
                call.lineage.is_repeat = true;
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
                call.lineage.is_repeat = true;
                Counters::add(&node.counters.repeats);
            }
            Attempt::Late => return give_up(node, &call, true, "late", tried.len()),
        }
    }
}

fn attempt_line(call: &Call, target: &Target, why: &str) -> String {
    format!(
        "\"event\":\"attempt-failed\",\"id\":{:?},\"route\":\"{}\",\"target\":\"{}\",\"why\":{why:?}",
        call.id, call.route.name, target.id
    )
}
