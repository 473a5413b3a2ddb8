//! Streams a back end's answer to the edge, and keeps a copy of a small answer for replay.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, StreamExt, TryStreamExt};
use hyper::header::HeaderMap;
use hyper::{Method, Response, StatusCode};
use quillhatch_calls::gate::io::AnswerEnd;
use quillhatch_types::{HeaderField, RecordedAnswer};

use super::attempt::{write_feedback, AttemptTask};
use super::background::MAX_BACKGROUND_RUN;
use crate::http::body::{streamed, BodyError, ByteStream};
use crate::http::headers::{expected_length, recordable_fields, remove_hop_by_hop, remove_internal, OUTCOME};
use crate::http::Answer;

/// The head of the answer for the edge, with a body that streams the rest.
pub fn answer(body: BackendBody) -> Answer {
    let feedback = body.task.feedback();
    let (status, headers) = (body.status, body.headers.clone());
    let body = stream::unfold(RelayedBody(Some(body)), |mut body| async move {
        let chunk = body.0.as_mut()?.next().await?;
        Some((chunk, body))
    });
    let mut answer = Response::new(streamed(body.boxed()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    write_feedback(&mut answer, &feedback);
    answer
}

/// A copy of an answer on its way, as long as it is small enough to be kept.
struct Record {
    headers: Vec<HeaderField>,
    body: Option<Vec<u8>>,
    limit: usize,
}

impl Record {
    fn new(task: &AttemptTask, method: &Method, headers: Vec<HeaderField>) -> Self {
        let configuration = task.gate.driver.configuration();
        let service =
            configuration.as_ref().and_then(|configuration| configuration.services.get(&task.context.service));
        let limit = service.map_or(0, |service| service.replay_limit_bytes as usize);
        let wanted = !task.context.repeatable && *method != Method::HEAD;
        Record { headers, body: wanted.then(Vec::new), limit }
    }

    fn append(&mut self, chunk: &Bytes) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + chunk.len() > self.limit {
            self.body = None;
            return;
        }
        body.extend_from_slice(chunk);
    }

    fn finish(&mut self, status: u16) -> Option<RecordedAnswer> {
        let body = self.body.take()?;
        Some(RecordedAnswer { status, headers: std::mem::take(&mut self.headers), body })
    }
}

/// A back end's answer, read chunk by chunk.
pub struct BackendBody {
    task: AttemptTask,
    source: ByteStream,
    status: StatusCode,
    headers: HeaderMap,
    bytes: u64,
    length: Option<u64>,
    record: Record,
}

impl BackendBody {
    /// The answer whose head is that of `response`.
    pub fn new(task: AttemptTask, method: &Method, response: reqwest::Response) -> Self {
        let status = response.status();
        let mut headers = response.headers().clone();
        remove_hop_by_hop(&mut headers);
        // Only nodes say what became of a call: a back end may have copied these from an answer to a call of its own.
        remove_internal(&mut headers);
        headers.remove(OUTCOME);
        let record = Record::new(&task, method, recordable_fields(&headers));
        let length = expected_length(method, status, &headers);
        let source = response.bytes_stream().map_err(|_| BodyError::Upstream).boxed();
        let mut body = BackendBody { task, source, status, headers, bytes: 0, length, record };
        body.end_if_whole();
        body
    }

    /// Reads the rest for nobody but the record, for a bounded time.
    pub async fn read_to_end(mut self) {
        // What is not at its end by then is dropped, and its guard reports it as stopped.
        let _ = tokio::time::timeout(MAX_BACKGROUND_RUN, async { while self.next().await.is_some() {} }).await;
    }

    /// Reports the end with the last byte: the server does not ask for more than the length announced.
    fn end_if_whole(&mut self) {
        if self.length == Some(self.bytes) {
            self.end();
        }
    }

    fn end(&mut self) {
        let status = self.status.as_u16();
        let record = self.record.finish(status);
        self.task.guard.end(AnswerEnd::Whole { status, bytes: self.bytes, record });
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = tokio::select! {
            chunk = self.source.next() => chunk,
            _ = self.task.guard.command() => return Some(Err(self.stopped())),
        };
        match chunk {
            Some(Ok(chunk)) => {
                self.bytes += chunk.len() as u64;
                self.record.append(&chunk);
                self.end_if_whole();
                Some(Ok(chunk))
            }
            Some(Err(error)) => {
                self.task.gate.counters.broken_sources.inc();
                self.task.guard.end(AnswerEnd::Broken);
                Some(Err(error))
            }
            None => {
                if self.length.is_none() {
                    self.end();
                }
                None
            }
        }
    }

    /// The only command after the dispatch is to stop.
    fn stopped(&mut self) -> BodyError {
        self.source = stream::empty().boxed();
        self.task.guard.end(AnswerEnd::Cancelled);
        BodyError::Upstream
    }
}

/// A body on its way to the edge; it is read on in the background if the edge goes and the run is to come to its end.
struct RelayedBody(Option<BackendBody>);

impl Drop for RelayedBody {
    fn drop(&mut self) {
        let Some(mut body) = self.0.take() else {
            return;
        };
        if body.task.guard.continues_without_edge() {
            let background = Arc::clone(&body.task.gate.background);
            background.spawn(body.read_to_end());
        }
    }
}
