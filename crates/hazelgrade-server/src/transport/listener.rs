//! Takes connections as they come; when descriptors run out it slows down, and ends nothing that is in use.

use super::clients::Clients;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Connections that the system may take before they are accepted here.
const BACKLOG: i32 = 1024;
const PAUSE: Duration = Duration::from_millis(5);

/// Binds with the address reusable, as old connections may still be in the system after a restart.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts until it is dropped.
pub async fn accept<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    clients: &Clients<T>,
    on_stream: impl Fn(Async<TcpStream>),
) {
    loop {
        while clients.count() >= clients.most {
            clients.make_room();
            Timer::after(PAUSE).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                on_stream(stream);
                // Connections that come without end leave the others their turn.
                yield_now().await;
            }
            Err(error) => {
                tracing::debug!(%error, "a connection could not be accepted");
                clients.make_room();
                Timer::after(PAUSE).await;
            }
        }
    }
}

/// Takes what the system has accepted already, as far as there is room, without waiting for more; `true` once that is all.
pub fn take_backlog<T: Clone + PartialEq>(
    listener: &Async<TcpListener>,
    clients: &Clients<T>,
    on_stream: impl Fn(Async<TcpStream>),
) -> bool {
    while clients.count() < clients.most {
        match listener.get_ref().accept() {
            Ok((stream, _)) => match Async::new(stream) {
                Ok(stream) => on_stream(stream),
                Err(error) => tracing::warn!(%error, "an accepted connection could not be used"),
            },
            Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
        }
    }
    false
}
