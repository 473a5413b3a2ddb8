//! Sends one attempt of a call to a gate and reads the head of the response.

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

/// The request that all attempts of one call share.
pub struct OutgoingRequest {
    edge: Arc<Edge>,
    head: Parts,
    path: PathAndQuery,
    /// The body of the request.
    pub body: RequestBody,
}

/// The outcome of an attempt.
pub enum AttemptOutcome {
    /// The head of the back end's answer arrived.
    Answered {
        /// The back end's response.
        response: reqwest::Response,
        /// The gate's feedback header, if present and valid.
        feedback: Option<Feedback>,
    },
    /// The gate refused the attempt or reports that it failed; the response is not the back end's.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// The gate's feedback header, if present and valid.
        feedback: Option<Feedback>,
    },
    /// No connection to the gate could be opened, so nothing was sent.
    ConnectFailed,
    /// The connection was lost before a valid response arrived.
    Lost,
    /// The response does not continue the interrupted answer.
    ResumeRefused {
        /// The gate's feedback header, if present and valid.
        feedback: Option<Feedback>,
    },
}

impl AttemptOutcome {
    /// Converts the outcome to the input of the decision code.
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
    /// Creates the request from the caller's head; hop-by-hop and internal header fields are removed.
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

    /// Sends an attempt to `target` and waits for the head of the response.
    pub async fn send(&self, target: NodeId, context: &CallContext, range: Option<&RangeRequest>) -> AttemptOutcome {
        let Some(request) = self.request(target, context, range) else {
            return AttemptOutcome::ConnectFailed;
        };
        match request.send().await {
            Ok(response) => {
                self.edge.unaccepted.record(target.address, response.headers(), &self.edge.counters);
                classify_response(response, range)
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
        headers.insert(headers::CALL, call_header::sign_context(&self.edge.keys, signed, context)?);
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

fn classify_response(response: reqwest::Response, range: Option<&RangeRequest>) -> AttemptOutcome {
    let feedback = response.headers().get(headers::FEEDBACK).and_then(call_header::decode_feedback);
    if let Some(refusal) = read_refusal(response.headers()) {
        return AttemptOutcome::Refused { refusal, feedback };
    }
    if feedback.is_none() {
        // Every gate sends feedback, so the peer is not a gate. It is unknown whether it ran the request.
        return AttemptOutcome::Lost;
    }
    match range {
        Some(range) if !is_continuation(&response, range) => AttemptOutcome::ResumeRefused { feedback },
        _ => AttemptOutcome::Answered { response, feedback },
    }
}

/// Whether the response contains the interrupted answer from the requested offset to its end, under the same validator.
fn is_continuation(response: &reqwest::Response, range: &RangeRequest) -> bool {
    let same_validator = header_text(response.headers(), &ETAG) == Some(range.validator.0.as_str());
    let content_range = header_text(response.headers(), &CONTENT_RANGE).and_then(parse_content_range);
    let from_offset_to_end =
        content_range.is_some_and(|(first, last, total)| first == range.offset && last.checked_add(1) == Some(total));
    response.status() == StatusCode::PARTIAL_CONTENT && same_validator && from_offset_to_end
}

/// Parses `bytes first-last/total` (RFC 9110, section 14.4) into `(first, last, total)`.
pub fn parse_content_range(text: &str) -> Option<(u64, u64, u64)> {
    let (range, total) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?, total.parse().ok()?))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
