//! The connections of a control service.

use super::ControlService;
use super::open_connection::OpenConnection;
use crate::line_reader::read_bounded_line;
use crate::protocol::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES, PublisherMessage, SubscriberMessage};
use crate::publisher::{ConnectionId, Event};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_config::Kind;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::write_queue::WriteQueue;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A message must be complete within this time from its first byte; messages from subscribers are short.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most connections at once. A further one is closed at once, and the subscriber comes back after a random delay.
const MAX_CONNECTIONS: usize = 8192;
/// Bytes that may wait to be written on a connection: two offers of the longest kind.
const WRITE_QUEUE_BYTES: usize = 2 * MAX_LINE_BYTES;
/// Data queued on a connection that is being closed must be written within this time.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

impl ControlService {
    pub(super) async fn accept_connections(self: &Rc<Self>, listener: &Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.connections.borrow().len() < MAX_CONNECTIONS => self.open(stream),
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(%error, "a connection could not be accepted");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Starts the tasks of a connection.
    fn open(self: &Rc<Self>, stream: Async<TcpStream>) {
        if stream.get_ref().set_nodelay(true).is_err() {
            return;
        }
        let connection = self.last_connection.get() + 1;
        self.last_connection.set(connection);
        let stream = Rc::new(stream);
        let write_queue = Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES));
        let writer = write_queue.clone().spawn_writer(&self.executor, stream.clone());
        let service = self.clone();
        let reader = self.executor.spawn(async move {
            let end = service.read(connection, &stream).await;
            tracing::debug!(connection, ?end, "a subscriber's connection ended");
            service.on_connection_ended(connection);
        });
        self.connections.borrow_mut().insert(connection, OpenConnection { write_queue, reader, writer });
        self.notify_publisher(Kind::Serving, Event::Connected { connection });
    }

    async fn read(&self, connection: ConnectionId, stream: &Async<TcpStream>) -> ConnectionEnd {
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            let read = read_bounded_line(&mut reader, &mut line, MAX_SUBSCRIBER_LINE_BYTES, MESSAGE_TIMEOUT);
            if let Err(end) = read.await {
                return end;
            }
            match SubscriberMessage::decode(&line) {
                Ok(message) => self.on_message(connection, message),
                Err(error) => {
                    tracing::warn!(%error, "a subscriber sent a malformed message");
                    return ConnectionEnd::Malformed;
                }
            }
        }
    }

    /// Called as the last step of the connection's reader.
    fn on_connection_ended(&self, connection: ConnectionId) {
        self.notify_publisher(self.followed_kind(connection), Event::Disconnected { connection });
        self.notify_lessor_of_end(connection);
        self.followed_kinds.borrow_mut().remove(&connection);
        // The reader task runs this function: dropping it with the entry would cancel it here.
        if let Some(open) = self.connections.borrow_mut().remove(&connection) {
            open.reader.detach();
        }
    }

    fn notify_lessor_of_end(&self, connection: ConnectionId) {
        if let Some(lessor) = &self.lessor {
            lessor.on_disconnected(connection, &mut |to, message| self.send(to, message));
        }
    }

    pub(super) fn send(&self, connection: ConnectionId, message: &PublisherMessage) {
        self.send_line(connection, &message.encode());
    }

    pub(super) fn send_line(&self, connection: ConnectionId, line: &str) {
        if let Some(open) = self.connections.borrow().get(&connection) {
            open.write_queue.push(line.as_bytes());
        }
    }

    /// Closes a connection once the data queued on it is written.
    pub(super) fn close(&self, connection: ConnectionId) {
        let Some(open) = self.connections.borrow_mut().remove(&connection) else { return };
        let OpenConnection { write_queue, reader, writer } = open;
        let flush_and_close = async move {
            let timed_out = async {
                Timer::after(FLUSH_TIMEOUT).await;
            };
            or(write_queue.flushed(), timed_out).await;
            drop((reader, writer));
        };
        self.executor.spawn(flush_and_close).detach();
        if let Some(publisher) = self.publishers.get(&self.followed_kind(connection)) {
            let event = Event::Disconnected { connection };
            publisher.borrow_mut().handle(self.now(), event, &mut Vec::new());
        }
        // Its reader is dropped, and notifies nobody.
        self.notify_lessor_of_end(connection);
        self.followed_kinds.borrow_mut().remove(&connection);
    }
}
