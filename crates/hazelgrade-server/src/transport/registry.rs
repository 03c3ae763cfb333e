//! Datagrams to the registry. Sending succeeds from the instance's point of view whether or not the registry is
//! reachable.

use async_io::Async;
use hazelgrade_net::transient;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// How long to retry to open the socket.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to open the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Sends datagrams to the registry. The socket is not connected: an unreachable registry then neither prevents the
/// start of the instance nor makes the datagram after a failed one fail.
pub struct Registry {
    socket: Async<UdpSocket>,
    address: Cell<SocketAddr>,
}

impl Registry {
    /// Opens a socket of the same address family as `address`. Fails with the error of the operating system, after
    /// [`OPEN_TIMEOUT`] if a later attempt might have succeeded.
    pub fn new(address: SocketAddr) -> io::Result<Registry> {
        let unspecified: SocketAddr =
            if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
        let open = || Async::<UdpSocket>::bind(unspecified);
        let socket = transient::retry(OPEN_TIMEOUT, RETRY_PAUSE, open)?;
        Ok(Registry { socket, address: Cell::new(address) })
    }

    /// Sends later datagrams to this address. Returns `false` and changes nothing if the family of the address differs
    /// from the family of the socket.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let same_family = self.address.get().is_ipv4() == address.is_ipv4();
        if same_family {
            self.address.set(address);
        }
        same_family
    }

    /// Sends a datagram without waiting. The datagram is dropped on any error.
    pub fn send(&self, text: &str) {
        if let Err(error) = self.socket.get_ref().send_to(text.as_bytes(), self.address.get()) {
            tracing::debug!(%error, "heartbeat to the registry dropped: sending the datagram failed");
        }
    }
}
