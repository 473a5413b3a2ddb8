//! Requests that a caller sends behind one that is not answered yet.
//!
//! hyper takes up one request of a connection at a time. Here the heads of requests without a body are found in what was
//! read ahead, so that their calls can begin at once; hyper still writes the answers in the order of the requests.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Uri};
use tokio::task::JoinHandle;

use crate::body::Body;

/// The most headers of a request that is begun early.
const MOST_HEADERS: usize = 64;
/// The most requests of one connection that are begun early.
pub const MAX_PIPELINED_CALLS: usize = 16;

/// What stands at the beginning of the bytes that a caller sent.
pub enum NextRequest {
    /// The head of a request is not complete yet.
    Incomplete,
    /// The whole head of a request without a body, of this length in bytes.
    WithoutBody(usize, Box<Parts>),
    /// Something that only hyper can take apart.
    Unsupported,
    /// A request that tells its length in two ways, so that its end is open to doubt.
    Ambiguous,
}

/// Looks at the beginning of what a caller sent.
pub fn parse_next_request(bytes: &[u8]) -> NextRequest {
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut space);
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

struct EarlyCall {
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<Body>>,
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The calls of one connection that were begun early, in the order of their requests.
#[derive(Default)]
pub struct PipelinedCalls(RefCell<VecDeque<EarlyCall>>);

impl PipelinedCalls {
    /// Notes a call that was begun.
    pub fn push(&self, parts: &Parts, task: JoinHandle<Response<Body>>) {
        let call = EarlyCall { uri: parts.uri.clone(), headers: parts.headers.clone(), task };
        self.0.borrow_mut().push_back(call);
    }

    /// The number of calls that hyper has not come to yet.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The answer to the request that hyper has come to, if its call was begun early.
    pub async fn take(&self, request: &Parts) -> Option<Response<Body>> {
        let mut call = {
            let mut calls = self.0.borrow_mut();
            let is_first = calls.front().is_some_and(|call| call.uri == request.uri && call.headers == request.headers);
            is_first.then(|| calls.pop_front()).flatten()?
        };
        (&mut call.task).await.ok()
    }
}
