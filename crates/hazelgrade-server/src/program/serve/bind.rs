//! Opens the listening socket. Signals are handled while the address is still in use by another process.

use crate::transport::listener;
use async_io::{Async, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::poll_once;
use hazelgrade_net::transient::is_transient;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long to retry: an earlier process that is about to exit may still listen on the address.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two attempts to listen on the address.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The result of [`bind`].
pub enum Bound {
    /// The socket is listening.
    Listening {
        /// The listening socket.
        listener: Async<TcpListener>,
        /// Whether SIGHUP was received before the socket was listening.
        reload_requested: bool,
    },
    /// SIGTERM or SIGINT was received before the socket was listening.
    ShutdownRequested,
}

/// Returns whether a later attempt may succeed.
fn may_pass(error: &io::Error) -> bool {
    error.kind() == ErrorKind::AddrInUse || is_transient(error)
}

/// Listens on an address, with retries while the address is in use by another process or the system lacks a resource.
///
/// # Errors
/// Returns an error with the address and the cause: after [`RETRY_TIMEOUT`] if a later attempt might have succeeded, and
/// at once for any other cause.
pub fn bind(address: SocketAddr, signals: &mut Signals) -> Result<Bound, String> {
    let retry_until = Instant::now() + RETRY_TIMEOUT;
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
            Err(error) if may_pass(&error) && Instant::now() < retry_until => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            Err(error) => return Err(format!("field listen: {address}: {error}")),
        }
    }
}
