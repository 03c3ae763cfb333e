//! Types of a subscriber's state: the connection and the candidate.

use crate::stored::StoredVersion;
use crate::trial::Trial;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};
use std::sync::Arc;

/// The time without a message after which a connection counts as dead, in milliseconds: three times the interval of the
/// control service's pings.
pub const SILENCE_TIMEOUT_MS: f64 = 15_000.0;

/// The state of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Connection {
    Closed,
    Connecting,
    Open { last_received: Time },
}

/// A version and its document.
#[derive(Clone, Debug)]
pub(super) struct VersionedDocument {
    pub version: Version,
    pub document: Arc<Document>,
}

impl From<&StoredVersion> for VersionedDocument {
    fn from(stored: &StoredVersion) -> VersionedDocument {
        VersionedDocument { version: stored.version, document: Arc::new(stored.document.clone()) }
    }
}

/// Identifies the offer that is to be answered, and its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyTo {
    pub nonce: u64,
    /// The number of the connection that carried the offer.
    pub connection: u64,
}

/// The stages of a candidate, in order.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Waiting for the write with this ticket, which stores the version as on trial.
    Storing(u64),
    /// Waiting until the document is in effect.
    Applying,
    /// In effect and on trial.
    OnTrial(Box<Trial>),
    /// In effect with its trial passed; waiting for the write with this ticket, which stores the version as good.
    StoringAsGood(u64),
}

/// A version that is being applied or is on trial.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub version: Version,
    pub document: Arc<Document>,
    /// `None` once the offer is answered.
    pub reply_to: Option<ReplyTo>,
    pub stage: Stage,
}

impl Candidate {
    /// Whether the candidate's document is in effect on the node.
    pub fn is_in_effect(&self) -> bool {
        matches!(self.stage, Stage::OnTrial(_) | Stage::StoringAsGood(_))
    }

    pub fn versioned_document(&self) -> VersionedDocument {
        VersionedDocument { version: self.version, document: self.document.clone() }
    }
}
