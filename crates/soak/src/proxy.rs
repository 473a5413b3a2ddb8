//! A loopback proxy between nodes that injects network faults.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_platform_standins::accept::next_connection;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The interval at which held bytes check whether they may be forwarded.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of a link's buffers, in bytes. What a link holds is lost when either side resets the connection.
const WINDOW_BYTES: usize = 128 * 1024;

/// How a link handles the bytes that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The delay added to each chunk of bytes.
    pub delay: Duration,
    /// Whether bytes sent to the node are held back.
    pub holds_requests: bool,
    /// Whether bytes sent by the node are held back.
    pub holds_responses: bool,
}

/// The link to one machine.
#[derive(Clone, Default)]
pub struct LinkProxy {
    state: Rc<Cell<LinkState>>,
    reset: Rc<Notify>,
}

impl LinkProxy {
    /// Forwards connections from `listen` to `node`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used.
    pub async fn open(listen: SocketAddr, node: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = LinkProxy::default();
        let link = proxy.clone();
        spawn_local(async move {
            loop {
                let stream = next_connection(&listener).await;
                spawn_local(link.clone().forward(stream, node));
            }
        });
        Ok(proxy)
    }

    /// Sets the state of the link.
    pub fn set(&self, state: LinkState) {
        self.state.set(state);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }

    async fn forward(self, near: TcpStream, node: SocketAddr) {
        let mut near = near;
        let Ok(mut far) = TcpStream::connect(node).await else {
            // No process listens there. The reset shows the other side the failure that it would see without the proxy.
            let _ = near.set_zero_linger();
            return;
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            let socket = SockRef::from(stream);
            let _ = socket.set_recv_buffer_size(WINDOW_BYTES);
            let _ = socket.set_send_buffer_size(WINDOW_BYTES);
        }
        let was_reset = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            let requests = self.copy(near_read, far_write, |state| state.holds_requests);
            let responses = self.copy(far_read, near_write, |state| state.holds_responses);
            tokio::select! {
                copied = async { tokio::try_join!(requests, responses) } => copied.is_err(),
                () = self.reset.notified() => true,
            }
        };
        if was_reset {
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }

    /// Copies bytes in one direction until the sender closes its side. Fails if either side was reset.
    async fn copy(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        holds: impl Fn(LinkState) -> bool,
    ) -> io::Result<()> {
        let mut buf = vec![0; 16 * 1024];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                return to.shutdown().await;
            }
            sleep_unless_zero(self.state.get().delay).await;
            while holds(self.state.get()) {
                sleep(HOLD_POLL_INTERVAL).await;
            }
            to.write_all(&buf[..count]).await?;
        }
    }
}

async fn sleep_unless_zero(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
