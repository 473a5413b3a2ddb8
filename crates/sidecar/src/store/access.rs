//! Detects without a call whether this machine can reach the platform's store.
//!
//! A target on a machine that is partitioned from the store can't renew its registration. Other nodes retain the target
//! as long as its node reports the partition, so the node must detect it before the registration expires. A node that
//! receives changes from other nodes makes no calls to the store that would fail. Instead it holds a connection to the
//! store open, with TCP keepalive probes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::logging::JsonText;
use crate::node::Node;

/// The timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval of keepalive probes on the open connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of keepalive probes without a response after which the connection is closed, which is before three
/// heartbeats have passed.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// The pause before a reconnect.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Monitors the connection to the store until the process ends. Requests one read of the store whenever the connection
/// is lost or opened again.
pub async fn watch_access(node: Rc<Node>) {
    let mut is_open = true;
    loop {
        match timeout(CONNECT_TIMEOUT, open(node.settings.store)).await {
            Ok(Ok(stream)) => {
                if !is_open {
                    is_open = true;
                    request_probe(&node, "the connection is open again");
                }
                if let Err(error) = wait_for_close(&stream).await {
                    request_probe(&node, &error.to_string());
                }
            }
            Ok(Err(error)) if is_open => {
                is_open = false;
                request_probe(&node, &error.to_string());
            }
            Err(_) if is_open => {
                is_open = false;
                request_probe(&node, "connecting timed out");
            }
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let probe =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&probe)?;
    Ok(stream)
}

/// Waits until the idle connection is closed. A regular close by the store does not mean that the store is unreachable.
async fn wait_for_close(stream: &TcpStream) -> io::Result<()> {
    loop {
        stream.readable().await?;
        match stream.try_read(&mut [0; 64]) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Makes this node read the store once, immediately.
fn request_probe(node: &Node, why: &str) {
    node.log(&format!("\"event\":\"store-probed\",\"why\":{}", JsonText(why)));
    node.must_probe_store.set(true);
    node.feed.role_changed.notify_waiters();
}
