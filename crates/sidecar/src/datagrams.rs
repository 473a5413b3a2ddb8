//! Sockets for datagrams between nodes.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// The largest datagram that is taken, in bytes.
pub const LARGEST_DATAGRAM: usize = 60 * 1024;

/// Opens a socket at an address.
///
/// # Errors
///
/// Returns why the address can't be used.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
