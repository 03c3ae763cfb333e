//! Datagrams to the registry. Nothing here depends on whether it is up.

use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Sends datagrams to the registry. The socket is not connected, so that an unreachable registry neither prevents the
/// start nor, after an error for one datagram, the next one.
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

    /// Sends to another address from now on. Returns `false` and changes nothing if its family is not the socket's.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let same_family = self.address.get().is_ipv4() == address.is_ipv4();
        if same_family {
            self.address.set(address);
        }
        same_family
    }

    /// Sends a datagram without waiting; it is dropped on any error.
    pub fn send(&self, text: &str) {
        if let Err(error) = self.socket.get_ref().send_to(text.as_bytes(), self.address.get()) {
            tracing::debug!(%error, "heartbeat not sent");
        }
    }
}
