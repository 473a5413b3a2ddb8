//! One attempt of a call at one target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::configuration::Repeatability;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::targets::{Target, TargetId};
use quillhatch_platform::headers;
use quillhatch_types::Timestamp;

use super::Call;
use crate::body::Body;
use crate::headers::text;
use crate::hop::{Forwarded, Outcome, Report, HOP};
use crate::node::Node;
use crate::pool::{ExchangeError, Lease, SentFlag};
use crate::presence;
use crate::reach;
use crate::relay::relay_answer;

/// How long a target's own answer at the deadline is waited for.
const DEADLINE_ALLOWANCE: Duration = Duration::from_millis(40);
/// The part of its time that a call made by a target may wait at a gate.
const INNER_PATIENCE_PART: f64 = 0.6;
/// The part of its objective for which a call may go without being offered to a target.
pub(super) const UNOFFERED_PART: f64 = 0.22;

/// The cut of a route from which its service is not short of room: then a call takes long because of its target, and one more
/// attempt does not add to an overload.
const ROOM_FROM: f64 = 0.95;
/// The mean times of a route that must be left for a slow attempt to be left for another.
const TIMES_LEFT: u32 = 2;

/// When a request that crashes targets may be tried again if its gate does not tell.
const UNTOLD_QUARANTINE: Duration = Duration::from_secs(60);

/// How one attempt ended.
pub(super) enum Attempt {
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
    /// It has not run, since requests like it crash targets; it may be tried again after so long.
    Quarantined(Duration),
    /// It may have run, and there is no answer.
    Broken(String),
    /// It was left while its target works on it, since the target is slow and another one may answer in time.
    Left,
    /// Its time is over.
    Late,
}

struct InFlight<'a> {
    node: &'a Node,
    target: &'a TargetId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.balance.borrow_mut().attempt_ended(self.target);
    }
}

