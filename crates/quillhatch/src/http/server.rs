//! Serves HTTP/1.1 on a listener for callers or peers: one service future per request, dropped when the client leaves.
//!
//! These listeners stand on hyper, the engine below rocket, because rocket 0.5 cannot keep two promises of this program;
//! see the design note on streaming. The operators' listener is rocket's.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use super::Answer;

/// The longest time that a connection may take for the head of its next request, also while it is idle.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause after a failed accept, such as one for want of file descriptors.
const PAUSE_AFTER_FAILED_ACCEPT: Duration = Duration::from_millis(20);

/// The smallest read buffer that hyper accepts, in bytes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// What a listener allows.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The largest head of a request that is read, in bytes; the server answers a larger one with 431 by itself.
    pub head_bytes: usize,
    /// The largest number of connections at a time; further ones wait to be accepted.
    pub connections: usize,
}

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request of the client at `remote`.
    ///
    /// The future is dropped when the client closes its connection, and so is the body of the answer.
    fn handle(self: Arc<Self>, remote: SocketAddr, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// Serves `listener` until `stop` turns true, then lets running requests finish; drop the future to cut them off.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        match accepted {
            Ok((stream, remote, slot)) => {
                let connection = serve_connection(stream, remote, Arc::clone(&handler), limits, stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(slot);
                });
            }
            Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILED_ACCEPT).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> io::Result<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, remote) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, remote, slot))
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    remote: SocketAddr,
    handler: Arc<H>,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<Answer, Infallible>(handler.handle(remote, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(limits.head_bytes.max(SMALLEST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A connection that ends with an error is one that was broken off, here or there; whoever broke it has counted it.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
