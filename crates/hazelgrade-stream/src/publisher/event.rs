//! The events that a publisher handles and the actions that it requests.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use hazelgrade_config::{Document, Version};

/// Identifies a connection; never reused while the process runs.
pub type ConnectionId = u64;

/// An event that a publisher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection was accepted.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A message was received.
    Received {
        /// The connection that carried the message.
        connection: ConnectionId,
        /// The message.
        message: SubscriberMessage,
    },
    /// A connection ended.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// The folder of documents now contains this document.
    DocumentChanged(Document),
    /// The counter of [`Action::StoreCounter`] is on the disk, or could not be stored, for this reason.
    CounterStored(Result<(), String>),
    /// The timer that sends pings and detects silent connections; due several times per second.
    TimerFired,
}

/// An action that the code that runs the publisher must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The connection to send the message on.
        connection: ConnectionId,
        /// The message.
        message: PublisherMessage,
    },
    /// Close a connection once the data that is queued on it is written. [`Event::Disconnected`] follows.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Store the counter. [`Event::CounterStored`] follows.
    StoreCounter(Counter),
    /// Answer an operator's request for the status of all nodes.
    ReportStatus {
        /// The connection that carried the request.
        connection: ConnectionId,
        /// The id of the JSON-RPC request.
        request_id: u64,
    },
    /// Write a line to the log.
    Log(String),
}

/// The state that a publisher stores.
#[derive(Clone, Debug, PartialEq)]
pub struct Counter {
    /// The lineage that the publisher publishes under.
    pub lineage: String,
    /// The last version that was given a number, if any.
    pub last: Option<Version>,
}
