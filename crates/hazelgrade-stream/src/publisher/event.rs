//! A publisher's events and actions.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use hazelgrade_config::{Document, Version};

/// Identifies a connection; never used twice in a run.
pub type ConnectionId = u64;

/// An event that a publisher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection was accepted.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A message came.
    Received {
        /// The connection that it came on.
        connection: ConnectionId,
        /// The message.
        message: SubscriberMessage,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// The folder has this document now.
    DocumentChanged(Document),
    /// The counter of [`Action::StoreCounter`] is on the disk, or could not be stored for this reason.
    CounterStored(Result<(), String>),
    /// Time has passed. Due several times per second.
    TimerFired,
}

/// What the publisher's caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The connection to send it on.
        connection: ConnectionId,
        /// The message.
        message: PublisherMessage,
    },
    /// Close a connection once the data queued on it is written; [`Event::Disconnected`] follows.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Store the counter; [`Event::CounterStored`] follows.
    StoreCounter(Counter),
    /// Answer an operator's request for the status of all nodes.
    ReportStatus {
        /// The connection that the request came on.
        connection: ConnectionId,
        /// The id of the JSON-RPC request.
        request_id: u64,
    },
    /// Write a line to the log.
    Log(String),
}

/// The stored state of a publisher.
#[derive(Clone, Debug, PartialEq)]
pub struct Counter {
    /// The lineage that it publishes under.
    pub lineage: String,
    /// The last version that has a number, if any has.
    pub last: Option<Version>,
}
