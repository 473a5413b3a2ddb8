//! UDP datagrams between nodes.

use std::io;
use std::net::SocketAddr;

use quick_protobuf::MessageRead;
use quillhatch_messages::decode;
use tokio::net::UdpSocket;

use crate::logging::JsonText;
use crate::node::Node;

/// The maximum size of a received datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Opens a socket at an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Decodes a message from another node. A malformed one is logged and ignored.
pub fn read<'a, M: MessageRead<'a>>(node: &Node, bytes: &'a [u8], from: SocketAddr) -> Option<M> {
    match decode(bytes) {
        Ok(message) => Some(message),
        Err(error) => {
            let why = JsonText(error);
            node.log_failure(|| format!("\"event\":\"datagram-unusable\",\"peer\":\"{from}\",\"why\":{why}"));
            None
        }
    }
}

/// Sends a message to another node. A failure is logged and otherwise treated like a lost datagram.
pub async fn send(node: &Node, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        let why = JsonText(error);
        node.log_failure(|| format!("\"event\":\"datagram-unsent\",\"peer\":\"{to}\",\"why\":{why}"));
    }
}
