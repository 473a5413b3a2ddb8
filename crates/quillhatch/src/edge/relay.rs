//! Streams an answer to the caller, and resumes it from another target if the response from the gate is interrupted.
//!
//! Nothing is buffered here: a chunk is read from the gate only when the caller's connection requests the next one.

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

/// The state needed to relay the answer that the decision code selected.
pub struct RelayContext {
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// The request that attempts of the call send.
    pub outgoing: Arc<OutgoingRequest>,
    /// The commands for the call from the decision code.
    pub commands: mpsc::UnboundedReceiver<CallCommand>,
    /// Reports when the caller disconnects.
    pub guard: CallGuard,
    /// The attempt whose answer is relayed.
    pub attempt: AttemptId,
    /// The response of the attempt.
    pub response: reqwest::Response,
}

/// Creates the caller's answer, with a streaming body.
pub fn answer(relayed: RelayContext) -> Answer {
    let RelayContext { driver, outgoing, commands, guard, attempt, response } = relayed;
    let status = response.status();
    let mut headers = response.headers().clone();
    remove_hop_by_hop(&mut headers);
    remove_internal(&mut headers);
    // Only nodes may set `Outcome`, so a value in the relayed answer is removed.
    headers.remove(OUTCOME);
    let validator = strong_validator(outgoing.method(), status, &headers);
    let length = expected_length(outgoing.method(), status, &headers);
    let source = Some(body_stream(response));
    let mut body = BodyRelay { driver, outgoing, commands, guard, attempt, source, received: 0, length, validator };
    body.end_if_complete();
    let body = stream::unfold(body, |mut body| async move { body.next().await.map(|chunk| (chunk, body)) });
    let mut answer = Response::new(streamed(body.boxed()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

fn body_stream(response: reqwest::Response) -> ByteStream {
    response.bytes_stream().map_err(|_| BodyError::Upstream).boxed()
}

/// The strong validator that allows another target to send the rest of the answer; `None` if the answer can't be
/// resumed.
fn strong_validator(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<StrongValidator> {
    let is_full_answer = method == Method::GET && status == StatusCode::OK;
    let accepts_ranges = headers.get(ACCEPT_RANGES).is_some_and(|unit| unit == "bytes");
    let tag = headers.get(ETAG)?.to_str().ok()?;
    (is_full_answer && accepts_ranges && tag.starts_with('"')).then(|| StrongValidator(tag.to_owned()))
}

struct BodyRelay {
    driver: Arc<Driver>,
    outgoing: Arc<OutgoingRequest>,
    commands: mpsc::UnboundedReceiver<CallCommand>,
    guard: CallGuard,
    attempt: AttemptId,
    /// `None` after the response was interrupted, until another target resumes it.
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
                    self.end_if_complete();
                    return Some(Ok(chunk));
                }
                Event::Chunk(None) if self.is_complete() => {
                    self.end();
                    return None;
                }
                Event::Chunk(_) => self.handle_interruption(),
                Event::Command(Some(CallCommand::Send { target, context, range })) => {
                    self.resume(target, &context, range.as_ref()).await;
                }
                Event::Command(Some(CallCommand::Cancel(attempt))) if attempt != self.attempt => {}
                Event::Command(_) => return self.abort(),
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

    /// Whether the chunk fits the announced length. A source that sends more than announced counts as broken, like one
    /// that sends less.
    fn fits(&self, chunk: &Bytes) -> bool {
        self.length.is_none_or(|length| self.received + chunk.len() as u64 <= length)
    }

    fn is_complete(&self) -> bool {
        self.length.is_none_or(|length| self.received == length)
    }

    /// Reports the end together with the last byte, since the server does not poll the body beyond the announced
    /// length.
    fn end_if_complete(&mut self) {
        if self.length == Some(self.received) {
            self.end();
        }
    }

    fn end(&mut self) {
        if self.guard.end() {
            self.driver.edge_input(EdgeInput::BodyEnded { attempt: self.attempt, incomplete: None });
        }
    }

    fn handle_interruption(&mut self) {
        self.source = None;
        self.outgoing.edge().counters.broken_sources.inc();
        let broken = BodyState { received: self.received, length: self.length, validator: self.validator.clone() };
        self.driver.edge_input(EdgeInput::BodyEnded { attempt: self.attempt, incomplete: Some(broken) });
    }

    async fn resume(&mut self, target: NodeId, context: &CallContext, range: Option<&RangeRequest>) {
        let attempt = context.attempt_id();
        let sending = self.outgoing.send(target, context, range);
        let outcome = tokio::select! {
            outcome = sending => outcome,
            // Any command that arrives while the call waits to be resumed means that it must not be resumed.
            command = self.commands.recv() => return self.abandon_resume(command),
        };
        let (result, feedback) = outcome.result();
        if let AttemptOutcome::Answered { response, .. } = outcome {
            self.attempt = attempt;
            self.source = Some(body_stream(response));
        }
        self.driver.edge_input(EdgeInput::AttemptAnswered { attempt, result, feedback });
    }

    fn abandon_resume(&mut self, command: Option<CallCommand>) {
        self.source = None;
        if let Some(CallCommand::Cancel(_)) = command {
            // The next command tells how the call continues.
            return;
        }
        self.commands.close();
    }

    fn abort(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.source = None;
        self.guard.end();
        self.outgoing.edge().counters.broken_answers.inc();
        Some(Err(BodyError::Upstream))
    }
}
