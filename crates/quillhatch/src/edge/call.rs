//! Runs one call: passes it to the decision code, sends its attempts and returns the selected answer to the caller.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::future::{AbortHandle, Abortable};
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::http::request::Parts;
use quillhatch_calls::edge::io::{Answer as Decision, CallArrival, EdgeInput};
use quillhatch_types::{AttemptId, CallContext, CallId, NodeId, ParentContext, Refusal, RequestKey, RootId};
use tokio::sync::mpsc;

use super::attempt::{AttemptOutcome, OutgoingRequest};
use super::relay;
use super::request::{body_too_large, ContextHeader, RequestDescription};
use super::request_body::RequestBody;
use super::Edge;
use crate::driver::{CallCommand, Driver, RangeRequest};
use crate::http::problem::Rejection;
use crate::http::Answer;

/// Reports to the decision code that the caller disconnected if it is dropped before the call has ended.
pub struct CallGuard {
    driver: Arc<Driver>,
    call: CallId,
    ended: bool,
}

impl CallGuard {
    /// The identifier of the call.
    pub fn call(&self) -> CallId {
        self.call
    }

    /// Marks the call as ended: its answer was delivered completely, refused or aborted. Returns false if it had
    /// already ended.
    pub fn end(&mut self) -> bool {
        !std::mem::replace(&mut self.ended, true)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.driver.edge_input(EdgeInput::CallerDisconnected { call: self.call });
        }
        self.driver.unregister_call(self.call);
    }
}

/// Runs the call and returns its answer, with a streaming body.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn run(
    edge: Arc<Edge>,
    request: RequestDescription,
    head: Parts,
    body: RequestBody,
) -> Result<Answer, Rejection> {
    let arrival = arrival(&edge, &request, head.method.as_str(), &body);
    let driver = Arc::clone(&edge.driver);
    let call = arrival.call;
    let commands = driver.register_call(call, request.service.clone());
    let guard = CallGuard { driver: Arc::clone(&driver), call, ended: false };
    let outgoing = Arc::new(OutgoingRequest::new(edge, head, request.path, body));
    driver.edge_input(EdgeInput::Arrived(arrival));
    let task = CallTask {
        driver,
        outgoing,
        commands,
        guard,
        in_flight: InFlightAttempts::default(),
        undecided_responses: BTreeMap::new(),
    };
    task.run().await
}

fn arrival(edge: &Edge, request: &RequestDescription, method: &str, body: &RequestBody) -> CallArrival {
    let call = CallId(rand::random());
    let parent = parent(edge, request);
    let digest = request.key.as_ref().and_then(|_| body.digest(method, request.path.as_str()));
    CallArrival {
        call,
        root: parent.as_ref().map_or_else(|| RootId(rand::random()), |parent| parent.root),
        caller: request.caller.clone(),
        service: request.service.clone(),
        class: request.class.clone(),
        key: request.key.clone(),
        generated_key: random_key(),
        digest,
        remaining: request.remaining,
        outgoing: edge.outgoing_only || request.context != ContextHeader::Absent,
        parent,
        replayable_body: body.replayable(),
    }
}

/// The context that the call inherits from its parent call. An unknown or malformed context is not an error: the call
/// inherits nothing and gets no retry budget.
fn parent(edge: &Edge, request: &RequestDescription) -> Option<ParentContext> {
    let lent = match request.context {
        ContextHeader::Absent => return None,
        ContextHeader::Parent(call) => edge.driver.lend_tokens(call, request.retry_budget),
        ContextHeader::Malformed => None,
    };
    if lent.is_none() {
        edge.counters.unknown_contexts.inc();
    }
    lent
}

fn random_key() -> RequestKey {
    let text = format!("{:032x}", rand::random::<u128>());
    // Hexadecimal digits are always a valid key.
    RequestKey::new(&text).unwrap_or_else(|_| unreachable!("{text} is a valid key"))
}

