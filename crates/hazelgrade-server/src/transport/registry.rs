//! Datagrams to the registry. It may be down; that changes nothing here.

use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Its socket is connected to nobody: an address that can't be reached now is no reason not to start, and the error of
/// an earlier datagram stops no later one.
pub struct Registry {
    socket: Async<UdpSocket>,
    address: Cell<SocketAddr>,
}

impl Registry {
    pub fn new(address: SocketAddr) -> io::Result<Registry> {
        let any: SocketAddr = if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
        Ok(Registry { socket: Async::<UdpSocket>::bind(any)?, address: Cell::new(address) })
    }

    /// `false` if the address is of another family than the socket.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let fits = self.address.get().is_ipv4() == address.is_ipv4();
        if fits {
            self.address.set(address);
        }
        fits
    }

    /// Sends at once or not at all.
    pub fn send(&self, text: &str) {
        if let Err(error) = self.socket.get_ref().send_to(text.as_bytes(), self.address.get()) {
            tracing::debug!(%error, "a report was not sent");
        }
    }
}
