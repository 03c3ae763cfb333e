//! Accepts client connections. At the limit on connections the listener evicts idle connections and waits for free
//! places; connections in use stay open.

use super::clients::ClientConnections;
use super::log_limit::LineLimit;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use rustix::io::Errno;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Maximum number of connections that the operating system queues until they are accepted.
const BACKLOG: i32 = 1024;
/// Pause before the next attempt to accept a connection, at the limit on connections or after several errors.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Number of errors in a row after which the listener pauses. A single error says nothing about the next connection.
const ERRORS_WITHOUT_PAUSE: u32 = 16;

/// A connection that was accepted.
pub struct AcceptedConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The address of the client.
    pub peer: SocketAddr,
}

/// Listens on `address`, even if connections of an earlier process remain on that address. Fails with the error of the
/// operating system.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts connections and passes each to `on_accepted`. Runs until the future is dropped.
pub async fn accept<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
    on_accepted: impl Fn(AcceptedConnection),
) {
    let log_limit = LineLimit::default();
    let mut errors = 0;
    loop {
        while connections.count() >= connections.max_connections {
            connections.evict_idle();
            Timer::after(RETRY_DELAY).await;
        }
        match accept_next(listener, connections).await {
            Ok(accepted) => {
                errors = 0;
                on_accepted(accepted);
                // Yields after each accepted connection, so that a burst of connections does not block other tasks.
                yield_now().await;
            }
            Err(error) => {
                if let Some(left_out) = log_limit.permit(Instant::now()) {
                    tracing::info!(%error, left_out, "accepting a client connection failed; trying again");
                }
                errors += 1;
                recover(&error, errors, connections).await;
            }
        }
    }
}

/// Prepares the next attempt after the last of several `errors` in a row. Idle connections are evicted only if the system
/// lacks descriptors or memory: other errors concern one connection, or nothing that lasts.
async fn recover<T: Clone + PartialEq>(error: &io::Error, errors: u32, connections: &ClientConnections<T>) {
    if !errors.is_multiple_of(ERRORS_WITHOUT_PAUSE) {
        return yield_now().await;
    }
    if lacks_resources(error) {
        connections.evict_idle();
    }
    Timer::after(RETRY_DELAY).await;
}

/// Returns whether the system has no descriptors or memory left for another connection.
fn lacks_resources(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::NOSPC)
    )
}

/// Waits for the next connection and accepts it.
async fn accept_next<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
) -> io::Result<AcceptedConnection> {
    loop {
        match listener.get_ref().accept() {
            Ok((stream, peer)) => return register(stream, peer),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                connections.backlog_is_empty();
                listener.readable().await?;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Registers the socket of a connection for asynchronous use. If that fails, the connection is lost.
fn register(stream: TcpStream, peer: SocketAddr) -> io::Result<AcceptedConnection> {
    match Async::new(stream) {
        Ok(stream) => Ok(AcceptedConnection { stream, peer }),
        Err(error) => {
            tracing::warn!(%error, %peer, "client connection dropped: registering the socket failed");
            Err(error)
        }
    }
}

/// Accepts the connections in the backlog, up to the limit on connections, without waiting for more. Returns `true`
/// once the backlog is empty.
pub fn take_backlog<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    connections: &ClientConnections<T>,
    on_accepted: impl Fn(AcceptedConnection),
) -> bool {
    let mut errors = 0;
    while connections.count() < connections.max_connections && errors < ERRORS_WITHOUT_PAUSE {
        match listener.get_ref().accept().and_then(|(stream, peer)| register(stream, peer)) {
            Ok(accepted) => on_accepted(accepted),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                connections.backlog_is_empty();
                return true;
            }
            Err(error) => {
                tracing::debug!(%error, "accepting a client connection failed; trying again");
                errors += 1;
            }
        }
    }
    false
}