type FinishedAttempt = (AttemptId, Option<AttemptOutcome>);

#[derive(Default)]
struct InFlightAttempts {
    attempts: FuturesUnordered<futures::future::BoxFuture<'static, FinishedAttempt>>,
    handles: BTreeMap<AttemptId, AbortHandle>,
}

impl InFlightAttempts {
    fn launch(
        &mut self,
        outgoing: Arc<OutgoingRequest>,
        target: NodeId,
        context: Box<CallContext>,
        range: Option<RangeRequest>,
    ) {
        let attempt = context.attempt_id();
        let (handle, registration) = AbortHandle::new_pair();
        let sending = async move { outgoing.send(target, &context, range.as_ref()).await };
        let sending = Abortable::new(sending, registration);
        self.handles.insert(attempt, handle);
        self.attempts.push(Box::pin(async move { (attempt, sending.await.ok()) }));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(handle) = self.handles.remove(&attempt) {
            handle.abort();
        }
    }

    /// Waits for the next attempt to complete; never returns if none is in flight.
    async fn next(&mut self) -> FinishedAttempt {
        match self.attempts.next().await {
            Some(finished) => finished,
            None => std::future::pending().await,
        }
    }
}

struct CallTask {
    driver: Arc<Driver>,
    outgoing: Arc<OutgoingRequest>,
    commands: mpsc::UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    in_flight: InFlightAttempts,
    /// Responses for which the decision code has not yet chosen whether to relay them.
    undecided_responses: BTreeMap<AttemptId, reqwest::Response>,
}

impl CallTask {
    async fn run(mut self) -> Result<Answer, Rejection> {
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(CallCommand::Send { target, context, range }) => {
                        self.in_flight.launch(Arc::clone(&self.outgoing), target, context, range);
                    }
                    Some(CallCommand::Cancel(attempt)) => {
                        self.in_flight.cancel(attempt);
                        self.undecided_responses.remove(&attempt);
                    }
                    Some(CallCommand::Finish(decision)) => return self.finish(decision),
                    Some(CallCommand::BreakOff) | None => return Err(self.refuse(outcome_unknown())),
                },
                (attempt, outcome) = self.in_flight.next() => self.handle_outcome(attempt, outcome),
            }
        }
    }

    fn handle_outcome(&mut self, attempt: AttemptId, outcome: Option<AttemptOutcome>) {
        self.in_flight.handles.remove(&attempt);
        let Some(outcome) = outcome else {
            return;
        };
        let (result, feedback) = outcome.result();
        if let AttemptOutcome::Answered { response, .. } = outcome {
            self.undecided_responses.insert(attempt, response);
        }
        self.driver.edge_input(EdgeInput::AttemptAnswered { attempt, result, feedback });
    }

    fn finish(mut self, decision: Decision) -> Result<Answer, Rejection> {
        match decision {
            Decision::Refuse(refusal) => Err(self.refuse(refusal)),
            Decision::Relay(attempt) => match self.undecided_responses.remove(&attempt) {
                Some(response) => {
                    let CallTask { driver, outgoing, commands, guard, .. } = self;
                    Ok(relay::answer(relay::RelayContext { driver, outgoing, commands, guard, attempt, response }))
                }
                None => Err(self.refuse(outcome_unknown())),
            },
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Rejection {
        self.guard.end();
        let call = Some(self.guard.call());
        if self.outgoing.body.oversize.is_set() {
            let limit = self.outgoing.edge().limits.body_bytes.unwrap_or_default();
            return Rejection { refusal, call, ..body_too_large(limit) };
        }
        Rejection { call, ..Rejection::from(refusal) }
    }
}

/// The refusal for inconsistent outputs of the decision code, such as relaying an attempt without a response. It is
/// unknown whether the call ran.
fn outcome_unknown() -> Refusal {
    Refusal::unknown(quillhatch_types::RefusalReason::ConnectionLost)
}
