//! A control service that sends what a test tells it to, right or wrong.

use crate::{EVENT_TIMEOUT, wait_until};
use hazelgrade_config::{Difference, Document, Version};
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage, SubscriberMessage};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The lineage of its offers.
pub const LINEAGE: &str = "test";

/// A control service that a test scripts.
pub struct FakeControlService {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A subscriber's connection, seen from the control service.
pub struct Subscriber {
    reader: BufReader<TcpStream>,
    /// Its first message.
    pub subscribed: SubscriberMessage,
    nonces: u64,
}

impl FakeControlService {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> std::io::Result<FakeControlService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(FakeControlService { listener, address })
    }

    /// The next subscriber that connects; none if none does in time.
    pub fn accept_subscriber(&self) -> Option<Subscriber> {
        let mut came = None;
        wait_until(EVENT_TIMEOUT, || {
            came = self.listener.accept().ok();
            came.is_some()
        });
        let (stream, _) = came?;
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line).ok()?;
        let subscribed = SubscriberMessage::decode(&line).ok()?;
        Some(Subscriber { reader, subscribed, nonces: 0 })
    }
}

/// The version of a document with this number and its own digest.
pub fn version(number: u64, document: &Document) -> Version {
    Version { number, digest: document.digest() }
}

impl Subscriber {
    /// Sends bytes as they are; `false` if it fails.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// The next message but for pongs; none if the connection ends or none comes in time.
    pub fn receive(&mut self) -> Option<SubscriberMessage> {
        loop {
            let mut line = Vec::new();
            self.reader.read_until(b'\n', &mut line).ok().filter(|read| *read > 0)?;
            match SubscriberMessage::decode(&line).ok()? {
                SubscriberMessage::Pong => {}
                said => return Some(said),
            }
        }
    }

    /// Sends a ping; `false` if it fails.
    pub fn ping(&mut self) -> bool {
        self.write(PublisherMessage::Ping.encode().as_bytes())
    }

    /// Offers a version of [`LINEAGE`]; returns the nonce.
    pub fn offer(&mut self, version: Version, content: Content) -> u64 {
        self.offer_in_lineage(LINEAGE, version, content)
    }

    /// Offers a version of any lineage; returns the nonce.
    pub fn offer_in_lineage(&mut self, lineage: &str, version: Version, content: Content) -> u64 {
        self.nonces += 1;
        let offer = Offer { nonce: self.nonces, lineage: lineage.into(), version, content };
        self.write(PublisherMessage::Offer(offer).encode().as_bytes());
        self.nonces
    }

    /// Offers a complete document; returns the nonce.
    pub fn offer_full(&mut self, number: u64, document: &Document) -> u64 {
        self.offer(version(number, document), Content::Full(document.to_toml()))
    }

    /// Offers the difference from a base; returns the nonce.
    pub fn offer_delta(&mut self, number: u64, base: (u64, &Document), document: &Document) -> u64 {
        let difference: Difference = base.1.fields().difference(document.fields());
        let base = version(base.0, base.1);
        self.offer(version(number, document), Content::Delta { base, difference })
    }
}
