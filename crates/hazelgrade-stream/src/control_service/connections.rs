//! Accepts, reads, writes and closes the connections of a control service.

use super::ControlService;
use super::open_connection::OpenConnection;
use crate::line_reader::read_bounded_line;
use crate::protocol::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES, PublisherMessage, SubscriberMessage};
use crate::publisher::{ConnectionId, Event};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_config::Kind;
use hazelgrade_net::connect::disable_nagle;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::SharedSocket;
use hazelgrade_net::write_queue::WriteQueue;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The time limit for a message from a subscriber, from its first byte to its end. Messages from subscribers are short.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most connections that may be open at the same time. A further connection is closed immediately, and the
/// subscriber reconnects after a random delay.
const MAX_CONNECTIONS: usize = 8192;
/// The most bytes that may be queued for writing on a connection: two offers of the greatest length.
const WRITE_QUEUE_BYTES: usize = 2 * MAX_LINE_BYTES;
/// The time limit for writing the data that is queued on a connection that is being closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

impl ControlService {
    /// Accepts connections until the future is dropped.
    pub(super) async fn accept_connections(self: &Rc<Self>, listener: &Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.connections.borrow().len() < MAX_CONNECTIONS => self.open(stream),
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(%error, "connection could not be accepted; trying again after a short delay");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Starts the reader and writer tasks of a connection and reports the connection to the publisher.
    fn open(self: &Rc<Self>, stream: Async<TcpStream>) {
        disable_nagle(stream.get_ref());
        let connection = self.last_connection_id.get() + 1;
        self.last_connection_id.set(connection);
        let stream = Rc::new(stream);
        let write_queue = Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES));
        let writer = write_queue.clone().spawn_writer(&self.executor, stream.clone());
        let service = self.clone();
        let reader = self.executor.spawn(async move {
            let end = service.read(connection, SharedSocket(stream)).await;
            tracing::debug!(connection, ?end, "connection of a subscriber ended");
            service.on_connection_ended(connection);
        });
        self.connections.borrow_mut().insert(connection, OpenConnection { write_queue, reader, writer });
        self.notify_publisher(Kind::Serving, Event::Connected { connection });
    }

    /// Reads and handles messages; returns how the connection ended.
    async fn read(&self, connection: ConnectionId, stream: SharedSocket) -> ConnectionEnd {
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
                    tracing::warn!(%error, "subscriber sent a malformed message; closing its connection");
                    return ConnectionEnd::Malformed;
                }
            }
        }
    }

    /// Reports the end of a connection and removes the connection. The connection's reader task calls this function as
    /// its last step.
    fn on_connection_ended(&self, connection: ConnectionId) {
        self.notify_publisher(self.subscribed_kind(connection), Event::Disconnected { connection });
        self.notify_lessor_of_end(connection);
        self.subscribed_kinds.borrow_mut().remove(&connection);
        // The reader task is running this function: dropping the task with the removed entry would cancel the task.
        if let Some(open) = self.connections.borrow_mut().remove(&connection) {
            open.reader.detach();
        }
    }

    /// Reports the end of a connection to the lessor, if there is one.
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

    /// Closes a connection once its queued data is written or [`FLUSH_TIMEOUT`] has passed.
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
        if let Some(publisher) = self.publishers.get(&self.subscribed_kind(connection)) {
            let event = Event::Disconnected { connection };
            publisher.borrow_mut().handle(self.now(), event, &mut Vec::new());
        }
        // The reader task is dropped without its last step, so the lessor is notified here.
        self.notify_lessor_of_end(connection);
        self.subscribed_kinds.borrow_mut().remove(&connection);
    }
}
