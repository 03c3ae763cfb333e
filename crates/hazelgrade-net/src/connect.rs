//! Opens a TCP connection within a time limit.

use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to `address` and disables Nagle's algorithm.
///
/// Fails with the system's error, or with [`ErrorKind::TimedOut`] after one second.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = or(Async::<TcpStream>::connect(address), timeout).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}
