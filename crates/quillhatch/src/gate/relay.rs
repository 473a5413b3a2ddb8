//! Streams a back end's answer to the edge, and keeps a copy of a small answer for replay.

use bytes::Bytes;
use futures::stream::{self, StreamExt, TryStreamExt};
use hyper::{Method, Response};
use quillhatch_calls::gate::io::AnswerEnd;
use quillhatch_types::{HeaderField, RecordedAnswer};

use super::attempt::{write_feedback, AttemptTask};
use crate::http::body::{streamed, BodyBroken, ByteStream};
use crate::http::headers::{expected_length, recordable, remove_hop_by_hop, remove_internal, OUTCOME};
use crate::http::Answer;

/// The head of the answer for the edge, with a body that streams the rest.
pub fn answer(task: AttemptTask, method: &Method, response: reqwest::Response) -> Answer {
    let status = response.status();
    let mut headers = response.headers().clone();
    remove_hop_by_hop(&mut headers);
    // Only nodes say what became of a call: a back end may have copied these from an answer to a call of its own.
    remove_internal(&mut headers);
    headers.remove(OUTCOME);
    let feedback = task.feedback();
    let record = Record::new(&task, method, recordable(&headers));
    let length = expected_length(method, status, &headers);
    let source = response.bytes_stream().map_err(|_| BodyBroken::Upstream).boxed();
    let mut body = BackendBody { task, source, status: status.as_u16(), bytes: 0, length, record };
    body.end_if_whole();
    let body = stream::unfold(body, |mut body| async move { body.next().await.map(|chunk| (chunk, body)) });
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

struct BackendBody {
    task: AttemptTask,
    source: ByteStream,
    status: u16,
    bytes: u64,
    length: Option<u64>,
    record: Record,
}

impl BackendBody {
    /// Reports the end with the last byte: the server does not ask for more than the length announced.
    fn end_if_whole(&mut self) {
        if self.length == Some(self.bytes) {
            self.end();
        }
    }

    fn end(&mut self) {
        let record = self.record.finish(self.status);
        self.task.guard.end(AnswerEnd::Whole { status: self.status, bytes: self.bytes, record });
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyBroken>> {
        let chunk = tokio::select! {
            chunk = self.source.next() => chunk,
            // The only command after the dispatch is to stop; the guard then reports the end.
            _ = self.task.commands.recv() => return Some(Err(BodyBroken::Upstream)),
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
}
