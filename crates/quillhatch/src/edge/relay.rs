//! Streams an answer to the caller, and continues it from another target when the source breaks off.
//!
//! Nothing is held: a chunk is read from the gate when the caller's connection takes the next one.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, StreamExt, TryStreamExt};
use hyper::header::{HeaderMap, ACCEPT_RANGES, ETAG};
use hyper::{Method, Response, StatusCode};
use quillhatch_calls::edge::io::{BodyState, EdgeInput, StrongValidator};
use quillhatch_types::{AttemptId, CallContext, NodeId};
use tokio::sync::mpsc;

use super::attempt::{AttemptOutcome, OutgoingRequest};
use super::call::CallGuard;
use crate::driver::{CallCommand, Driver, RangeRequest};
use crate::http::body::{streamed, BodyError, ByteStream};
use crate::http::headers::{expected_length, remove_hop_by_hop, remove_internal, OUTCOME};
use crate::http::Answer;

/// An answer whose relay was decided.
pub struct RelayContext {
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// What attempts of the call send.
    pub outgoing: Arc<OutgoingRequest>,
    /// The commands about the call.
    pub commands: mpsc::UnboundedReceiver<CallCommand>,
    /// Tells when the caller leaves.
    pub guard: CallGuard,
    /// The attempt whose answer is relayed.
    pub attempt: AttemptId,
    /// The answer.
    pub response: reqwest::Response,
}

/// The head of the caller's answer, with a body that streams the rest.
pub fn answer(relayed: RelayContext) -> Answer {
    let RelayContext { driver, outgoing, commands, guard, attempt, response } = relayed;
    let status = response.status();
    let mut headers = response.headers().clone();
    remove_hop_by_hop(&mut headers);
    remove_internal(&mut headers);
    // What is known of a call is for nodes to say.
    headers.remove(OUTCOME);
    let validator = strong_validator(outgoing.method(), status, &headers);
    let length = expected_length(outgoing.method(), status, &headers);
    let source = Some(source(response));
    let mut body = BodyRelay { driver, outgoing, commands, guard, attempt, source, received: 0, length, validator };
    body.end_if_whole();
    let body = stream::unfold(body, |mut body| async move { body.next().await.map(|chunk| (chunk, body)) });
    let mut answer = Response::new(streamed(body.boxed()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

fn source(response: reqwest::Response) -> ByteStream {
    response.bytes_stream().map_err(|_| BodyError::Upstream).boxed()
}

/// The validator under which the rest of the answer may come from another target.
fn strong_validator(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<StrongValidator> {
    let whole = method == Method::GET && status == StatusCode::OK;
    let ranges = headers.get(ACCEPT_RANGES).is_some_and(|unit| unit == "bytes");
    let tag = headers.get(ETAG)?.to_str().ok()?;
    (whole && ranges && tag.starts_with('"')).then(|| StrongValidator(tag.to_owned()))
}

struct BodyRelay {
    driver: Arc<Driver>,
    outgoing: Arc<OutgoingRequest>,
    commands: mpsc::UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    attempt: AttemptId,
    /// Absent after it broke off, until another takes its place.
    source: Option<ByteStream>,
    received: u64,
    length: Option<u64>,
    validator: Option<StrongValidator>,
}

enum Event {
    Chunk(Option<Result<Bytes, BodyError>>),
    Command(Option<CallCommand>),
}

impl BodyRelay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.event().await {
                Event::Chunk(Some(Ok(chunk))) if self.fits(&chunk) => {
                    self.received += chunk.len() as u64;
                    self.end_if_whole();
                    return Some(Ok(chunk));
                }
                Event::Chunk(None) if self.is_whole() => {
                    self.end();
                    return None;
                }
                Event::Chunk(_) => self.source_broke(),
                Event::Command(Some(CallCommand::Send { target, context, range })) => {
                    self.resume(target, &context, range.as_ref()).await;
                }
                Event::Command(Some(CallCommand::Cancel(attempt))) if attempt != self.attempt => {}
                Event::Command(_) => return self.break_off(),
            }
        }
    }

    async fn event(&mut self) -> Event {
        let Some(source) = &mut self.source else {
            return Event::Command(self.commands.recv().await);
        };
        tokio::select! {
            chunk = source.next() => Event::Chunk(chunk),
            command = self.commands.recv() => Event::Command(command),
        }
    }

    /// A source that gives more than it announced is as broken as one that gives less.
    fn fits(&self, chunk: &Bytes) -> bool {
        self.length.is_none_or(|length| self.received + chunk.len() as u64 <= length)
    }

    fn is_whole(&self) -> bool {
        self.length.is_none_or(|length| self.received == length)
    }

    /// Reports the end with the last byte: the server does not ask for more than the length announced.
    fn end_if_whole(&mut self) {
        if self.length == Some(self.received) {
            self.end();
        }
    }

    fn end(&mut self) {
        if self.guard.end() {
            self.driver.edge_input(EdgeInput::BodyEnded { attempt: self.attempt, broken: None });
        }
    }

    fn source_broke(&mut self) {
        self.source = None;
        self.outgoing.edge().counters.broken_sources.inc();
        let broken = BodyState { received: self.received, length: self.length, validator: self.validator.clone() };
        self.driver.edge_input(EdgeInput::BodyEnded { attempt: self.attempt, broken: Some(broken) });
    }

    async fn resume(&mut self, target: NodeId, context: &CallContext, range: Option<&RangeRequest>) {
        let attempt = context.attempt_id();
        let sending = self.outgoing.send(target, context, range);
        let outcome = tokio::select! {
            outcome = sending => outcome,
            // Any command about a call that waits for its rest means that the rest is not wanted.
            command = self.commands.recv() => return self.stop_waiting(command),
        };
        let (result, feedback) = outcome.result();
        if let AttemptOutcome::Answered { response, .. } = outcome {
            self.attempt = attempt;
            self.source = Some(source(response));
        }
        self.driver.edge_input(EdgeInput::AttemptAnswered { attempt, result, feedback });
    }

    fn stop_waiting(&mut self, command: Option<CallCommand>) {
        self.source = None;
        if let Some(CallCommand::Cancel(_)) = command {
            // What follows from it comes as the next command.
            return;
        }
        self.commands.close();
    }

    fn break_off(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.source = None;
        self.guard.end();
        self.outgoing.edge().counters.broken_answers.inc();
        Some(Err(BodyError::Upstream))
    }
}
