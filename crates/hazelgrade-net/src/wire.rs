//! A connection in two halves, whatever carries it: plain, or under something that encrypts.

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io::Result;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

pub struct Wire {
    pub source: Box<dyn AsyncRead + Unpin>,
    pub sink: Box<dyn AsyncWrite + Unpin>,
    /// What carries it, to be shut down.
    pub socket: Rc<Async<TcpStream>>,
}

impl Wire {
    pub fn plain(stream: Async<TcpStream>) -> Wire {
        let socket = Rc::new(stream);
        Wire { source: Box::new(Shared(socket.clone())), sink: Box::new(Shared(socket.clone())), socket }
    }
}

/// A socket that several hold.
#[derive(Clone)]
pub struct Shared(pub Rc<Async<TcpStream>>);

impl AsyncRead for Shared {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, into: &mut [u8]) -> Poll<Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(context, into)
    }
}

impl AsyncWrite for Shared {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_close(context)
    }
}
