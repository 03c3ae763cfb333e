//! TLS on client connections. Handshakes are bounded in number, time and bytes, and the configuration can be replaced
//! while connections are open. Without a configuration, connections are not encrypted.

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
use hazelgrade_net::connect::disable_nagle;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::{SharedSocket, SplitStream};
use rustls::ServerConfig;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum duration of a handshake, the same as for a message from a client. An ordinary handshake takes two round
/// trips.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// An accepted client connection.
pub struct Accepted {
    /// The connection, encrypted if TLS is configured.
    pub stream: SplitStream,
    /// The client's certificate, if the client has sent one.
    pub certificate: Option<Rc<ClientCertificate>>,
}

/// The TLS configuration and the handshakes in progress.
pub struct Tls {
    config: RefCell<Option<Arc<ServerConfig>>>,
    handshakes: RefCell<HandshakeLimiter>,
    /// For each handshake in progress, the sender that aborts it.
    abort_senders: RefCell<BTreeMap<HandshakeId, Sender<()>>>,
}

impl Default for Tls {
    fn default() -> Tls {
        let timeout = Span::from_ms(HANDSHAKE_TIMEOUT.as_secs_f64() * 1000.0);
        Tls {
            config: RefCell::default(),
            handshakes: RefCell::new(HandshakeLimiter::new(MAX_HANDSHAKES, timeout)),
            abort_senders: RefCell::default(),
        }
    }
}

impl Tls {
    /// Replaces the configuration for new connections. Open connections keep theirs, and sessions of earlier
    /// connections can't be resumed.
    pub fn replace(&self, config: Arc<ServerConfig>) {
        self.config.replace(Some(config));
    }

    /// Returns the number of handshakes that failed or were aborted since the start.
    pub fn failed_handshakes(&self) -> u64 {
        self.handshakes.borrow().ended_early()
    }

    /// Performs the handshake, if TLS is configured.
    ///
    /// Fails with [`ConnectionEnd::TimedOut`] if the handshake exceeded the time limit or was aborted in favour of
    /// another, with [`ConnectionEnd::Malformed`] if the client's certificate can't be parsed, and otherwise with the
    /// reason why the connection ended.
    pub async fn accept(&self, stream: Async<TcpStream>, now: Time) -> Result<Accepted, ConnectionEnd> {
        let Some(config) = self.config.borrow().clone() else {
            return Ok(Accepted { stream: SplitStream::plain(stream), certificate: None });
        };
        disable_nagle(stream.get_ref());
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

    /// Registers a new handshake. If too many handshakes are in progress, the oldest is aborted. The returned receiver
    /// is notified when the new handshake is aborted.
    fn begin_handshake(&self, now: Time) -> (HandshakeGuard<'_>, Receiver<()>) {
        let StartedHandshake { id, evicted, .. } = self.handshakes.borrow_mut().begin(now);
        let (abort, aborted) = bounded(1);
        self.abort_senders.borrow_mut().insert(id, abort);
        if let Some(oldest) = evicted.and_then(|oldest| self.abort_senders.borrow_mut().remove(&oldest)) {
            // The send fails only if the channel is full or closed, that is, if the handshake is already aborted or
            // ended.
            let _ = oldest.try_send(());
        }
        (HandshakeGuard { tls: self, id, succeeded: false }, aborted)
    }
}

/// Guard of a handshake in progress. Dropping the guard records the end of the handshake.
struct HandshakeGuard<'a> {
    tls: &'a Tls,
    id: HandshakeId,
    succeeded: bool,
}

impl Drop for HandshakeGuard<'_> {
    fn drop(&mut self) {
        self.tls.handshakes.borrow_mut().finish(self.id, self.succeeded);
        self.tls.abort_senders.borrow_mut().remove(&self.id);
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
            tracing::warn!(%error, "connection closed: the client certificate can't be parsed");
            Err(ConnectionEnd::Malformed)
        }
    }
}
