//! Accepts client connections. At the limit on connections the listener evicts idle connections and waits for free
//! places; connections in use stay open.

use super::clients::ClientConnections;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Maximum number of connections that the operating system queues until they are accepted.
const BACKLOG: i32 = 1024;
/// Pause before the next attempt to accept a connection, at the limit on connections or after an error.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Listens on `address`, even if connections of an earlier process remain on that address. Fails with the error of the
/// operating system.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts connections and passes each to `on_stream`. Runs until the future is dropped.
pub async fn accept<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
    on_stream: impl Fn(Async<TcpStream>),
) {
    loop {
        while connections.count() >= connections.max_connections {
            connections.evict_idle();
            Timer::after(RETRY_DELAY).await;
        }
        match accept_next(listener, connections).await {
            Ok(stream) => {
                on_stream(stream);
                // Yields after each accepted connection, so that a burst of connections does not block other tasks.
                yield_now().await;
            }
            Err(error) => {
                tracing::debug!(%error, "accepting a client connection failed; trying again");
                connections.evict_idle();
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for the next connection and accepts it.
async fn accept_next<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
) -> io::Result<Async<TcpStream>> {
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => return Async::new(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                connections.backlog_is_empty();
                listener.readable().await?;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Accepts the connections in the backlog, up to the limit on connections, without waiting for more. Returns `true`
/// once the backlog is empty.
pub fn take_backlog<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
    on_stream: impl Fn(Async<TcpStream>),
) -> bool {
    while connections.count() < connections.max_connections {
        match listener.get_ref().accept() {
            Ok((stream, _)) => match Async::new(stream) {
                Ok(stream) => on_stream(stream),
                Err(error) => {
                    tracing::warn!(%error, "client connection dropped: registering the socket failed")
                }
            },
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                connections.backlog_is_empty();
                return true;
            }
            Err(_) => return false,
        }
    }
    false
}
