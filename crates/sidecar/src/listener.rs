//! Listening sockets, and one task for each connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::configuration::CallerLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::Body;
use crate::caller_io::CallerIo;
use crate::pipeline::{PipelinedCalls, MAX_PIPELINED_CALLS};

/// The longest queue of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a connection looks whether it has rested too long.
const REST_CHECK: Duration = Duration::from_secs(2);
/// Room for a head beyond its bound, so that the answer to it is this node's own.
const HEAD_ROOM: usize = 4;
/// The answer to a request whose head does not come.
const REQUEST_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How long a closed connection waits for its peer to close too.
const LINGER: Duration = Duration::from_millis(500);

/// A TCP stream as hyper reads and writes it.
pub struct TokioIo(TcpStream);

impl TokioIo {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        TokioIo(stream)
    }
}

impl hyper::rt::Read for TokioIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut space = [0_u8; 8192];
        let wanted = cursor.remaining().min(space.len());
        let mut buffer = ReadBuf::new(&mut space[..wanted]);
        match Pin::new(&mut self.0).poll_read(context, &mut buffer) {
            Poll::Ready(Ok(())) => {
                cursor.put_slice(buffer.filled());
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

impl hyper::rt::Write for TokioIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// What a listener needs to know of its connections.
#[derive(Clone)]
pub struct ConnectionConfig {
    /// The bounds in force on what a caller sends and how long it takes.
    pub limits: Rc<dyn Fn() -> CallerLimits>,
    /// Turns true when connections are to end after their current request.
    pub shutdown: watch::Receiver<bool>,
    /// The number of open connections.
    pub open_connections: Rc<Cell<usize>>,
    /// The number of open connections from which they end after their current answer.
    pub keep_alive_limit: usize,
    /// Whether callers are led away: their connections end once nothing waits on them.
    pub draining: Rc<Cell<bool>>,
    /// Whether requests that wait behind another on their connection are begun early.
    pub concurrent_pipelining: bool,
}

/// Listens at an address.
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

/// Serves every connection with `handler` until the process ends.
pub async fn serve<Handler, Answer>(listener: TcpListener, connections: ConnectionConfig, handler: Handler)
where
    Handler: Fn(Parts, Option<Incoming>, SocketAddr) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connections = connections.clone();
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let open = Rc::clone(&connections.open_connections);
            open.set(open.get() + 1);
            serve_connection(stream, peer, connections, handler).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection<Handler, Answer>(
    stream: TcpStream,
    peer: SocketAddr,
    connections: ConnectionConfig,
    handler: Handler,
) where
    Handler: Fn(Parts, Option<Incoming>, SocketAddr) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    let io = CallerIo::new(stream, connections.concurrent_pipelining);
    let watched = io.clone();
    let active = Rc::new(Cell::new(0_usize));
    let early = Rc::new(PipelinedCalls::default());
    let is_closing = Rc::new(Cell::new(false));
    let leading_away = Rc::clone(&connections.draining);
    let (open, keep_alive_limit) = (Rc::clone(&connections.open_connections), connections.keep_alive_limit);
    let service = {
        let (handler, active, early) = (handler.clone(), Rc::clone(&active), Rc::clone(&early));
        let is_closing = Rc::clone(&is_closing);
        let io = io.clone();
        service_fn(move |request: Request<Incoming>| {
            active.set(active.get() + 1);
            let is_ambiguous = io.is_ambiguous();
            let done = Countdown(Rc::clone(&active));
            let (handler, early, leading_away) = (handler.clone(), Rc::clone(&early), Rc::clone(&leading_away));
            let (open, is_closing) = (Rc::clone(&open), Rc::clone(&is_closing));
            async move {
                let (parts, body) = request.into_parts();
                let mut response = match early.take(&parts).await {
                    Some(response) => response,
                    None if is_ambiguous => refuse_ambiguous(),
                    None => handler(parts, Some(body), peer).await,
                };
                // Requests that were begun early are answered before the connection ends.
                let ends = leading_away.get() || open.get() > keep_alive_limit;
                if ends && early.is_empty() {
                    is_closing.set(true);
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                drop(done);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let mut builder = http1::Builder::new();
    // Without flushes put off for requests that wait behind: with them hyper closes after `Connection: close` without
    // having written that answer.
    builder
        .auto_date_header(false)
        .pipeline_flush(false)
        .max_buf_size((connections.limits)().header_bytes.max(8192) * HEAD_ROOM);
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut ending = connections.shutdown.clone();
    let mut is_ending = false;
    let mut rest_check = pin!(tokio::time::sleep(REST_CHECK));
    loop {
        let connection_or_end = std::future::poll_fn(|context| {
            // Before and after hyper, which takes the requests that were found.
            if watched.poll_ended(context).is_ready() {
                return Poll::Ready(());
            }
            if !is_closing.get() {
                begin_early(&watched, &early, active.get(), &connections, &handler, peer);
            }
            connection.as_mut().poll(context).map(|_| ())
        });
        tokio::select! {
            biased;
            () = connection_or_end => break,
            _ = ending.changed(), if !is_ending => {
                is_ending = true;
                // Calls that were begun early have been passed on and are owed an answer; the last of these answers ends
                // the connection.
                if early.is_empty() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = &mut rest_check => {
                let limits = (connections.limits)();
                // On the steady clock: while the machine is suspended nobody reads, and what came meanwhile must be read first.
                let rested = Instant::now().duration_since(watched.last_read());
                if active.get() == 0 && watched.has_begun_request() && rested > limits.header_timeout {
                    watched.write_late(REQUEST_TIMEOUT);
                    break;
                }
                if active.get() == 0 && rested > limits.idle_timeout {
                    connection.as_mut().graceful_shutdown();
                }
                rest_check.as_mut().reset(tokio::time::Instant::now() + REST_CHECK);
            }
        }
    }
    // Closing with unread bytes would reset the connection, and the last answer could be lost on its way.
    let _ = tokio::time::timeout(LINGER, std::future::poll_fn(|context| watched.poll_discard(context))).await;
}

/// The answer to a request that tells its length in two ways.
fn refuse_ambiguous() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Begins the calls of requests that were read ahead. The first request of an idle connection is left to hyper.
fn begin_early<Handler, Answer>(
    io: &CallerIo,
    early: &PipelinedCalls,
    active: usize,
    connections: &ConnectionConfig,
    handler: &Handler,
    peer: SocketAddr,
) where
    Handler: Fn(Parts, Option<Incoming>, SocketAddr) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    let mut waits_for_hyper = active == 0 && early.is_empty();
    while !connections.draining.get() || waits_for_hyper {
        if early.len() >= MAX_PIPELINED_CALLS {
            return;
        }
        let Some(parts) = io.next_request() else { return };
        if waits_for_hyper {
            waits_for_hyper = false;
            continue;
        }
        let task = tokio::task::spawn_local(handler((*parts).clone(), None, peer));
        early.push(&parts, task);
    }
}

struct Countdown(Rc<Cell<usize>>);

impl Drop for Countdown {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
