//! A connection as a reading and a writing half, whether plain or encrypted.

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The two halves of a connection, and the socket that carries them.
pub struct SplitStream {
    /// Reads what the peer sends, decrypted.
    pub reader: Box<dyn AsyncRead + Unpin>,
    /// Writes to the peer; encrypts if the connection is encrypted.
    pub writer: Box<dyn AsyncWrite + Unpin>,
    /// The socket of both halves, for options and shutdown.
    pub socket: Rc<Async<TcpStream>>,
}

impl SplitStream {
    /// A connection without encryption.
    pub fn plain(stream: Async<TcpStream>) -> SplitStream {
        let socket = Rc::new(stream);
        SplitStream {
            reader: Box::new(SharedSocket(socket.clone())),
            writer: Box::new(SharedSocket(socket.clone())),
            socket,
        }
    }
}

/// Number of interruptions after which a call is made again only in a later poll, so that other tasks may run.
const MAX_INTERRUPTIONS: usize = 64;

/// Repeats a poll that was interrupted by a signal. That is no failure of the connection, and it says nothing about
/// whether there is something to read: whoever polls may take "pending" for "nothing was received".
fn poll_uninterrupted(
    context: &mut Context<'_>,
    mut poll: impl FnMut(&mut Context<'_>) -> Poll<Result<usize>>,
) -> Poll<Result<usize>> {
    for _ in 0..MAX_INTERRUPTIONS {
        match poll(context) {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            polled => return polled,
        }
    }
    context.waker().wake_by_ref();
    Poll::Pending
}

/// A socket with several owners, each of which may read and write. An interrupted call is made again.
#[derive(Clone)]
pub struct SharedSocket(pub Rc<Async<TcpStream>>);

impl AsyncRead for SharedSocket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
        poll_uninterrupted(context, |context| Pin::new(&mut &*self.0).poll_read(context, buffer))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        poll_uninterrupted(context, |context| Pin::new(&mut &*self.0).poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_close(context)
    }
}
