//! Opens the listening socket. Signals are handled while another process still holds the address.

use crate::transport::listener;
use async_io::{Async, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::poll_once;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long to wait for the address: an earlier process that is about to exit may still hold it.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// How listening ended.
pub enum Bound {
    /// The socket listens.
    Listening {
        /// The socket.
        listener: Async<TcpListener>,
        /// Whether SIGHUP came meanwhile.
        reload_requested: bool,
    },
    /// SIGTERM or SIGINT came before the socket listened.
    ShutdownRequested,
}

/// Listens on an address, with retries while another process holds it.
///
/// # Errors
/// The address and the reason: after [`ADDRESS_IN_USE_TIMEOUT`] if the address is in use, otherwise at once.
pub fn bind(address: SocketAddr, signals: &mut Signals) -> Result<Bound, String> {
    let give_up_at = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut reload_requested = false;
    loop {
        while let Some(Some(Ok(signal))) = block_on(poll_once(signals.next())) {
            if signal != Signal::Hup {
                return Ok(Bound::ShutdownRequested);
            }
            reload_requested = true;
        }
        match listener::bind(address) {
            Ok(listener) => return Ok(Bound::Listening { listener, reload_requested }),
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            Err(error) => return Err(format!("field listen: {address}: {error}")),
        }
    }
}
