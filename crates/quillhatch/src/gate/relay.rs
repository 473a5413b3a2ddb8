//! Streams a back end's answer to the edge, and records a copy of a small answer for replay.

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

/// Creates the answer for the edge, with a streaming body.
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

/// Records a copy of an answer while it is relayed; discards the copy if the answer exceeds the replay limit.
struct AnswerRecorder {
    headers: Vec<HeaderField>,
    body: Option<Vec<u8>>,
    limit: usize,
}

impl AnswerRecorder {
    fn new(task: &AttemptTask, method: &Method, headers: Vec<HeaderField>) -> Self {
        let configuration = task.gate.driver.configuration();
        let service =
            configuration.as_ref().and_then(|configuration| configuration.services.get(&task.context.service));
        let limit = service.map_or(0, |service| service.replay_limit_bytes as usize);
        let recorded = !task.context.repeatable && *method != Method::HEAD;
        AnswerRecorder { headers, body: recorded.then(Vec::new), limit }
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
    recorder: AnswerRecorder,
}

impl BackendBody {
    /// Creates the body of `response`, whose head was just received.
    pub fn new(task: AttemptTask, method: &Method, response: reqwest::Response) -> Self {
        let status = response.status();
        let mut headers = response.headers().clone();
        remove_hop_by_hop(&mut headers);
        // Only nodes may set these fields; a back end may have copied them from the answer to one of its own calls.
        remove_internal(&mut headers);
        headers.remove(OUTCOME);
        let recorder = AnswerRecorder::new(&task, method, recordable_fields(&headers));
        let length = expected_length(method, status, &headers);
        let source = response.bytes_stream().map_err(|_| BodyError::Upstream).boxed();
        let mut body = BackendBody { task, source, status, headers, bytes: 0, length, recorder };
        body.end_if_complete();
        body
    }

    /// Reads the rest of the answer, for a bounded time, only to record it.
    pub async fn read_to_end(mut self) {
        // An answer that has not ended by then is dropped, and its guard reports it as cancelled.
        let _ = tokio::time::timeout(MAX_BACKGROUND_RUN, async { while self.next().await.is_some() {} }).await;
    }

    /// Reports the end together with the last byte, since the server does not poll the body beyond the announced
    /// length.
    fn end_if_complete(&mut self) {
        if self.length == Some(self.bytes) {
            self.end();
        }
    }

    fn end(&mut self) {
        let status = self.status.as_u16();
        let record = self.recorder.finish(status);
        self.task.guard.end(AnswerEnd::Whole { status, bytes: self.bytes, record });
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = tokio::select! {
            chunk = self.source.next() => chunk,
            _ = self.task.guard.next_command() => return Some(Err(self.cancel())),
        };
        match chunk {
            Some(Ok(chunk)) => {
                self.bytes += chunk.len() as u64;
                self.recorder.append(&chunk);
                self.end_if_complete();
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

    /// Handles the command to cancel, the only possible one after the dispatch.
    fn cancel(&mut self) -> BodyError {
        self.source = stream::empty().boxed();
        self.task.guard.end(AnswerEnd::Cancelled);
        BodyError::Upstream
    }
}

/// A body that is relayed to the edge. If the edge disconnects and the request must be completed, the body is read to
/// its end in the background.
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
