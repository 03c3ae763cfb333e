//! The events that a subscriber handles and the actions that it requests.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use crate::stored::StoredState;
use crate::trial::Sample;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};
use std::sync::Arc;

/// An event that a subscriber handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The connection of [`Action::Connect`] is open.
    Connected,
    /// The connection ended, or could not be opened.
    Disconnected,
    /// A message was received on the connection.
    Received(PublisherMessage),
    /// A line was received on the connection that could not be decoded, for this reason.
    Undecodable(String),
    /// The write of [`Action::Store`] ended.
    Stored {
        /// The ticket of [`Action::Store`].
        ticket: u64,
        /// `Ok` if the state is on the disk, or the reason why it could not be stored.
        result: Result<(), String>,
    },
    /// The document of [`Action::Apply`] is in effect, or can't be applied on this node, for this reason.
    Applied(Result<(), String>),
    /// The outcomes of jobs since the previous sample; due every
    /// [`sample_interval`](super::Subscriber::sample_interval).
    Sampled(Sample),
    /// The node began to drain.
    DrainStarted,
    /// The time of [`next_timer`](super::Subscriber::next_timer) has been reached.
    TimerFired,
}

/// An action that the code that runs the subscriber must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to a control service. [`Event::Connected`] or [`Event::Disconnected`] follows.
    Connect {
        /// The index of the control service, from 0.
        control_service: usize,
        /// The time at which to connect.
        at: Time,
    },
    /// Send a message on the connection.
    Send(SubscriberMessage),
    /// Close the connection. [`Event::Disconnected`] follows.
    Disconnect,
    /// Store this state in place of the previously stored state. [`Event::Stored`] follows.
    Store {
        /// Identifies the write. Each ticket is greater than the previous one.
        ticket: u64,
        /// The state to store.
        state: StoredState,
    },
    /// Put a document into effect from the next round on. [`Event::Applied`] follows.
    Apply {
        /// The document; with `None` the node has no configuration and is not ready.
        document: Option<Arc<Document>>,
        /// Whether the action rolls back a version that failed its trial.
        is_rollback: bool,
    },
    /// Write a line to the log.
    Log(String),
}

/// The configuration that is in effect on the node.
#[derive(Clone, Debug, PartialEq)]
pub enum InEffect {
    /// No configuration: the node is not ready.
    Nothing,
    /// The local document that the node was started with.
    LocalDocument,
    /// The last good version.
    Good(Version),
    /// A version on trial.
    OnTrial(Version),
}
