//! The notifications that the tasks of a client send to the client.

use crate::protocol::PublisherMessage;
use crate::subscriber::Event;
use hazelgrade_net::write_queue::WriteQueue;
use std::rc::Rc;

/// The sequence number of a connection of the client, from 1.
pub(super) type ConnectionNumber = u64;

/// A notification from one of the client's tasks.
pub(super) enum Notification {
    /// An event of a connection.
    Connection {
        /// The number of the connection, which may have been replaced since.
        connection: ConnectionNumber,
        /// The event.
        event: ConnectionEvent,
    },
    /// The node may have a message to send.
    HostMessage,
    /// An event for the subscriber that belongs to no connection.
    Event(Event),
}

/// An event of a connection.
pub(super) enum ConnectionEvent {
    /// The connection was opened; bytes pushed to the queue are written to the connection.
    Opened(Rc<WriteQueue>),
    /// A message was received.
    Received(PublisherMessage),
    /// A line was received that could not be decoded, for this reason.
    Undecodable(String),
    /// The connection ended, or could not be opened.
    Closed,
}
