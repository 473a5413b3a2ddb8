//! Sends one attempt of a call to a gate and reads the head of the answer.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_RANGE, ETAG, IF_RANGE, RANGE};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::StatusCode;
use quillhatch_calls::edge::io::AttemptResult;
use quillhatch_types::{CallContext, Feedback, NodeId, Refusal};

use super::request_body::RequestBody;
use super::Edge;
use crate::call_header::{self, SignedRequest};
use crate::driver::RangeRequest;
use crate::http::headers::{self, remove_hop_by_hop, remove_internal};
use crate::http::problem::read_refusal;

/// Everything that all attempts of one call send alike.
pub struct OutgoingRequest {
    edge: Arc<Edge>,
    head: Parts,
    path: PathAndQuery,
    /// The body of the request.
    pub body: RequestBody,
}

/// How an attempt came out.
pub enum AttemptOutcome {
    /// The head of the back end's answer arrived.
    Answered {
        /// The answer.
        response: reqwest::Response,
        /// What the gate said with it.
        feedback: Option<Feedback>,
    },
    /// The gate refused or replied in the place of the back end.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// What the gate said with it.
        feedback: Option<Feedback>,
    },
    /// No byte left the edge.
    ConnectFailed,
    /// The connection was lost before an answer.
    Lost,
    /// The answer does not continue the broken one.
    ResumeRefused {
        /// What the gate said with it.
        feedback: Option<Feedback>,
    },
}

impl AttemptOutcome {
    /// The outcome as the decision code takes it.
    pub fn result(&self) -> (AttemptResult, Option<Feedback>) {
        match self {
            AttemptOutcome::Answered { response, feedback } => {
                (AttemptResult::Answered { status: response.status().as_u16() }, *feedback)
            }
            AttemptOutcome::Refused { refusal, feedback } => (AttemptResult::Refused(*refusal), *feedback),
            AttemptOutcome::ConnectFailed => (AttemptResult::ConnectFailed, None),
            AttemptOutcome::Lost => (AttemptResult::Lost, None),
            AttemptOutcome::ResumeRefused { feedback } => (AttemptResult::ResumeRefused, *feedback),
        }
    }
}

impl OutgoingRequest {
    /// Prepares the attempts of a call with the given head; only what callers may set is sent on.
    pub fn new(edge: Arc<Edge>, mut head: Parts, path: PathAndQuery, body: RequestBody) -> Self {
        remove_hop_by_hop(&mut head.headers);
        remove_internal(&mut head.headers);
        OutgoingRequest { edge, head, path, body }
    }

    /// The method of the request.
    pub fn method(&self) -> &hyper::Method {
        &self.head.method
    }

    /// The edge that the call arrived at.
    pub fn edge(&self) -> &Edge {
        &self.edge
    }

    /// Sends an attempt to `target` and waits for the head of its answer.
    pub async fn send(&self, target: NodeId, context: &CallContext, range: Option<&RangeRequest>) -> AttemptOutcome {
        let Some(request) = self.request(target, context, range) else {
            return AttemptOutcome::ConnectFailed;
        };
        match request.send().await {
            Ok(response) => {
                self.edge.unaccepted.note(target.address, response.headers(), &self.edge.counters);
                judge(response, range)
            }
            Err(error) if error.is_connect() || error.is_builder() => AttemptOutcome::ConnectFailed,
            Err(_) => AttemptOutcome::Lost,
        }
    }

    fn request(
        &self,
        target: NodeId,
        context: &CallContext,
        range: Option<&RangeRequest>,
    ) -> Option<reqwest::RequestBuilder> {
        let path = self.path.as_str();
        let signed = SignedRequest { receiver: target, method: self.head.method.as_str(), path };
        let mut headers = self.head.headers.clone();
        headers.insert(headers::CALL, call_header::seal(&self.edge.keys, signed, context)?);
        if let Some(range) = range {
            headers.insert(RANGE, HeaderValue::from_str(&format!("bytes={}-", range.offset)).ok()?);
            headers.insert(IF_RANGE, HeaderValue::from_str(&range.validator.0).ok()?);
        }
        headers.remove(CONTENT_LENGTH);
        if let Some(length) = self.body.length {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let url = format!("http://{}{path}", target.address);
        let request = self.edge.client.request(self.head.method.clone(), url).headers(headers);
        Some(request.body(self.body.take()?))
    }
}

fn judge(response: reqwest::Response, range: Option<&RangeRequest>) -> AttemptOutcome {
    let feedback = response.headers().get(headers::FEEDBACK).and_then(call_header::open_feedback);
    if let Some(refusal) = read_refusal(response.headers()) {
        return AttemptOutcome::Refused { refusal, feedback };
    }
    if feedback.is_none() {
        // Whatever listens there is no gate, and nobody can tell what it did with the request.
        return AttemptOutcome::Lost;
    }
    match range {
        Some(range) if !continues(&response, range) => AttemptOutcome::ResumeRefused { feedback },
        _ => AttemptOutcome::Answered { response, feedback },
    }
}

/// Whether the answer is the rest of the broken one, from the wanted byte to its end, under the same validator.
fn continues(response: &reqwest::Response, range: &RangeRequest) -> bool {
    let same_validator = text(response.headers(), &ETAG) == Some(range.validator.0.as_str());
    let content_range = text(response.headers(), &CONTENT_RANGE).and_then(parse_content_range);
    let from_offset_to_end =
        content_range.is_some_and(|(first, last, total)| first == range.offset && last.checked_add(1) == Some(total));
    response.status() == StatusCode::PARTIAL_CONTENT && same_validator && from_offset_to_end
}

/// Reads `bytes first-last/total` (RFC 9110, section 14.4).
pub fn parse_content_range(text: &str) -> Option<(u64, u64, u64)> {
    let (range, total) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?, total.parse().ok()?))
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
