//! Concurrent processing of pipelined requests.
//!
//! hyper processes one request of a connection at a time. This module finds the heads of requests without a body in the
//! bytes that were read ahead, so that their calls can start at once. hyper still writes the responses in the order of
//! the requests.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use tokio::task::JoinHandle;

use crate::body::Body;
use crate::calls_in_progress::CallTicket;

/// The maximum number of headers of a request that is parsed here.
const MAX_HEADERS: usize = 64;
/// The maximum number of calls of one connection that are started before hyper has read their requests.
pub const MAX_PIPELINED_CALLS: usize = 16;

/// The request at the start of the bytes that a caller sent.
pub enum NextRequest {
    /// The head of the request is not complete yet.
    Incomplete,
    /// A request without a body, and the length of its head in bytes.
    WithoutBody(usize, Box<Parts>),
    /// A request, or invalid bytes, that is left to hyper to parse.
    Unsupported,
    /// A request with both `Content-Length` and `Transfer-Encoding`, whose length is ambiguous.
    Ambiguous,
}

/// Parses the head of the request at the start of the bytes that a caller sent.
pub fn parse_next_request(bytes: &[u8]) -> NextRequest {
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut storage);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return NextRequest::Incomplete,
        Err(_) => return NextRequest::Unsupported,
    };
    match parts_of(&head) {
        Some(parts) if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) => {
            NextRequest::Ambiguous
        }
        Some(parts) if !has_body(&parts.headers) => NextRequest::WithoutBody(length, Box::new(parts)),
        _ => NextRequest::Unsupported,
    }
}

fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) || headers.contains_key("upgrade")
}

fn parts_of(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.version != Some(1) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(request.into_parts().0)
}

/// The response to a pipelined call, until hyper has read its request and gets it.
pub struct WaitingResponse {
    /// The response.
    pub response: Response<Body>,
    /// Keeps it among the responses that wait.
    pub _ticket: Option<CallTicket>,
}

/// A pipelined call. Its task is aborted when it is dropped.
struct PipelinedCall {
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<WaitingResponse>,
}

impl Drop for PipelinedCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The pipelined calls of one connection, in the order of their requests.
#[derive(Default)]
pub struct PipelinedCalls(RefCell<VecDeque<PipelinedCall>>);

impl PipelinedCalls {
    /// Adds a call that was started.
    pub fn push(&self, parts: &Parts, task: JoinHandle<WaitingResponse>) {
        let call = PipelinedCall { uri: parts.uri.clone(), headers: parts.headers.clone(), task };
        self.0.borrow_mut().push_back(call);
    }

    /// The number of calls whose requests hyper has not read yet.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether the response to any of them is ready.
    pub fn has_ready(&self) -> bool {
        self.0.borrow().iter().any(|call| call.task.is_finished())
    }

    /// Whether there are no such calls.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The response to the request that hyper has just read, if its call was started as a pipelined one.
    pub async fn take(&self, request: &Parts) -> Option<Response<Body>> {
        let mut call = {
            let mut calls = self.0.borrow_mut();
            let is_first = calls.front().is_some_and(|call| call.uri == request.uri && call.headers == request.headers);
            is_first.then(|| calls.pop_front()).flatten()?
        };
        (&mut call.task).await.ok().map(|waiting| waiting.response)
    }
}
