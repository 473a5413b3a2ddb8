//! Handles the listeners for callers and for the calls that the node's own back end makes: accepts calls, sends
//! attempts to gates and streams answers back.
//!
//! A call passes through these phases: its head is read ([`request`]), its body is buffered or streamed
//! ([`request_body`]), attempts are sent as the decision code requests ([`call`], [`attempt`]), and the answer is
//! relayed ([`relay`]).

pub mod attempt;
pub mod call;
pub mod relay;
pub mod request;
pub mod request_body;
pub mod unaccepted;

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::Request;
use quillhatch_messages::FleetKeys;

use crate::driver::Driver;
use crate::http::problem::Rejection;
use crate::http::server::Handler;
use crate::http::Answer;
use crate::metrics::Counters;

/// Size limits of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum header size in bytes; a larger header is answered with 431.
    pub header_bytes: u64,
    /// The maximum body size in bytes, if limited; a larger body is answered with 413.
    pub body_bytes: Option<u64>,
    /// The maximum size in bytes of a body that is buffered so that a retry can send it again.
    pub retry_buffer_bytes: u64,
}

/// The request handler of one edge listener.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// Whether only the node's own back end sends calls to this listener. At the callers' listener, the context header
    /// identifies such calls: client addresses can't, since caller and back end may run on the same machine.
    pub outgoing_only: bool,
    /// The HTTP client for requests to gates.
    pub client: reqwest::Client,
    /// The keys that authenticate attempts.
    pub keys: Arc<FleetKeys>,
    /// Size limits of requests.
    pub limits: RequestLimits,
    /// The gates that currently reject this node's attempts.
    pub unaccepted: Arc<unaccepted::UnacceptedAttempts>,
    /// The program's counters.
    pub counters: Arc<Counters>,
}

impl Handler for Edge {
    async fn handle(self: Arc<Self>, remote: SocketAddr, request: Request<Incoming>) -> Answer {
        match Arc::clone(&self).answer(remote, request).await {
            Ok(answer) => answer,
            Err(rejection) => {
                self.counters.count_refusal(&rejection.refusal);
                rejection.answer()
            }
        }
    }
}

impl Edge {
    async fn answer(self: Arc<Self>, remote: SocketAddr, request: Request<Incoming>) -> Result<Answer, Rejection> {
        let (head, body) = request.into_parts();
        request::check_sizes(&head, &self.limits)?;
        let configuration = self.driver.configuration();
        let description = request::describe(&head, remote, configuration.as_deref())?;
        let body = request_body::receive(&description, body, &head.headers, &self.limits).await?;
        call::run(self, description, head, body).await
    }
}
