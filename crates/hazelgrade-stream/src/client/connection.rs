//! Opens and reads a subscriber's connection to a control service.

use super::notification::{ConnectionEvent, ConnectionNumber, Notification};
use crate::line_reader::read_bounded_line;
use crate::protocol::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES, PublisherMessage};
use async_channel::{SendError, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::SharedSocket;
use hazelgrade_net::write_queue::WriteQueue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The time limit for a message, from its first byte to its end. The longest message takes about one second on a slow
/// network link.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes that may be queued for writing. A small limit suffices: a node sends little, and a control service
/// that reads nothing sends nothing either.
const WRITE_QUEUE_BYTES: usize = 8 * MAX_SUBSCRIBER_LINE_BYTES;

/// Sends the events of one connection to the client.
struct Notifier {
    connection: ConnectionNumber,
    notifications: Sender<Notification>,
}

impl Notifier {
    /// Sends an event to the client; fails only if the client was dropped.
    async fn notify(&self, event: ConnectionEvent) -> Result<(), SendError<Notification>> {
        self.notifications.send(Notification::Connection { connection: self.connection, event }).await
    }
}

/// Connects to a control service after a delay and reads messages until the connection ends.
pub(super) async fn open(
    address: SocketAddr,
    delay: Duration,
    connection: ConnectionNumber,
    notifications: Sender<Notification>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let notifier = Notifier { connection, notifications };
    Timer::after(delay).await;
    let end = match connect(address).await {
        Ok(stream) => {
            let stream = Rc::new(stream);
            let write_queue = Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES));
            let writer = write_queue.clone().spawn_writer(&executor, stream.clone());
            if notifier.notify(ConnectionEvent::Opened(write_queue)).await.is_err() {
                return;
            }
            or(read(SharedSocket(stream), &notifier), writer).await
        }
        Err(_) => ConnectionEnd::Unreachable,
    };
    tracing::debug!(%address, ?end, "connection to the control service ended");
    let _ = notifier.notify(ConnectionEvent::Closed).await;
}

/// Reads messages and passes them to the client; returns how the connection ended.
async fn read(stream: SharedSocket, notifier: &Notifier) -> ConnectionEnd {
    let mut reader = BufReader::new(stream);
    let mut line = Vec::new();
    loop {
        match read_bounded_line(&mut reader, &mut line, MAX_LINE_BYTES, MESSAGE_TIMEOUT).await {
            Ok(()) => {}
            Err(ConnectionEnd::TooLong) => {
                let reason = "the message is longer than the longest possible document".into();
                let _ = notifier.notify(ConnectionEvent::Undecodable(reason)).await;
                return ConnectionEnd::TooLong;
            }
            Err(end) => return end,
        }
        let event = match PublisherMessage::decode(&line) {
            Ok(message) => ConnectionEvent::Received(message),
            Err(error) => ConnectionEvent::Undecodable(error.to_string()),
        };
        if notifier.notify(event).await.is_err() {
            return ConnectionEnd::Closed;
        }
    }
}
