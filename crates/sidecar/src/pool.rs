//! Kept connections to targets, other nodes and the store; each carries one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Request, Response};
use quillhatch_types::Timestamp;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::Body;
use crate::clock::Clock;
use crate::listener::TokioIo;

/// The part of the time told in `Keep-Alive` for which a connection is kept.
const KEEP_ALIVE_PART: f64 = 0.7;

/// How the connections of a pool are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// The longest time for a new connection.
    pub connect_timeout: Duration,
    /// For how long an unused connection is kept if its peer tells no time.
    pub idle_timeout: Duration,
    /// For how long bytes may stay unacknowledged before the connection is given up.
    pub tcp_user_timeout: Duration,
    /// Whether a connection's peer may tell how long to keep it.
    pub honor_keep_alive_header: bool,
    /// How often a connection on which nothing is said is probed, if at all.
    pub keepalive_interval: Option<Duration>,
}

/// Why there is no answer.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// Nobody listens; nothing was sent.
    #[display("connection refused")]
    ConnectionRefused,
    /// No connection; nothing was sent.
    #[display("no connection: {_0}")]
    NotSent(String),
    /// The request may have arrived.
    #[display("no answer: {_0}")]
    NoResponse(String),
}

/// Whether a request was handed to a connection; until then nothing of it has left this node.
#[derive(Debug, Default)]
pub struct SentFlag(Cell<bool>);

impl SentFlag {
    /// Whether the request may have arrived at its peer.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

struct Guard(AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use. Dropping it closes the connection; [`ConnectionLease::release`] gives it back.
pub struct ConnectionLease {
    pool: Rc<Pool>,
    address: SocketAddr,
    sender: SendRequest<Body>,
    guard: Guard,
    keep: Duration,
    is_reusable: bool,
}

impl ConnectionLease {
    /// Gives the connection back after a whole answer, unless its peer is about to close it.
    pub fn release(self) {
        if !self.is_reusable {
            return;
        }
        let expires = self.pool.clock.now() + self.keep;
        let idle = Idle { sender: self.sender, guard: self.guard, expires };
        self.pool.idle.borrow_mut().entry(self.address).or_default().push(idle);
    }
}

struct Idle {
    sender: SendRequest<Body>,
    guard: Guard,
    expires: Timestamp,
}

/// The connections to one kind of peers.
pub struct Pool {
    rules: PoolConfig,
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(rules: PoolConfig, clock: Clock) -> Rc<Self> {
        Rc::new(Pool { rules, clock, idle: RefCell::default() })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have arrived.
    pub async fn exchange(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<(Response<Incoming>, ConnectionLease), ExchangeError> {
        self.exchange_tracking_sent(address, request, &SentFlag::default()).await
    }

    /// As [`Pool::exchange`]; `sent` tells whoever gives up waiting whether the request may have arrived.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have arrived.
    pub async fn exchange_tracking_sent(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Body>,
        sent: &SentFlag,
    ) -> Result<(Response<Incoming>, ConnectionLease), ExchangeError> {
        let mut request = request;
        loop {
            sent.0.set(false);
            let (mut sender, guard, is_kept) = match self.take(address) {
                Some(idle) => (idle.sender, idle.guard, true),
                None => {
                    let (sender, guard) = self.connect(address).await?;
                    (sender, guard, false)
                }
            };
            if let Err(error) = sender.ready().await {
                if is_kept {
                    continue;
                }
                return Err(ExchangeError::NotSent(error.to_string()));
            }
            sent.0.set(true);
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let keep = self.keep_for(response.headers());
                    let is_reusable = !closes(response.headers());
                    let lease = ConnectionLease { pool: Rc::clone(self), address, sender, guard, keep, is_reusable };
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_kept => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent(error.error().to_string())),
                    None => return Err(ExchangeError::NoResponse(error.error().to_string())),
                },
            }
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Idle> {
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

    async fn connect(&self, address: SocketAddr) -> Result<(SendRequest<Body>, Guard), ExchangeError> {
        let failed = |problem: String| ExchangeError::NotSent(problem);
        let connecting = timeout(self.rules.connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| failed("timed out".to_owned()))?.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => ExchangeError::ConnectionRefused,
            _ => failed(error.to_string()),
        })?;
        let _ = stream.set_nodelay(true);
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(self.rules.tcp_user_timeout));
        if let Some(probe) = self.rules.keepalive_interval {
            let _ =
                socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe).with_retries(2));
        }
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // An error of the connection reaches whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok((sender, Guard(task.abort_handle())))
    }

    fn keep_for(&self, headers: &HeaderMap) -> Duration {
        if !self.rules.honor_keep_alive_header {
            return self.rules.idle_timeout;
        }
        let told = headers.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(told_timeout);
        told.map_or(self.rules.idle_timeout, |told| Duration::from_secs_f64(told * KEEP_ALIVE_PART))
    }

    /// Closes the connections that were not used for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

fn told_timeout(text: &str) -> Option<f64> {
    let told = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    told?.trim().parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0)
}

/// Whether the peer closes the connection after this answer.
fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
