//! The listeners of callers and of the back end's own calls: takes calls, sends attempts to gates and streams answers back.
//!
//! A call passes through these phases: its head is read ([`request`]), its body is held or streamed ([`request_body`]),
//! attempts are sent as the decision code says ([`call`], [`attempt`]), and the answer is relayed ([`relay`]).

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

/// What a caller's request may use up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest header, in bytes; a larger one is answered with 431.
    pub header_bytes: u64,
    /// The largest body, in bytes, if there is a limit; a larger one is answered with 413.
    pub body_bytes: Option<u64>,
    /// The largest body that is held so that it can be sent again, in bytes.
    pub retry_buffer_bytes: u64,
}

/// The edge of a node, as its listener sees it.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// Whether every call here is one that the node's own back end makes. At the other listener only a call with a context
    /// shows that it is one: on one machine, addresses tell nothing.
    pub outgoing_only: bool,
    /// Connections to gates.
    pub client: reqwest::Client,
    /// The keys that authenticate attempts.
    pub keys: Arc<FleetKeys>,
    /// What callers may use up.
    pub limits: RequestLimits,
    /// Gates that do not accept this node's attempts.
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
        let described = request::describe(&head, remote, configuration.as_deref())?;
        let body = request_body::receive(&described, body, &head.headers, &self.limits).await?;
        call::run(self, described, head, body).await
    }
}