/// Sends a call to a target and waits for what becomes of it. `may_leave` decides whether another target is tried while a slow
/// one still works on the call.
pub(super) async fn attempt(
    node: &Rc<Node>,
    call: &Call,
    target: &Target,
    body: Body,
    may_leave: impl FnOnce() -> bool,
) -> Attempt {
    let begun = node.now();
    let left = begun.until(call.deadline);
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let patience = if !node.has(Mechanism::QueueTimeout) {
        left
    } else if call.is_inner {
        left.mul_f64(INNER_PATIENCE_PART)
    } else {
        begun.until(call.arrived + call.route.objective.mul_f64(UNOFFERED_PART)).min(left)
    };
    let forwarded = Forwarded {
        is_root: !call.is_inner,
        lineage: call.lineage.clone(),
        patience,
        reach: reach::own_reach(node),
        machine: node.settings.local_target.ip(),
    };
    let added = [
        (HOP, forwarded.encode()),
        (headers::DEADLINE_MS, left.as_millis().to_string()),
        (headers::EXPECT_INSTANCE, target.id.to_string()),
    ];
    for (name, value) in added {
        let Ok(value) = HeaderValue::from_str(&value) else { return Attempt::NotRun("unfit header") };
        request.headers_mut().insert(name, value);
    }
    let address = SocketAddr::new(target.registration.address.ip(), node.settings.inbound.port());
    node.balance.borrow_mut().attempt_started(&target.id);
    let in_flight = InFlight { node, target: &target.id };
    let sent = SentFlag::default();
    let exchange = node.peers.exchange_noting(address, request, &sent);
    let (response, lease) = match exchange_while_present(node, call, target, begun, exchange, may_leave).await {
        // It still waited for a connection, so no target has seen it.
        Exchanged::Late | Exchanged::Silent if !sent.is_set() => return Attempt::NotRun("no connection in time"),
        Exchanged::Late => {
            let now = node.now();
            node.balance.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(begun), now);
            return Attempt::Late;
        }
        Exchanged::Left => {
            let now = node.now();
            node.balance.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(begun), now);
            return Attempt::Left;
        }
        Exchanged::Silent => return Attempt::Broken("the node is silent".to_owned()),
        Exchanged::Failed(ExchangeError::Refused | ExchangeError::NotSent(_)) => return Attempt::NotRun("unreachable"),
        Exchanged::Failed(ExchangeError::NoAnswer(why)) => return Attempt::Broken(why),
        Exchanged::Answered(response, lease) => (*response, lease),
    };
    let report = response.headers().get(HOP).and_then(|value| value.to_str().ok()).and_then(Report::decode);
    let Some(report) = report else { return Attempt::Broken("an answer without a report".to_owned()) };
    let now = node.now();
    node.balance.borrow_mut().record_load(&target.id, report.load, report.health, now);
    if matches!(report.outcome, Outcome::Answered | Outcome::Full) {
        node.cuts.borrow_mut().record_report(&call.route.name, report.cut, now);
    }
    node.parents.borrow_mut().record_caller_kind(&call.route.name, report.called_by);
    reach::heard(node, target.registration.address.ip(), report.reach);
    if let Some(proof) = report.proof {
        node.tenancy.heard(proof, &node.configuration.borrow(), begun);
    }
    let follows = report.present.as_ref().is_some_and(|present| {
        let mut targets = node.targets.borrow_mut();
        targets.succeed(&target.id, Arc::from(present.id.as_str()), &present.service, now);
        targets.get(&present.id).is_some()
    });
    match report.outcome {
        Outcome::Answered => {
            let took = now.since(begun);
            if response.status().is_success() {
                node.balance.borrow_mut().record_response_time(&target.id, &call.route.name, took, now);
            } else if response.status() == StatusCode::GATEWAY_TIMEOUT {
                node.balance.borrow_mut().record_unfinished(&target.id, &call.route.name, took, now);
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
        Outcome::Quarantined => {
            let told = text(response.headers(), RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
            finish(response, lease).await;
            Attempt::Quarantined(told.map_or(UNTOLD_QUARANTINE, Duration::from_secs))
        }
        Outcome::Broken => {
            finish(response, lease).await;
            Attempt::Broken("broken at the target".to_owned())
        }
        Outcome::Late => {
            node.balance.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(begun), now);
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
    /// The node is there and takes long; only told of calls that may be repeated.
    Left,
}

impl From<Result<(Response<Incoming>, Lease), ExchangeError>> for Exchanged {
    fn from(result: Result<(Response<Incoming>, Lease), ExchangeError>) -> Self {
        match result {
            Ok((response, lease)) => Exchanged::Answered(Box::new(response), lease),
            Err(error) => Exchanged::Failed(error),
        }
    }
}

/// Whether a call that takes long at its target is better sent to another one: it is made by a target, whose own call fails with
/// it, its service has room, and there is time left. A node that stops breaks nothing off: the other target may refuse, and the
/// answer would be its own.
pub(super) fn is_worth_leaving(node: &Node, call: &Call) -> bool {
    let now = node.now();
    let Some(mean) = node.balance.borrow().mean_response_time(&call.route.name) else { return false };
    node.has(Mechanism::SlowAttemptRetry)
        && !node.is_stopping()
        && call.is_inner
        && node.cuts.borrow().level(&call.route.name, now).priority_share() >= ROOM_FROM
        && now.until(call.deadline) >= mean * TIMES_LEFT
}

/// Waits for an exchange until the call's deadline, or until its node turns out not to be there, or to be so slow that the call
/// is left.
async fn exchange_while_present(
    node: &Rc<Node>,
    call: &Call,
    target: &Target,
    begun: Timestamp,
    exchange: impl Future<Output = Result<(Response<Incoming>, Lease), ExchangeError>>,
    may_leave: impl FnOnce() -> bool,
) -> Exchanged {
    let mut exchange = pin!(exchange);
    let end = call.deadline + DEADLINE_ALLOWANCE;
    let suspicion = node.balance.borrow().liveness_probe_delay(&call.route.name);
    if suspicion < node.now().until(end) && call.route.repeatability == Repeatability::Repeatable {
        let suspicious_from = node.now() + suspicion;
        if let Ok(result) = node.clock.timeout_at(suspicious_from, &mut exchange).await {
            return result.into();
        }
        // The machine was suspended for the rest of the call's time.
        if node.now() >= end {
            return Exchanged::Late;
        }
        tokio::select! {
            biased;
            result = &mut exchange => return result.into(),
            is_there = presence::is_there(node, target, begun) => if !is_there { return Exchanged::Silent },
        }
        if may_leave() {
            return Exchanged::Left;
        }
    }
    match node.clock.timeout_at(end, exchange).await {
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
    match relay_answer(response, lease).await {
        Ok(mut response) => {
            response.headers_mut().remove(HOP);
            Attempt::Answer(Box::new(response))
        }
        Err(why) => Attempt::Broken(why),
    }
}
