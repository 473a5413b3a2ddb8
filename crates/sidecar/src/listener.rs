//! Listening sockets and HTTP/1.1 server connections, each served by a task of its own.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::configuration::CallerLimits;
use quillhatch_platform::headers::REQUEST_ID;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::Body;
use crate::caller_io::CallerIo;
use crate::calls_in_progress::CallTicket;
use crate::headers::header_text;
use crate::pipeline::{PipelinedCalls, WaitingResponse, MAX_PIPELINED_CALLS};

/// The backlog of a listening socket: the maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a connection checks its header and idle timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The read buffer is this many times the limit on a request's head, so that the node itself refuses a head over the
/// limit, not hyper.
const HEAD_BUFFER_FACTOR: usize = 4;
/// The response to a request whose head does not arrive within the header timeout.
const REQUEST_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The minimum time for which a connection that this node closes stays open for its peer to close it too.
const MIN_LINGER: Duration = Duration::from_millis(500);

/// How often a connection checks whether ready responses wait behind one that it must give up for them.
const UNBLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What the connections of a process do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// They serve requests.
    #[default]
    Serving,
    /// They also give up a response that ready ones wait behind: the process ends soon.
    Unblocking,
    /// They close after their current response.
    Closing,
}

/// How a listener serves its connections.
#[derive(Clone)]
pub struct ConnectionConfig {
    /// Returns the size limits and timeouts in force.
    pub limits: Rc<dyn Fn() -> CallerLimits>,
    /// What the connections do.
    pub phase: watch::Receiver<ConnectionPhase>,
    /// The number of open connections of all listeners that share this counter.
    pub open_connections: Rc<Cell<usize>>,
    /// The number of connections that this node closed for good before their peers did. What a peer had not received
    /// by then may be lost.
    pub dropped_connections: Rc<Cell<u64>>,
    /// Above this number of open connections, connections close after their current response.
    pub keep_alive_limit: usize,
    /// Whether the node is draining its callers: their connections close after a response once no pipelined call is
    /// pending on them.
    pub draining: Rc<Cell<bool>>,
    /// Whether pipelined requests are processed concurrently.
    pub concurrent_pipelining: bool,
}

/// Serves the requests that arrive at a listener.
pub trait RequestHandler: Clone + 'static {
    /// Responds to a request.
    fn respond(
        &self,
        parts: Parts,
        body: Option<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + 'static;

    /// Records that the response to the request with this id is ready and waits behind another one on its connection,
    /// until the returned ticket is dropped.
    fn begin_waiting(&self, _id: &str) -> Option<CallTicket> {
        None
    }

    /// The response in place of the one to the request with this id, which is given up because ready ones wait behind
    /// it and the process ends soon.
    fn give_up(&self, _id: &str) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
        response
    }
}

impl<Handler, ResponseFuture> RequestHandler for Handler
where
    Handler: Fn(Parts, Option<Incoming>, SocketAddr) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
{
    fn respond(
        &self,
        parts: Parts,
        body: Option<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + 'static {
        self(parts, body, peer)
    }
}

