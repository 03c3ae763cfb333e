//! Listens for clients, and hears signals while the address is not free yet.

use crate::transport::listener;
use async_io::{Async, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::poll_once;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A process that is about to exit may still hold the address; one that holds it for longer is another.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// How listening ended.
pub enum Bound {
    Listening {
        listener: Async<TcpListener>,
        /// SIGHUP came meanwhile.
        reload_requested: bool,
    },
    /// SIGTERM or SIGINT came before it listened.
    ShutdownRequested,
}

/// Listens on an address, with retries while another process holds it.
///
/// # Errors
/// The address and the reason, once [`ADDRESS_IN_USE_TIMEOUT`] has passed or for any other reason at once.
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
