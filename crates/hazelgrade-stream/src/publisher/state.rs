//! The parts of a publisher's state: versions with their documents, and connections.

use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};

/// Connections get a ping this often, in milliseconds: a third of the silence that subscribers bear.
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

/// An offer without an answer.
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
    /// A difference could not be applied: full documents from now on.
    pub full_only: bool,
}
