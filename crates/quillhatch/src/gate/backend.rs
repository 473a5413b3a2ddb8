//! Sends requests to the back end beside the node.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use quillhatch_types::{CallId, ServiceName};

use crate::http::body::incoming;
use crate::http::headers::{content_length, milliseconds, remove_hop_by_hop, remove_internal, CONTEXT, DEADLINE};

/// The back end beside a node.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Connections to it.
    pub client: reqwest::Client,
}

/// What became of a request, as far as the head of the answer.
#[derive(Debug)]
pub enum BackendOutcome {
    /// The head of the answer arrived.
    Answered(reqwest::Response),
    /// No byte reached the back end.
    ConnectFailed,
    /// The connection broke after bytes had reached the back end.
    Broken,
}

impl Backend {
    /// Sends the request of `call` and waits for the head of the answer.
    ///
    /// The back end is told that `remaining` is left. How long it may take in fact is for the decision code to say, which
    /// stops the attempt: a call that may not be repeated goes on for a while after its caller's deadline.
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
