//! TLS on the connections of clients: handshakes bounded in number, time and bytes, and a configuration that is
//! replaced while connections are open. Without a configuration, connections are plain.

use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::split;
use futures_rustls::TlsAcceptor;
use futures_rustls::server::TlsStream;
use hazelgrade::time::{Span, Time};
use hazelgrade_identity::certificate::{self, ClientCertificate};
use hazelgrade_identity::handshake_limiter::{
    HandshakeId, HandshakeLimiter, MAX_HANDSHAKES, StartedHandshake,
};
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::{SharedSocket, SplitStream};
use rustls::ServerConfig;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long a handshake may take: as long as a message of a client. An ordinary one takes two round trips.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// An accepted connection.
pub struct Accepted {
    /// The connection, encrypted if TLS is configured.
    pub stream: SplitStream,
    /// The client's certificate, if it has sent one.
    pub certificate: Option<Rc<ClientCertificate>>,
}

/// The TLS configuration and the handshakes in progress.
pub struct Tls {
    config: RefCell<Option<Arc<ServerConfig>>>,
    handshakes: RefCell<HandshakeLimiter>,
    /// Aborts the handshakes in progress.
    aborts: RefCell<BTreeMap<HandshakeId, Sender<()>>>,
}

impl Default for Tls {
    fn default() -> Tls {
        let timeout = Span::from_ms(HANDSHAKE_TIMEOUT.as_secs_f64() * 1000.0);
        Tls {
            config: RefCell::default(),
            handshakes: RefCell::new(HandshakeLimiter::new(MAX_HANDSHAKES, timeout)),
            aborts: RefCell::default(),
        }
    }
}

impl Tls {
    /// Replaces the configuration for connections from now on. Open ones keep theirs, and earlier sessions can't be
    /// resumed.
    pub fn replace(&self, config: Arc<ServerConfig>) {
        self.config.replace(Some(config));
    }

    /// Handshakes that failed or were aborted, since the start.
    pub fn failed_handshakes(&self) -> u64 {
        self.handshakes.borrow().ended_early()
    }

    /// Performs the handshake, if TLS is configured.
    ///
    /// Ends with [`ConnectionEnd::TimedOut`] past the time limit or when the handshake was aborted for another, with
    /// [`ConnectionEnd::Malformed`] for a certificate that can't be parsed, and as the connection ends otherwise.
    pub async fn accept(&self, stream: Async<TcpStream>, now: Time) -> Result<Accepted, ConnectionEnd> {
        let Some(config) = self.config.borrow().clone() else {
            return Ok(Accepted { stream: SplitStream::plain(stream), certificate: None });
        };
        let _ = stream.get_ref().set_nodelay(true);
        let (mut handshake, aborted) = self.begin_handshake(now);
        let socket = Rc::new(stream);
        let stream = perform_handshake(config, &socket, aborted).await?;
        handshake.succeeded = true;
        drop(handshake);
        let certificate = read_certificate(&stream)?;
        let (reader, writer) = split(stream);
        let stream = SplitStream { reader: Box::new(reader), writer: Box::new(writer), socket };
        Ok(Accepted { stream, certificate })
    }

    /// Adds a handshake. With too many in progress the slowest is aborted. The receiver is notified when this one is
    /// aborted.
    fn begin_handshake(&self, now: Time) -> (HandshakeGuard<'_>, Receiver<()>) {
        let StartedHandshake { id, evicted, .. } = self.handshakes.borrow_mut().begin(now);
        let (abort, aborted) = bounded(1);
        self.aborts.borrow_mut().insert(id, abort);
        if let Some(slowest) = evicted.and_then(|slowest| self.aborts.borrow_mut().remove(&slowest)) {
            // Full or closed means that it has ended already.
            let _ = slowest.try_send(());
        }
        (HandshakeGuard { tls: self, id, succeeded: false }, aborted)
    }
}

/// A handshake in progress; it ends when this is dropped.
struct HandshakeGuard<'a> {
    tls: &'a Tls,
    id: HandshakeId,
    succeeded: bool,
}

impl Drop for HandshakeGuard<'_> {
    fn drop(&mut self) {
        self.tls.handshakes.borrow_mut().finish(self.id, self.succeeded);
        self.tls.aborts.borrow_mut().remove(&self.id);
    }
}

async fn perform_handshake(
    config: Arc<ServerConfig>,
    socket: &Rc<Async<TcpStream>>,
    aborted: Receiver<()>,
) -> Result<TlsStream<SharedSocket>, ConnectionEnd> {
    let handshake = async {
        let done = TlsAcceptor::from(config).accept(SharedSocket(socket.clone())).await;
        done.map_err(|error| ConnectionEnd::from_io_error(&error))
    };
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(ConnectionEnd::TimedOut)
    };
    let aborted = async {
        let _ = aborted.recv().await;
        Err(ConnectionEnd::TimedOut)
    };
    or(handshake, or(timeout, aborted)).await
}

fn read_certificate(
    stream: &TlsStream<SharedSocket>,
) -> Result<Option<Rc<ClientCertificate>>, ConnectionEnd> {
    let chain = stream.get_ref().1.peer_certificates();
    let Some(der) = chain.and_then(<[_]>::first) else { return Ok(None) };
    match certificate::read_certificate(der) {
        Ok(certificate) => Ok(Some(Rc::new(certificate))),
        Err(error) => {
            tracing::warn!(%error, "malformed client certificate");
            Err(ConnectionEnd::Malformed)
        }
    }
}
