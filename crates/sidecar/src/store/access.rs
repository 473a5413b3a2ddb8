//! Whether this machine can get at the platform's store, found out without a call.
//!
//! A target on a machine that is cut off from the store can't renew its registration. The other nodes keep it for as long as its own node tells
//! that it is cut off, so that node must know before the registration runs out. A node that follows others makes no calls that would show it;
//! it holds a connection open instead, and probes it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::node::Node;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often an open connection is probed; it is given up after [`PROBES`] without an answer, before three heartbeats are over.
const PROBED_EACH: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// The pause before a connection that has ended is made again.
const PAUSE: Duration = Duration::from_secs(1);

/// Watches over the way to the store until the process ends. The store is asked once whenever the way is lost or found again.
pub async fn watch_access(node: Rc<Node>) {
    let mut is_open = true;
    loop {
        match timeout(CONNECT_TIMEOUT, open(node.settings.store)).await {
            Ok(Ok(stream)) => {
                if !is_open {
                    is_open = true;
                    must_probe(&node, "a connection is open again");
                }
                if let Err(error) = ended(&stream).await {
                    must_probe(&node, &error.to_string());
                }
            }
            Ok(Err(error)) if is_open => {
                is_open = false;
                must_probe(&node, &error.to_string());
            }
            Err(_) if is_open => {
                is_open = false;
                must_probe(&node, "no connection in time");
            }
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(PAUSE).await;
    }
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let probe = TcpKeepalive::new().with_time(PROBED_EACH).with_interval(PROBED_EACH).with_retries(PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&probe)?;
    Ok(stream)
}

/// Waits for the end of a connection on which nothing is said. That the store closes it shows nothing.
async fn ended(stream: &TcpStream) -> io::Result<()> {
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

fn must_probe(node: &Node, why: &str) {
    node.log(&format!("\"event\":\"store-probed\",\"why\":{why:?}"));
    node.must_probe_store.set(true);
    node.feed.place_changed.notify_waiters();
}
