//! The peers' listener: checks and runs attempts of calls, and takes control frames.
//!
//! An attempt's header is opened, the decision code decides when it is dispatched ([`attempt`]), the request goes to the
//! back end ([`backend`]), and the answer streams back with the gate's feedback ([`relay`]).

pub mod attempt;
pub mod backend;
pub mod relay;

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use quillhatch_messages::FleetKeys;
use quillhatch_types::{NodeId, RefusalReason};

use crate::call_header::{self, SignedRequest};
use crate::driver::Driver;
use crate::http::headers::CALL;
use crate::http::problem::{write_refusal, Rejection};
use crate::http::server::Handler;
use crate::http::Answer;
use crate::metrics::Counters;
use crate::peers::{FrameReceiver, FRAMES_PATH};

/// The peers' listener of a node.
#[derive(Debug)]
pub struct Gate {
    /// The node's own run.
    pub node: NodeId,
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// The back end beside the node, if there is one.
    pub backend: Option<backend::Backend>,
    /// The keys that authenticate attempts.
    pub keys: Arc<FleetKeys>,
    /// Takes control frames.
    pub frames: FrameReceiver,
    /// The program's counters.
    pub counters: Arc<Counters>,
}

impl Handler for Gate {
    async fn handle(self: Arc<Self>, _remote: SocketAddr, request: Request<Incoming>) -> Answer {
        let is_frames = request.method() == Method::POST
            && request.uri().path() == FRAMES_PATH
            && !request.headers().contains_key(CALL);
        if is_frames {
            return self.frames.receive(request.into_body()).await;
        }
        match self.attempt(request).await {
            Ok(answer) => answer,
            Err(rejection) => refusal_answer(&rejection),
        }
    }
}

impl Gate {
    async fn attempt(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Rejection> {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let signed = SignedRequest { receiver: self.node, method: head.method.as_str(), path };
        let context = call_header::open(&self.keys, signed, head.headers.get(CALL)).map_err(|error| {
            self.counters.rejected_call_headers.inc();
            let detail = format!("the call's context is not accepted: {error}");
            Rejection::not_run(StatusCode::UNAUTHORIZED, RefusalReason::NoTarget, detail)
        })?;
        attempt::run(self, context, head, body).await
    }
}

/// A gate's own answer: like the one that a caller gets, with the words that the edge reads.
pub(crate) fn refusal_answer(rejection: &Rejection) -> Answer {
    let mut answer = rejection.answer();
    write_refusal(answer.headers_mut(), &rejection.refusal);
    answer
}
