//! Opens a TCP connection within a time limit.

use crate::transient::is_transient;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that the system may lack a resource for an attempt, or interrupt it.
const MAX_TRANSIENT_ERRORS: usize = 8;
/// Pause after such an error.
const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Number of attempts to disable Nagle's algorithm.
const NODELAY_ATTEMPTS: usize = 8;

/// Connects to `address` and disables Nagle's algorithm. Errors that pass are no answer of the peer: the connection is
/// tried again.
///
/// Fails with the system's error, or with [`ErrorKind::TimedOut`] after one second.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = or(connect_with_retries(address), timeout).await?;
    disable_nagle(stream.get_ref());
    Ok(stream)
}

async fn connect_with_retries(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    for _ in 0..MAX_TRANSIENT_ERRORS {
        match Async::<TcpStream>::connect(address).await {
            Err(error) if is_transient(&error) => {
                Timer::after(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
    Async::<TcpStream>::connect(address).await
}

/// Disables Nagle's algorithm, so that small messages are not held back. A connection on which this fails each time works
/// all the same, only later.
pub fn disable_nagle(stream: &TcpStream) {
    // The first success ends the attempts.
    let _ = (0..NODELAY_ATTEMPTS).any(|_| stream.set_nodelay(true).is_ok());
}
