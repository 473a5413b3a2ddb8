//! Handles the listener for peers: authenticates and runs attempts of calls, and receives control frames.
//!
//! An attempt's header is verified, the decision code decides when to dispatch it ([`attempt`]), the request is sent to
//! the back end ([`backend`]), the head of the answer is awaited ([`head_wait`]), and the answer streams back with the
//! gate's feedback ([`relay`]). A request that must be completed after its edge has disconnected continues in the
//! [`background`].

pub mod attempt;
pub mod backend;
pub mod background;
pub mod head_wait;
pub mod relay;

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use quillhatch_messages::FleetKeys;
use quillhatch_types::{CallContext, NodeId, RefusalReason};

use crate::call_header::{self, CallHeaderError, SignedRequest};
use crate::driver::Driver;
use crate::http::headers::{CALL, UNACCEPTED};
use crate::http::problem::{write_refusal, Rejection};
use crate::http::server::Handler;
use crate::http::Answer;
use crate::metrics::Counters;
use crate::peers::{FrameReceiver, FRAMES_PATH};

/// The request handler of a node's listener for peers.
#[derive(Debug)]
pub struct Gate {
    /// This node's address and incarnation.
    pub node: NodeId,
    /// The driver of the decision code.
    pub driver: Arc<Driver>,
    /// The node's back end, if it has one.
    pub backend: Option<backend::Backend>,
    /// The keys that authenticate attempts.
    pub keys: Arc<FleetKeys>,
    /// Requests that continue after their edge has disconnected.
    pub background: Arc<background::BackgroundRuns>,
    /// The receiver of control frames.
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
        match self.verify_header(&request) {
            Ok(context) => match self.run_attempt(context, request).await {
                Ok(answer) => answer,
                Err(rejection) => refusal_answer(&rejection),
            },
            Err(error) => self.reject_header(error),
        }
    }
}

impl Gate {
    fn verify_header(&self, request: &Request<Incoming>) -> Result<CallContext, CallHeaderError> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let signed = SignedRequest { receiver: self.node, method: request.method().as_str(), path };
        call_header::verify_context(&self.keys, signed, request.headers().get(CALL))
    }

    async fn run_attempt(
        self: Arc<Self>,
        context: CallContext,
        request: Request<Incoming>,
    ) -> Result<Answer, Rejection> {
        let (head, body) = request.into_parts();
        attempt::run(self, context, head, body).await
    }

    /// The answer to an attempt whose header is not accepted. Its outcome is an unusable target, which is all that the
    /// caller needs; a separate header field tells the edge why.
    fn reject_header(&self, error: CallHeaderError) -> Answer {
        self.counters.rejected_call_headers.inc();
        let detail = format!("the call's context is not accepted: {error}");
        let rejection = Rejection::not_run(StatusCode::UNAUTHORIZED, RefusalReason::NoTarget, detail);
        let mut answer = refusal_answer(&rejection);
        answer.headers_mut().insert(UNACCEPTED, HeaderValue::from_static(error.code()));
        answer
    }
}

/// The gate's own answer for a rejection: the answer that a caller gets, with the refusal header that the edge reads.
pub(crate) fn refusal_answer(rejection: &Rejection) -> Answer {
    let mut answer = rejection.answer();
    write_refusal(answer.headers_mut(), &rejection.refusal);
    answer
}
