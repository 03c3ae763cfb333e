//! TLS on the client front: handshakes bounded in number, time and bytes, and settings that are replaced while connections
//! stand. Without it connections are plain.

use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::split;
use futures_rustls::TlsAcceptor;
use hazelgrade::time::{Span, Time};
use hazelgrade_identity::certificate::{ClientCertificate, read_certificate};
use hazelgrade_identity::handshake_limiter::{HandshakeLimiter, MAX_HANDSHAKES, StartedHandshake};
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::wire::{Shared, Wire};
use rustls::ServerConfig;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// An ordinary handshake takes two round trips; a message that begins has as long.
const WITHIN: Duration = Duration::from_secs(2);

pub struct Tls {
    config: RefCell<Option<Arc<ServerConfig>>>,
    handshakes: RefCell<HandshakeLimiter>,
    /// By which a handshake is ended to make room.
    ends: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl Default for Tls {
    fn default() -> Tls {
        let within = Span::from_ms(WITHIN.as_secs_f64() * 1000.0);
        Tls {
            config: RefCell::default(),
            handshakes: RefCell::new(HandshakeLimiter::new(MAX_HANDSHAKES, within)),
            ends: RefCell::default(),
        }
    }
}

impl Tls {
    /// For connections from now on; those that stand keep what they have, and sessions of before can't be resumed.
    pub fn replace(&self, config: Arc<ServerConfig>) {
        self.config.replace(Some(config));
    }

    pub fn ended(&self) -> u64 {
        self.handshakes.borrow().ended_early()
    }

    /// Shakes hands, if TLS is on: what carries the connection then, and what the client's certificate says.
    pub async fn accept(
        &self,
        stream: Async<TcpStream>,
        now: Time,
    ) -> Result<(Wire, Option<Rc<ClientCertificate>>), ConnectionEnd> {
        let Some(config) = self.config.borrow().clone() else { return Ok((Wire::plain(stream), None)) };
        let _ = stream.get_ref().set_nodelay(true);
        let StartedHandshake { id, evicted, .. } = self.handshakes.borrow_mut().begin(now);
        let (end, ended) = bounded(1);
        self.ends.borrow_mut().insert(id, end);
        if let Some(slowest) = evicted.and_then(|slowest| self.ends.borrow_mut().remove(&slowest)) {
            // Full or closed: it is over already.
            let _ = slowest.try_send(());
        }
        let socket = Rc::new(stream);
        let shaking = async {
            let done = TlsAcceptor::from(config).accept(Shared(socket.clone())).await;
            done.map_err(|error| ConnectionEnd::of(&error))
        };
        let late = async {
            Timer::after(WITHIN).await;
            Err(ConnectionEnd::Slow)
        };
        let room = async {
            let _ = ended.recv().await;
            Err(ConnectionEnd::Slow)
        };
        let shaken = or(shaking, or(late, room)).await;
        self.handshakes.borrow_mut().finish(id, shaken.is_ok());
        self.ends.borrow_mut().remove(&id);
        let stream = shaken?;
        let chain = stream.get_ref().1.peer_certificates();
        let certificate = match chain.and_then(<[_]>::first).map(|der| read_certificate(der)) {
            None => None,
            Some(Ok(certificate)) => Some(Rc::new(certificate)),
            Some(Err(why)) => {
                tracing::warn!(why = why.to_string(), "a client's certificate can't be read");
                return Err(ConnectionEnd::Unreadable);
            }
        };
        let (source, sink) = split(stream);
        Ok((Wire { source: Box::new(source), sink: Box::new(sink), socket }, certificate))
    }
}
