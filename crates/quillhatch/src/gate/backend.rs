//! Sends requests to the node's back end.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use quillhatch_types::{CallId, ServiceName};

use crate::http::body::incoming;
use crate::http::headers::{content_length, milliseconds, remove_hop_by_hop, remove_internal, CONTEXT, DEADLINE};

/// The back end that runs next to a node.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The service that it implements.
    pub service: ServiceName,
    /// The HTTP client for requests to it.
    pub client: reqwest::Client,
}

/// The outcome of sending a request and waiting for the head of the answer.
#[derive(Debug)]
pub enum BackendOutcome {
    /// The head of the answer arrived.
    Answered(reqwest::Response),
    /// No connection could be opened, so nothing reached the back end.
    ConnectFailed,
    /// The connection was lost after the back end may have received bytes.
    Broken,
}

impl Backend {
    /// Sends the request of `call` and waits for the head of the answer.
    ///
    /// `remaining` is sent to the back end as its deadline but does not bound the wait here. The decision code bounds
    /// it by cancelling the attempt: a call that is not repeatable may continue for a while after its caller's
    /// deadline.
    pub async fn send(&self, call: CallId, mut head: Parts, body: Incoming, remaining: Duration) -> BackendOutcome {
        let length = content_length(&head.headers);
        remove_hop_by_hop(&mut head.headers);
        remove_internal(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        if let Some(length) = length {
            head.headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        if let Ok(context) = HeaderValue::from_str(&call.to_string()) {
            head.headers.insert(CONTEXT, context);
        }
        head.headers.insert(DEADLINE, milliseconds(remaining));
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(head.method, url).headers(head.headers).body(request_body(body));
        match request.send().await {
            Ok(response) => BackendOutcome::Answered(response),
            Err(error) if error.is_connect() || error.is_builder() => BackendOutcome::ConnectFailed,
            Err(_) => BackendOutcome::Broken,
        }
    }
}

fn request_body(body: Incoming) -> reqwest::Body {
    if hyper::body::Body::is_end_stream(&body) {
        return reqwest::Body::from(Vec::new());
    }
    reqwest::Body::wrap_stream(incoming(body))
}
