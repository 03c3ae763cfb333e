//! Types of a publisher's state: versions with their documents, offers and connections.

use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};

/// The time between pings on a connection, in milliseconds: a third of the subscribers' silence timeout.
pub const PING_INTERVAL_MS: f64 = 5_000.0;

/// A document and its version.
#[derive(Clone, Debug)]
pub(super) struct NumberedDocument {
    pub version: Version,
    pub document: Document,
}

/// The current version with its document.
#[derive(Clone, Debug)]
pub(super) struct PublishedVersion {
    pub version: Version,
    pub document: Document,
    /// The document's text in TOML, as a full offer contains it.
    pub text: String,
}

/// An offer that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingOffer {
    pub nonce: u64,
    /// Whether the offer contains a difference in place of the full document.
    pub is_delta: bool,
}

/// The state of a connection.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// The name of the node that subscribed on the connection, if any has.
    pub node: Option<String>,
    pub last_received: Time,
    pub pending_offer: Option<PendingOffer>,
    /// Whether only full documents are offered, because the node could not apply a difference.
    pub full_only: bool,
}
