//! Datagrams to the registry. It may be down; that changes nothing here.

use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Sends to the registry. The socket is not connected: an address that can't be reached now does not stop the start,
/// and the error of an earlier datagram does not stop a later one.
pub struct Registry {
    socket: Async<UdpSocket>,
    address: Cell<SocketAddr>,
}

impl Registry {
    /// Opens a socket of the family of `address`; fails with the system's error.
    pub fn new(address: SocketAddr) -> io::Result<Registry> {
        let any: SocketAddr = if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
        Ok(Registry { socket: Async::<UdpSocket>::bind(any)?, address: Cell::new(address) })
    }

    /// Sends to another address from now on; `false` if it is of another family than the socket, and nothing changes.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let same_family = self.address.get().is_ipv4() == address.is_ipv4();
        if same_family {
            self.address.set(address);
        }
        same_family
    }

    /// Sends at once or not at all.
    pub fn send(&self, text: &str) {
        if let Err(error) = self.socket.get_ref().send_to(text.as_bytes(), self.address.get()) {
            tracing::debug!(%error, "heartbeat not sent");
        }
    }
}
