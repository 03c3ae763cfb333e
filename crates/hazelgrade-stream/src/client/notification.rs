//! Notifications from a client's tasks to the client.

use crate::protocol::PublisherMessage;
use crate::subscriber::Event;
use hazelgrade_net::write_queue::WriteQueue;
use std::rc::Rc;

/// The count of a connection, from 1.
pub(super) type ConnectionCount = u64;

/// A notification from one of the client's tasks.
pub(super) enum Notification {
    /// Something happened on a connection.
    Connection {
        /// The count of the connection; it may have been replaced since.
        connection: ConnectionCount,
        /// What happened.
        event: ConnectionEvent,
    },
    /// The node may have a message to send.
    HostMessage,
    /// An event that belongs to no connection.
    Event(Event),
}

/// What happened on a connection.
pub(super) enum ConnectionEvent {
    /// It is open; bytes pushed to the queue are written to it.
    Opened(Rc<WriteQueue>),
    /// A message came.
    Received(PublisherMessage),
    /// A line came that could not be decoded, for this reason.
    Undecodable(String),
    /// It ended, or could not be opened.
    Closed,
}
