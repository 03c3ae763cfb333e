//! The parts of a publisher's state: versions with their documents, and connections.

use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};

/// Time between pings on a connection, in milliseconds: a third of the subscribers' silence timeout.
pub const PING_INTERVAL_MS: f64 = 5_000.0;
/// A document and the number that it has.
#[derive(Clone, Debug)]
pub(super) struct NumberedDocument {
    pub version: Version,
    pub document: Document,
}

/// The current version.
#[derive(Clone, Debug)]
pub(super) struct PublishedVersion {
    pub version: Version,
    pub document: Document,
    /// The document in TOML.
    pub text: String,
}

/// An offer that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOffer {
    pub nonce: u64,
    /// Whether it carries a difference.
    pub is_delta: bool,
}

/// A connection.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// The node that subscribed on it.
    pub node: Option<String>,
    pub last_received: Time,
    pub pending_offer: Option<PendingOffer>,
    /// Whether only full documents are sent, as a difference could not be applied.
    pub full_only: bool,
}
