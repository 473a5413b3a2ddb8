//! Serves HTTP/1.1 on a listener for callers or peers: one service future per request, dropped when the client
//! disconnects.
//!
//! These listeners use hyper directly, the library on which rocket is built, because rocket 0.5 cannot meet two
//! guarantees of this program; see the design note on streaming. The operators' listener uses rocket.

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

/// The timeout for receiving the head of the next request on a connection, including the time that the connection is
/// idle.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause after a failed `accept`, for example if no file descriptors are available.
const PAUSE_AFTER_FAILED_ACCEPT: Duration = Duration::from_millis(20);

/// The minimum size of the read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum size in bytes of the head of a request; the server answers a larger head with 431 without calling
    /// the handler.
    pub head_bytes: usize,
    /// The maximum number of concurrent connections; further ones wait to be accepted.
    pub connections: usize,
}

/// Handles the requests to one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request from the client at `remote`.
    ///
    /// The future, and then the body of the answer, is dropped when the client closes its connection.
    fn handle(self: Arc<Self>, remote: SocketAddr, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// Serves `listener` until `stop` becomes true, then waits for the requests in progress. Dropping the future aborts
/// them.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        match accepted {
            Ok((stream, remote, permit)) => {
                let connection = serve_connection(stream, remote, Arc::clone(&handler), limits, stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
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
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, remote) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, remote, permit))
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
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A connection ends with an error if either end aborted it. The side that aborts an answer counts it, so the error
    // is ignored here.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