/// Opens a listening socket.
///
/// # Errors
///
/// Returns an error if the address can't be used.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves their requests with `handler`. Does not return.
pub async fn serve(listener: Rc<TcpListener>, config: ConnectionConfig, handler: impl RequestHandler) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let config = config.clone();
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let _open = CountGuard::new(&config.open_connections);
            serve_connection(stream, peer, config, handler).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, config: ConnectionConfig, handler: impl RequestHandler) {
    let io = CallerIo::new(stream, config.concurrent_pipelining);
    let watched = io.clone();
    let active = Rc::new(Cell::new(0_usize));
    let pipelined = Rc::new(PipelinedCalls::default());
    let is_closing = Rc::new(Cell::new(false));
    let is_unblocking = Rc::new(Cell::new(false));
    let draining = Rc::clone(&config.draining);
    let (open, keep_alive_limit) = (Rc::clone(&config.open_connections), config.keep_alive_limit);
    let service = {
        let (handler, active, pipelined) = (handler.clone(), Rc::clone(&active), Rc::clone(&pipelined));
        let (is_closing, is_unblocking) = (Rc::clone(&is_closing), Rc::clone(&is_unblocking));
        let io = io.clone();
        service_fn(move |request: Request<Incoming>| {
            let is_ambiguous = io.is_ambiguous();
            // Dropped after the last byte of the response was passed to hyper.
            let active_request = CountGuard::new(&active);
            let (handler, pipelined, draining) = (handler.clone(), Rc::clone(&pipelined), Rc::clone(&draining));
            let (open, is_closing, io) = (Rc::clone(&open), Rc::clone(&is_closing), io.clone());
            let is_unblocking = Rc::clone(&is_unblocking);
            async move {
                let (parts, body) = request.into_parts();
                let id = parts.headers.get(REQUEST_ID).cloned();
                let responding = async {
                    match pipelined.take(&parts).await {
                        Some(response) => response,
                        None if is_ambiguous => refuse_ambiguous(),
                        None => handler.respond(parts, Some(body), peer).await,
                    }
                };
                let mut responding = pin!(responding);
                let mut response = std::future::poll_fn(|context| match responding.as_mut().poll(context) {
                    Poll::Pending if is_unblocking.get() && pipelined.has_ready() => {
                        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
                        Poll::Ready(handler.give_up(id))
                    }
                    polled => polled,
                })
                .await;
                // The responses to pipelined calls that were started are written before the connection closes.
                let closes = draining.get() || open.get() > keep_alive_limit;
                if closes && pipelined.is_empty() {
                    is_closing.set(true);
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response.map(|body| body.sent_on(&io, active_request)))
            }
        })
    };
    let mut builder = http1::Builder::new();
    // Without `pipeline_flush`, which delays flushes while pipelined requests are pending: with it, hyper closes the
    // connection after a response with `Connection: close` without having written that response.
    builder
        .auto_date_header(false)
        .pipeline_flush(false)
        .max_buf_size((config.limits)().header_bytes.max(8192) * HEAD_BUFFER_FACTOR);
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut phases = config.phase.clone();
    let mut has_process_ended = false;
    let mut timeout_check = pin!(tokio::time::sleep(TIMEOUT_CHECK_INTERVAL));
    loop {
        let connection_ended = std::future::poll_fn(|context| {
            // Pipelined requests are searched for before each poll of hyper, which consumes the bytes of those found.
            if watched.poll_closed(context).is_ready() {
                return Poll::Ready(());
            }
            if !is_closing.get() {
                start_pipelined_calls(&watched, &pipelined, active.get(), &config, &handler, peer);
            }
            connection.as_mut().poll(context).map(|_| ())
        });
        tokio::select! {
            biased;
            () = connection_ended => break,
            changed = phases.changed(), if !has_process_ended => {
                has_process_ended = changed.is_err();
                let phase = if has_process_ended { ConnectionPhase::Closing } else { *phases.borrow_and_update() };
                is_unblocking.set(phase >= ConnectionPhase::Unblocking);
                // Pipelined calls have already been forwarded, so their responses must be written; the last one closes
                // the connection.
                if phase == ConnectionPhase::Closing && pipelined.is_empty() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            // Polls the connection again.
            () = tokio::time::sleep(UNBLOCK_CHECK_INTERVAL), if is_unblocking.get() => {}
            () = &mut timeout_check => {
                let limits = (config.limits)();
                // By the monotonic clock, which stops while the machine is suspended: what arrived meanwhile must be
                // read before a timeout applies.
                let idle_for = Instant::now().duration_since(watched.last_activity());
                if watched.has_stalled_write(limits.idle_timeout) {
                    break;
                }
                let is_idle = active.get() == 0 && watched.has_written_all();
                if is_idle && watched.has_partial_request() && watched.partial_for() > limits.header_timeout {
                    watched.try_write_response(REQUEST_TIMEOUT);
                    break;
                }
                if is_idle && idle_for > limits.idle_timeout {
                    connection.as_mut().graceful_shutdown();
                }
                timeout_check.as_mut().reset(tokio::time::Instant::now() + TIMEOUT_CHECK_INTERVAL);
            }
        }
    }
    if !watched.is_reset() {
        linger(&watched, &config).await;
    }
}

/// Ends the sending side of a connection whose last response was written, keeps the connection until its peer has closed
/// it too, and discards what arrives.
///
/// A socket that is closed while bytes arrive is reset, and the kernel discards what it has not delivered yet. How much
/// that is isn't known, so a connection on which something was written recently is kept as long as an idle one.
async fn linger(io: &CallerIo, config: &ConnectionConfig) {
    let unread_for = Instant::now().duration_since(io.last_write());
    // A peer that sends nothing behind a response that it still reads resets nothing.
    let max_linger = if config.concurrent_pipelining { (config.limits)().idle_timeout } else { MIN_LINGER };
    let timeout = max_linger.saturating_sub(unread_for).max(MIN_LINGER);
    let peer_has_closed = async {
        io.shut_down().await;
        std::future::poll_fn(|context| io.poll_discard(context)).await;
    };
    if tokio::time::timeout(timeout, peer_has_closed).await.is_err() {
        config.dropped_connections.set(config.dropped_connections.get() + 1);
    }
}

/// The response to a request with both `Content-Length` and `Transfer-Encoding`.
fn refuse_ambiguous() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Starts the calls of pipelined requests that were read ahead. The first request of an idle connection is left to
/// hyper.
fn start_pipelined_calls(
    io: &CallerIo,
    pipelined: &PipelinedCalls,
    active: usize,
    config: &ConnectionConfig,
    handler: &impl RequestHandler,
    peer: SocketAddr,
) {
    let mut first_is_for_hyper = active == 0 && pipelined.is_empty();
    while !config.draining.get() || first_is_for_hyper {
        if pipelined.len() >= MAX_PIPELINED_CALLS {
            return;
        }
        let Some(parts) = io.next_pipelined_request() else { return };
        if first_is_for_hyper {
            first_is_for_hyper = false;
            continue;
        }
        let responding = handler.respond((*parts).clone(), None, peer);
        let id = header_text(&parts.headers, REQUEST_ID).unwrap_or_default().to_owned();
        let handler = handler.clone();
        let task = tokio::task::spawn_local(async move {
            let response = responding.await;
            WaitingResponse { response, _ticket: handler.begin_waiting(&id) }
        });
        pipelined.push(&parts, task);
    }
}

/// Counts one more until it is dropped, also by a panic.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        CountGuard(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
