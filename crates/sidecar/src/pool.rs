//! Connection pools for targets, other nodes and the store. Each connection carries one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::body::Body as _;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Request, Response, StatusCode};
use quillhatch_types::Timestamp;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::{read_whole, Body};
use crate::clock::Clock;
use crate::peer_io::{PeerBody, PeerIo, ProgressLimit};

/// The fraction of the timeout in a peer's `Keep-Alive` header after which an idle connection is closed.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// The maximum size of a body that is read only so that its connection can be reused, in bytes.
const MAX_DISCARDED_BYTES: usize = 4 * 1024;
/// How long such a body may take.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(200);

/// The settings of a pool's connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept if its peer sends no `Keep-Alive` timeout.
    pub idle_timeout: Duration,
    /// How long sent bytes may stay unacknowledged before TCP closes the connection (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Duration,
    /// Whether the `Keep-Alive` header of a peer sets the idle timeout of its connection.
    pub honor_keep_alive_header: bool,
    /// The interval of TCP keepalive probes on an idle connection, if they are enabled.
    pub keepalive_interval: Option<Duration>,
    /// The size of a connection's receive buffer in the kernel, in bytes, if it is limited.
    pub receive_buffer: Option<usize>,
}

/// Why an exchange has no response.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// The peer refused the connection; nothing was sent.
    #[display("connection refused")]
    ConnectionRefused,
    /// The connection failed for another reason before the request was sent.
    #[display("no connection: {_0}")]
    NotSent(String),
    /// The connection failed after the request may have arrived.
    #[display("no response: {_0}")]
    NoResponse(String),
}

/// Whether a request was passed to a connection. Until then none of it has left this node.
#[derive(Debug, Default)]
pub struct SentFlag(Cell<bool>);

impl SentFlag {
    /// Whether the request may have arrived at the peer.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Aborts the task that drives a connection, which closes the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A pooled connection in use. [`ConnectionLease::release`] returns it to its pool; dropping it closes it.
pub struct ConnectionLease {
    pool: Rc<Pool>,
    address: SocketAddr,
    sender: SendRequest<Body>,
    task: ConnectionTask,
    limit: ProgressLimit,
    idle_timeout: Duration,
    is_reusable: bool,
    sent_at: Timestamp,
}

impl ConnectionLease {
    /// When the request was sent. The process that has responded was running then.
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// Returns the connection to the pool once the body of its response, which nobody needs, has been read. Does not wait
    /// for that. The connection is closed if the body is long or slow.
    pub fn release_after(self, body: PeerBody) {
        if body.is_end_stream() {
            self.release();
            return;
        }
        tokio::task::spawn_local(async move {
            let reading = timeout(MAX_DISCARD_TIME, read_whole(body, MAX_DISCARDED_BYTES)).await;
            if matches!(reading, Ok(Ok(_))) {
                self.release();
            }
        });
    }

    /// Returns the connection to the pool after a complete response, unless its peer is about to close it.
    pub fn release(self) {
        if !self.is_reusable {
            return;
        }
        let expires = self.pool.clock.now() + self.idle_timeout;
        let idle = IdleConnection { sender: self.sender, task: self.task, limit: self.limit, expires };
        self.pool.idle.borrow_mut().entry(self.address).or_default().push(idle);
    }
}

struct IdleConnection {
    sender: SendRequest<Body>,
    task: ConnectionTask,
    limit: ProgressLimit,
    expires: Timestamp,
}

/// The connections to one kind of peer.
pub struct Pool {
    config: PoolConfig,
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: PoolConfig, clock: Clock) -> Rc<Self> {
        Rc::new(Pool { config, clock, idle: RefCell::default() })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The variant of the error shows whether the request may have arrived.
    pub async fn exchange(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<(Response<PeerBody>, ConnectionLease), ExchangeError> {
        self.exchange_tracking_sent(address, request, &SentFlag::default()).await
    }

    /// As [`Pool::exchange`]. If the future is dropped, `sent` shows whether the request may have arrived.
    ///
    /// # Errors
    ///
    /// The variant of the error shows whether the request may have arrived.
    pub async fn exchange_tracking_sent(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Body>,
        sent: &SentFlag,
    ) -> Result<(Response<PeerBody>, ConnectionLease), ExchangeError> {
        let mut request = request;
        loop {
            sent.0.set(false);
            let (mut sender, task, limit, is_reused) = match self.take_idle(address) {
                Some(idle) => (idle.sender, idle.task, idle.limit, true),
                None => {
                    let (sender, task, limit) = self.connect(address).await?;
                    (sender, task, limit, false)
                }
            };
            if let Err(error) = sender.ready().await {
                if is_reused {
                    continue;
                }
                return Err(ExchangeError::NotSent(error.to_string()));
            }
            sent.0.set(true);
            limit.reset();
            let sent_at = self.clock.now();
            match sender.try_send_request(request).await {
                Ok(response) if !is_final(response.status()) => {
                    return Err(ExchangeError::NoResponse(format!("invalid status {}", response.status().as_u16())));
                }
                Ok(response) => {
                    let idle_timeout = self.idle_timeout_for(response.headers());
                    let is_reusable = !closes_connection(response.headers());
                    limit.reset();
                    let response = response.map(|incoming| PeerBody::new(incoming, limit.clone()));
                    let pool = Rc::clone(self);
                    let lease =
                        ConnectionLease { pool, address, sender, task, limit, idle_timeout, is_reusable, sent_at };
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent(error.error().to_string())),
                    None => return Err(ExchangeError::NoResponse(error.error().to_string())),
                },
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = self.clock.now();
        while let Some(connection) = connections.pop() {
            if connection.expires > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<Body>, ConnectionTask, ProgressLimit), ExchangeError> {
        let limit = ProgressLimit::default();
        let not_sent = |reason: String| ExchangeError::NotSent(reason);
        let connecting = timeout(self.config.connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| not_sent("timed out".to_owned()))?.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => ExchangeError::ConnectionRefused,
            _ => not_sent(error.to_string()),
        })?;
        let _ = stream.set_nodelay(true);
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(self.config.tcp_user_timeout));
        if let Some(size) = self.config.receive_buffer {
            let _ = socket.set_recv_buffer_size(size);
        }
        if let Some(interval) = self.config.keepalive_interval {
            let _ = socket
                .set_tcp_keepalive(&TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(2));
        }
        let (sender, connection) =
            handshake(PeerIo::new(stream, limit.clone())).await.map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // An error of the connection is returned to the exchange that waits for a response on it.
            let _ = connection.await;
        });
        Ok((sender, ConnectionTask(driver.abort_handle()), limit))
    }

    fn idle_timeout_for(&self, headers: &HeaderMap) -> Duration {
        if !self.config.honor_keep_alive_header {
            return self.config.idle_timeout;
        }
        let timeout_s = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(keep_alive_timeout);
        timeout_s.map_or(self.config.idle_timeout, |timeout_s| Duration::from_secs_f64(timeout_s * KEEP_ALIVE_FRACTION))
    }

    /// Closes the connections that have exceeded their idle timeout.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Whether a status ends an exchange. 101 hands the connection over to a protocol that was not asked for, other interim
/// responses are not returned, and a status above 599 is invalid (RFC 9110, section 15).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The timeout in seconds in the value of a `Keep-Alive` header.
fn keep_alive_timeout(text: &str) -> Option<f64> {
    let timeout_s = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    timeout_s?.trim().parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0)
}

/// Whether the peer closes the connection after the response with these headers.
fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
