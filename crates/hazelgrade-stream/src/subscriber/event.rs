//! A subscriber's events and actions.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use crate::stored::StoredState;
use crate::trial::Sample;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};
use std::sync::Arc;

/// An event that a subscriber handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The requested connection is open.
    Connected,
    /// The connection ended, or could not be opened.
    Disconnected,
    /// A message came on the connection.
    Received(PublisherMessage),
    /// A line came on the connection that could not be decoded, for this reason.
    Undecodable(String),
    /// A write ended.
    Stored {
        /// The ticket of [`Action::Store`].
        ticket: u64,
        /// `Ok` once it is on the disk, or the reason why it is not.
        result: Result<(), String>,
    },
    /// The document of [`Action::Apply`] is in effect, or can't be applied on this node for this reason.
    Applied(Result<(), String>),
    /// How jobs fared since the last sample; due every [`sample_interval`](super::Subscriber::sample_interval).
    Sampled(Sample),
    /// The node drains.
    DrainStarted,
    /// The time of [`next_timer`](super::Subscriber::next_timer) has come.
    TimerFired,
}

/// What the subscriber's caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to a control service; [`Event::Connected`] or [`Event::Disconnected`] follows.
    Connect {
        /// The number of the control service, from 0.
        control_service: usize,
        /// When to connect.
        at: Time,
    },
    /// Send a message on the connection.
    Send(SubscriberMessage),
    /// Close the connection; [`Event::Disconnected`] follows.
    Disconnect,
    /// Store the state in place of the one before; [`Event::Stored`] follows.
    Store {
        /// Identifies the write; each ticket is greater than the one before.
        ticket: u64,
        /// The state.
        state: StoredState,
    },
    /// Serve by a document from the next round on; [`Event::Applied`] follows.
    Apply {
        /// The document; with `None` the node is not ready.
        document: Option<Arc<Document>>,
        /// Whether this is what the node served by before a version that failed.
        is_rollback: bool,
    },
    /// Write a line to the log.
    Log(String),
}

/// What the node serves by.
#[derive(Clone, Debug, PartialEq)]
pub enum InEffect {
    /// Nothing: it is not ready.
    Nothing,
    /// The document that it was started with.
    LocalDocument,
    /// The last good version.
    Good(Version),
    /// A version on trial.
    OnTrial(Version),
}
